"""Routes requests by host and path, and splits them among services by weight."""

import heapq
from collections import Counter
from collections.abc import Iterable
from random import Random

from cicadawheel.configuration import Configuration, HostRoute, ServiceShare
from cicadawheel.ids import RouteName, ServiceName

LONGEST_INTERVAL = 1e12
"""Upper bound of the interval between two requests of a service, in requests."""


class WeightedSplit:
    """Splits the requests of one route among services, each after its own interval.

    Every service gets its share of any short run of requests, so that the shares hold
    even at an entry with little traffic. A service that is named twice gets both
    shares.

    Parameters
    ----------
    shares : tuple of ServiceShare
        The services with their weights.
    random : Random
        Draws the starting point, so that entries don't start in step.
    """

    def __init__(self, shares: tuple[ServiceShare, ...], random: Random):
        self.shares = shares
        weights: Counter[ServiceName] = Counter()
        for share in shares:
            weights[share.service] += share.weight
        total = sum(weights.values())
        start = random.random()
        self._services = [service for service, weight in weights.items() if weight > 0]
        self._intervals = [
            min(LONGEST_INTERVAL, total / weights[service])
            for service in self._services
        ]
        self._due = [(start * each, i) for i, each in enumerate(self._intervals)]
        heapq.heapify(self._due)

    def next(self) -> ServiceName:
        """Return the service of the next request."""
        due, place = self._due[0]
        heapq.heapreplace(self._due, (due + self._intervals[place], place))
        return self._services[place]


class _HostRoutes:
    """The routes of one host, found by the lengths that their prefixes have."""

    def __init__(self, routes: Iterable[HostRoute]):
        self._by_prefix = {route.path_prefix: route for route in routes}
        self._lengths = sorted(set(map(len, self._by_prefix)), reverse=True)

    def find(self, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of a path, or None."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class RouteTable:
    """The configured routes by host.

    Parameters
    ----------
    random : Random
        Draws the starting points of the splits.
    """

    def __init__(self, random: Random):
        self._random = random
        self._by_host: dict[str, _HostRoutes] = {}
        self._splits: dict[RouteName, WeightedSplit] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; splits whose shares are unchanged keep their state."""
        by_host: dict[str, list[HostRoute]] = {}
        for route in configuration.routes.values():
            by_host.setdefault(route.host, []).append(route)
        self._by_host = {host: _HostRoutes(routes) for host, routes in by_host.items()}
        self._splits = {
            name: split
            for name, split in self._splits.items()
            if name in configuration.routes
            and configuration.routes[name].shares == split.shares
        }

    def find(self, host: str, target: str) -> HostRoute | None:
        """Return the route of a request, or None."""
        name = host.partition(":")[0].lower()
        path = target.partition("?")[0]
        routes = self._by_host.get(name)
        return None if routes is None else routes.find(path)

    def choose_service(self, route: HostRoute) -> ServiceName:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = WeightedSplit(route.shares, self._random)
        return split.next()
