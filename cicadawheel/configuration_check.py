"""Validates the rules of a configuration before it is applied."""

from collections import Counter
from collections.abc import Iterable

from cicadawheel.configuration import HostRoute, ServiceRule
from cicadawheel.errors import CommandRefusedError

DEADLINE_LIMIT_MS = 600_000.0
"""Ten minutes, the longest deadline that the platform allows for a route."""

TARGET_EXCESS_LIMIT_MS = 60_000.0
"""A target this far beyond the deadline is treated as a mistake."""


def check_rules(services: Iterable[ServiceRule], routes: Iterable[HostRoute]) -> None:
    """Refuse rules that are invalid or contradict each other.

    Raises
    ------
    CommandRefusedError
        The message names the first invalid route or service, and the reason.
    """
    services, routes = tuple(services), tuple(routes)
    names = {service.name for service in services}
    _check_distinct("service", (service.name for service in services))
    _check_distinct("route", (route.name for route in routes))
    for route in routes:
        fault = _route_fault(route, names)
        if fault:
            raise CommandRefusedError(f"route {route.name}: {fault}", step="check")


def _check_distinct(kind: str, names: Iterable[str]) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise CommandRefusedError(f"{kind} {name} is there twice", step="check")


def _route_fault(route: HostRoute, services: set[str]) -> str:
    unknown = [s.service for s in route.shares if s.service not in services]
    weights = [share.weight for share in route.shares]
    if unknown:
        return f"service {unknown[0]} is unknown"
    if min(weights) < 0 or sum(weights) <= 0:
        return "the weights are not above 0"
    if not 0 < route.deadline_ms <= DEADLINE_LIMIT_MS:
        return f"a deadline of {route.deadline_ms:g} ms is out of range"
    if route.target_ms - route.deadline_ms >= TARGET_EXCESS_LIMIT_MS:
        return f"a target of {route.target_ms:g} ms is far above the deadline"
    if route.attempts < 1:
        return "it allows no attempt"
    return ""
