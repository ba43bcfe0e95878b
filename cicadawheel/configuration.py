"""The configuration that control holds and every node has in force."""

from enum import Enum

import msgspec

from cicadawheel.ids import (
    DataCentreName,
    Epoch,
    NodeId,
    Revision,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
)


class DataCentreState(Enum):
    """Whether operators let a data centre take new work."""

    IN = "in"
    OUT = "out"


class RepeatRule(Enum):
    """Whether a request may be sent to upstreams more than once.

    ``NEVER`` holds for all sendings of an idempotency key, ``ONCE`` for one sending
    of a caller, which reaches one entry only and needs no claim.
    """

    REPEATABLE = "repeatable"
    NEVER = "never"
    ONCE = "once for each attempt"


class ReleaseState(Enum):
    """How far a release has come."""

    STAGED = "staged"
    RISING = "rising"
    DONE = "done"
    LATE = "late"
    TAKEN_BACK = "taken back"
    STOPPED = "stopped"


class RouteRule(msgspec.Struct, frozen=True):
    """What holds for the requests whose method and path prefix match."""

    name: str
    method: str
    path_prefix: str
    repeat: RepeatRule
    deadline_ms: float


class ServiceShare(msgspec.Struct, frozen=True, array_like=True):
    """A service's part of a route's requests, relative to the other parts."""

    service: ServiceName
    weight: float


class HostRoute(msgspec.Struct, frozen=True):
    """What holds for the requests of one host below one path prefix.

    ``name`` is the host and the prefix, which no other route has. An answer is worth
    most within ``target_ms``. ``priority`` 0 goes first. ``attempts`` is the most
    upstreams that one request may reach.
    """

    name: RouteName
    host: str
    path_prefix: str
    repeat: RepeatRule
    shares: tuple[ServiceShare, ...]
    deadline_ms: float
    target_ms: float
    priority: int
    attempts: int


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take; 0 leaves it to the settings."""

    head_bytes: int = 0
    body_bytes: int = 0
    head_timeout_ms: float = 0.0
    idle_timeout_ms: float = 0.0


class ReleaseHabits(msgspec.Struct, frozen=True):
    """How a service's new versions are brought in.

    ``first_share`` is the share of the first calls, 0 for a part of the proof limit.
    A stage ends after ``calls_min`` calls of the new version at the earliest.
    """

    proof_share_limit: float = 0.05
    stage_min_ms: float = 10_000.0
    failure_ratio_limit: float = 0.02
    slowdown_limit: float = 1.5
    first_share: float = 0.0
    calls_min: int = 30


class ServiceRule(msgspec.Struct, frozen=True):
    """One service: its routes in order of precedence, and its habits.

    ``current_version`` is empty until a release has completed; any version is
    then served. An upstream is cold for ``cold_ms`` after its start, and bears
    ``cold_calls_per_s`` meanwhile; 0 where neither is known.
    """

    name: ServiceName
    deadline_ms: float
    routes: tuple[RouteRule, ...] = ()
    retry_share: float = 0.1
    hedge_after_quantile: float = 0.0
    habits: ReleaseHabits = ReleaseHabits()
    current_version: VersionName = VersionName("")
    health_path: str = ""
    connections: int = 0
    cold_ms: float = 0.0
    cold_calls_per_s: float = 0.0


class DataCentreRule(msgspec.Struct, frozen=True):
    """One data centre, its region, and whether it takes new work.

    ``distance_ms`` is the one-way delay from each other data centre.
    """

    name: DataCentreName
    region: str = ""
    state: DataCentreState = DataCentreState.IN
    distance_ms: dict[DataCentreName, float] = {}


class MeasuringBudget(msgspec.Struct, frozen=True):
    """What a node may spend on measuring the load of others."""

    probes_per_s: float = 10.0
    bytes_per_s: float = 3_000.0


class ReleaseRule(msgspec.Struct, frozen=True):
    """One release of a service.

    ``share`` is the part of the service's calls that the new version gets.
    ``deadline_at_ms``, ``started_at_ms`` and ``done_at_ms`` are Unix times; the
    last is 0 until the release was done for the first time.
    """

    service: ServiceName
    version: VersionName
    old_version: VersionName
    state: ReleaseState
    share: float
    started_at_ms: int
    deadline_at_ms: int
    reason: str = ""
    done_at_ms: int = 0


Withdrawal = tuple[ServiceName, VersionName]
"""A service and a version of it that was taken back."""


class Configuration(msgspec.Struct, frozen=True):
    """Everything that operators decide, at one revision.

    Where ``routes`` is not empty, callers choose by host and path, and by the name
    of the service otherwise.
    """

    revision: Revision = Revision(0)
    services: dict[ServiceName, ServiceRule] = {}
    data_centres: dict[DataCentreName, DataCentreRule] = {}
    releases: tuple[ReleaseRule, ...] = ()
    withdrawn: tuple[Withdrawal, ...] = ()
    measuring: MeasuringBudget = MeasuringBudget()
    routes: dict[RouteName, HostRoute] = {}
    callers: CallerLimits = CallerLimits()

    def is_withdrawn(self, service: ServiceName, version: VersionName) -> bool:
        """Return whether a version of a service was taken back."""
        return (service, version) in self.withdrawn

    def takes_new_work(self, data_centre: DataCentreName) -> bool:
        """Return whether a data centre is not taken out by operators."""
        rule = self.data_centres.get(data_centre)
        return rule is None or rule.state is DataCentreState.IN

    def release_of(self, service: ServiceName) -> ReleaseRule | None:
        """Return the newest release of a service, or None."""
        for release in reversed(self.releases):
            if release.service == service:
                return release
        return None


class Member(msgspec.Struct, frozen=True):
    """One upstream and the node beside it, as registered with control.

    ``epoch`` is the log index of the registration: a later one of the same
    node or upstream replaces this one.
    """

    node: NodeId
    upstream: UpstreamId
    service: ServiceName
    version: VersionName
    data_centre: DataCentreName
    host: str
    port: int
    slots: int
    connections: int
    epoch: Epoch = Epoch(0)
    leaving: bool = False


def find_route(service: ServiceRule, method: str, path: str) -> RouteRule | None:
    """Return the first route of a service that matches, or None."""
    for route in service.routes:
        if route.method in ("*", method) and path.startswith(route.path_prefix):
            return route
    return None
