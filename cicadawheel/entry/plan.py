"""Derives from a request's head its service, route, deadline, depth and identity."""

import hashlib
import posixpath
import uuid
from urllib.parse import unquote, urlsplit

import msgspec

from cicadawheel.configuration import (
    Configuration,
    RepeatRule,
    RouteRule,
    ServiceRule,
    find_route,
)
from cicadawheel.entry.answer import CallerFault
from cicadawheel.entry.retry import ATTEMPT_LIMIT
from cicadawheel.entry.routes import RouteTable
from cicadawheel.http.dialect import OWN_DIALECT, Dialect
from cicadawheel.http.fields import Headers, RequestHead, find_field
from cicadawheel.ids import Fingerprint, IdempotencyKey, RequestId, ServiceName
from cicadawheel.settings import EntrySettings

DIGEST_BYTES = 16
KEY_LIMIT_BYTES = 200
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
OTHER_ROUTE = "other"
NUMBER_LIMIT_DIGITS = 20
"""As many as a 64-bit number has, which some clients send for no limit."""
UNNORMALISED_MARKS = ("//", "/.", "%")


class CallPlan(msgspec.Struct, frozen=True):
    """How a call is to be served.

    ``claimed`` is set if it needs a claim with control, which covers all requests with
    its ``key``. ``target_ms`` is the target latency, 0 if there is none. ``attempts``
    is the maximum number of attempts that may reach an upstream. ``spent_ms`` is set
    for a nested call, see `CallOpen`.
    """

    request: RequestId
    service: ServiceName
    route: str
    method: str
    target: str
    repeatable: bool
    deadline_ms: float
    depth: int
    key: IdempotencyKey
    hedge_after_quantile: float
    claimed: bool = False
    target_ms: float = 0.0
    priority: int = 0
    attempts: int = ATTEMPT_LIMIT
    spent_ms: float = 0.0


def plan_by_host(
    request: RequestHead, routes: RouteTable, dialect: Dialect
) -> CallPlan | CallerFault:
    """Return the plan for a request that is routed by host and path."""
    headers = request.headers
    host = (find_field(headers, b"host") or b"").decode("latin-1")
    target = request.target.decode("latin-1")
    route = routes.find(host, target)
    if route is None:
        return CallerFault.NO_ROUTE
    deadline_ms = _shorter_deadline_ms(headers, route.deadline_ms, dialect)
    if deadline_ms is None:
        return CallerFault.BAD_DEADLINE
    return CallPlan(
        request=_request_id(headers, dialect),
        service=routes.choose_service(route),
        route=route.name,
        method=request.method.decode(),
        target=target,
        repeatable=route.repeat is RepeatRule.REPEATABLE,
        deadline_ms=deadline_ms,
        depth=1,
        key=IdempotencyKey(""),
        hedge_after_quantile=0.0,
        target_ms=route.target_ms,
        priority=route.priority,
        attempts=route.attempts,
    )


def plan_call(
    request: RequestHead,
    configuration: Configuration,
    settings: EntrySettings,
    dialect: Dialect = OWN_DIALECT,
) -> CallPlan | CallerFault:
    """Return the plan for a request that names its service, or the caller's fault."""
    headers = request.headers
    service = configuration.services.get(_service_name(headers, dialect))
    if service is None:
        return CallerFault.UNKNOWN_SERVICE
    method = request.method.decode()
    target = request.target.decode("latin-1")
    route = _strictest_route(service, method, target)
    depth = _parse_number(headers, dialect.depth, 0)
    if depth is None:
        return CallerFault.BAD_DEPTH
    if depth + 1 > settings.depth_limit:
        return CallerFault.TOO_DEEP
    deadline_ms = _deadline_ms(headers, service, route, settings, dialect)
    if deadline_ms is None:
        return CallerFault.BAD_DEADLINE
    repeatable = _is_repeatable(route, method)
    claimed = not repeatable and not _runs_once(route)
    key = find_field(headers, dialect.key) or b""
    if claimed and not 0 < len(key) <= KEY_LIMIT_BYTES:
        return CallerFault.NO_KEY
    return CallPlan(
        request=_request_id(headers, dialect),
        service=service.name,
        route=OTHER_ROUTE if route is None else route.name,
        method=method,
        target=target,
        repeatable=repeatable,
        deadline_ms=deadline_ms,
        depth=depth + 1,
        key=IdempotencyKey(key.decode("latin-1")),
        hedge_after_quantile=service.hedge_after_quantile,
        claimed=claimed,
    )


def _strictest_route(
    service: ServiceRule, method: str, target: str
) -> RouteRule | None:
    """Return the stricter of the routes of the raw and of the normalised path.

    An upstream may normalise the path before it routes. If one of the two routes must
    never be repeated, that one is returned.
    """
    raw = target.partition("?")[0]
    route = find_route(service, method, raw)
    normalised = _normalise_path(raw)
    if normalised == raw or (route is not None and route.repeat is RepeatRule.NEVER):
        return route
    normalised_route = find_route(service, method, normalised)
    if normalised_route is not None and normalised_route.repeat is RepeatRule.NEVER:
        return normalised_route
    return normalised_route if route is None else route


def _normalise_path(path: str) -> str:
    if path.startswith("/") and not any(mark in path for mark in UNNORMALISED_MARKS):
        return path
    plain = unquote(urlsplit(path).path if "://" in path else path)
    return "/" + posixpath.normpath("/" + plain).lstrip("/")


def make_fingerprint(plan: CallPlan, body: bytes) -> Fingerprint:
    """Return a digest that stays the same when the caller resends the request."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{plan.service} {plan.method} {plan.target} {plan.key}\n".encode())
    digest.update(body)
    return Fingerprint(digest.hexdigest())


def _service_name(headers: Headers, dialect: Dialect) -> ServiceName:
    named = find_field(headers, dialect.service)
    if named is None:
        host = find_field(headers, b"host") or b""
        named = host.partition(b":")[0].partition(b".")[0]
    return ServiceName(named.decode("latin-1"))


def _request_id(headers: Headers, dialect: Dialect) -> RequestId:
    given = find_field(headers, dialect.request_id)
    if given is None or len(given) > KEY_LIMIT_BYTES:
        return RequestId(uuid.uuid4().hex)
    return RequestId(given.decode("latin-1"))


def _is_repeatable(route: RouteRule | None, method: str) -> bool:
    if route is None:
        return method in SAFE_METHODS
    return route.repeat is RepeatRule.REPEATABLE


def _runs_once(route: RouteRule | None) -> bool:
    return route is not None and route.repeat is RepeatRule.ONCE


def _parse_number(headers: Headers, name: bytes, default: int) -> int | None:
    value = find_field(headers, name)
    if value is None:
        return default
    if not value.isdigit() or len(value) > NUMBER_LIMIT_DIGITS:
        return None
    return int(value)


def _deadline_ms(
    headers: Headers,
    service: ServiceRule,
    route: RouteRule | None,
    settings: EntrySettings,
    dialect: Dialect,
) -> float | None:
    rule_ms = route.deadline_ms if route is not None else service.deadline_ms
    limit_ms = rule_ms or settings.default_deadline_ms
    return _shorter_deadline_ms(headers, limit_ms, dialect)


def _shorter_deadline_ms(
    headers: Headers, limit_ms: float, dialect: Dialect
) -> float | None:
    """Return the shorter of a limit and the caller's deadline, None if it is invalid.

    The limit may be below a millisecond.
    """
    if find_field(headers, dialect.deadline_ms) is None:
        return limit_ms
    requested_ms = _parse_number(headers, dialect.deadline_ms, 0)
    return min(limit_ms, float(requested_ms)) if requested_ms else None
