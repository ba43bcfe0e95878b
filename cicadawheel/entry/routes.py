"""Which route a request takes by its host and path, and which service serves it."""

from random import Random

from cicadawheel.configuration import Configuration, HostRoute, ServiceShare
from cicadawheel.ids import RouteName, ServiceName


class Split:
    """Shares the requests of one route among services, in the order of their weights.

    Every service gets its part of any few requests in a row, so that the shares hold
    also at an entry that sees little of the traffic.

    Parameters
    ----------
    shares : tuple of ServiceShare
        The services with their weights.
    random : Random
        Draws where to begin, so that entries don't begin alike.
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
    """The routes in force, by host and from the longest prefix to the shortest.

    Parameters
    ----------
    random : Random
        Draws where the splits begin.
    """

    def __init__(self, random: Random):
        self._random = random
        self._by_host: dict[str, list[HostRoute]] = {}
        self._splits: dict[RouteName, Split] = {}

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force; splits that stay the same go on."""
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
        """Return the service that gets the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = Split(route.shares, self._random)
        return split.next()
