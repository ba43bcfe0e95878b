"""Routes requests by host and path, and splits them among services by weight."""

from random import Random

from cicadawheel.configuration import Configuration, HostRoute, ServiceShare
from cicadawheel.ids import RouteName, ServiceName


class WeightedSplit:
    """Splits the requests of one route among services by weighted round-robin.

    Every service gets its share of any short run of requests, so that the shares hold
    even at an entry with little traffic.

    Parameters
    ----------
    shares : tuple of ServiceShare
        The services with their weights.
    random : Random
        Draws the starting point, so that entries don't start in step.
    """

    def __init__(self, shares: tuple[ServiceShare, ...], random: Random):
        self.shares = shares
        self._total = sum(share.weight for share in shares)
        start = random.random()
        self._credits = [share.weight * start for share in shares]

    def next(self) -> ServiceName:
        """Return the service of the next request."""
        credits = self._credits
        for i, share in enumerate(self.shares):
            credits[i] += share.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= self._total
        return self.shares[best].service


class RouteTable:
    """The configured routes by host, from the longest path prefix to the shortest.

    Parameters
    ----------
    random : Random
        Draws the starting points of the splits.
    """

    def __init__(self, random: Random):
        self._random = random
        self._by_host: dict[str, list[HostRoute]] = {}
        self._splits: dict[RouteName, WeightedSplit] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; splits whose shares are unchanged keep their state."""
        by_host: dict[str, list[HostRoute]] = {}
        for route in configuration.routes.values():
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._by_host = by_host
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
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def choose_service(self, route: HostRoute) -> ServiceName:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = WeightedSplit(route.shares, self._random)
        return split.next()
