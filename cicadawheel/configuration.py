"""The configuration that control stores and every node applies."""

from enum import Enum

import msgspec

from cicadawheel.ids import (
    BootId,
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
    """Whether a data centre accepts new calls, as set by operators."""

    IN = "in"
    OUT = "out"


class RepeatRule(Enum):
    """Whether a request may be sent to upstreams more than once.

    ``NEVER`` applies to all requests with the same idempotency key. ``ONCE`` applies
    to a single request of a caller, which reaches one entry only and needs no claim.
    """

    REPEATABLE = "repeatable"
    NEVER = "never"
    ONCE = "once for each attempt"


class ReleaseState(Enum):
    """The progress of a release."""

    STAGED = "staged"
    RISING = "rising"
    DONE = "done"
    LATE = "late"
    TAKEN_BACK = "taken back"
    STOPPED = "stopped"


class Routing(Enum):
    """How the service of a call is found; ``UNSET`` until rules have been applied."""

    UNSET = "unset"
    BY_SERVICE = "by service"
    BY_HOST = "by host"


class RouteRule(msgspec.Struct, frozen=True):
    """The rules for requests that match a method and a path prefix."""

    name: str
    method: str
    path_prefix: str
    repeat: RepeatRule
    deadline_ms: float


class ServiceShare(msgspec.Struct, frozen=True, array_like=True):
    """The share of a route's requests that a service gets, as a relative weight."""

    service: ServiceName
    weight: float


class HostRoute(msgspec.Struct, frozen=True):
    """The rules for requests to one host below one path prefix.

    ``name`` consists of the host and the prefix and is unique. An answer is of
    most value within ``target_ms``. ``priority`` 0 is the highest. ``attempts`` is
    the maximum number of upstreams that one request may reach.
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
    """Limits on the requests of callers; 0 means the limit from the settings."""

    head_bytes: int = 0
    body_bytes: int = 0
    head_timeout_ms: float = 0.0
    idle_timeout_ms: float = 0.0


class ReleaseHabits(msgspec.Struct, frozen=True):
    """How new versions of a service are released.

    ``first_share`` is the share of calls in the first stage; 0 means a fraction of
    the proof limit. A stage ends after ``calls_min`` calls of the new version at the
    earliest.
    """

    proof_share_limit: float = 0.05
    stage_min_ms: float = 10_000.0
    failure_ratio_limit: float = 0.02
    slowdown_limit: float = 1.5
    first_share: float = 0.0
    calls_min: int = 30


class ServiceRule(msgspec.Struct, frozen=True):
    """One service: its routes in order of precedence, and its release settings.

    ``current_version`` is empty until a release has completed; calls go to any
    version until then. An upstream is cold for ``cold_ms`` after its start, and can
    handle ``cold_calls_per_s`` in that time; both are 0 if unknown.
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
    """One data centre, its region, and whether it accepts new calls.

    ``distance_ms`` is the one-way delay from each other data centre. ``state_revision``
    is the revision that last changed ``state``, 0 for none.
    """

    name: DataCentreName
    region: str = ""
    state: DataCentreState = DataCentreState.IN
    distance_ms: dict[DataCentreName, float] = {}
    state_revision: Revision = Revision(0)


class MeasuringBudget(msgspec.Struct, frozen=True):
    """The budget of a node for measuring the load of others."""

    probes_per_s: float = 10.0
    bytes_per_s: float = 3_000.0


class ReleaseRule(msgspec.Struct, frozen=True):
    """One release of a service.

    ``share`` is the share of the service's calls that the new version gets.
    ``deadline_at_ms``, ``started_at_ms`` and ``done_at_ms`` are Unix times.
    ``done_at_ms`` is 0 until the release is done for the first time.
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


ACTIVE_STATES = (ReleaseState.STAGED, ReleaseState.RISING, ReleaseState.LATE)
"""States in which calls go to the old and to the new version."""

Withdrawal = tuple[ServiceName, VersionName]
"""A service, and a version of it that was taken back."""


class Configuration(msgspec.Struct, frozen=True):
    """All settings that operators control, at one revision.

    ``routes`` apply to calls that are routed by host and path; without any, no such
    call has a route. Other calls name their service. See `call_routing`.
    """

    revision: Revision = Revision(0)
    services: dict[ServiceName, ServiceRule] = {}
    data_centres: dict[DataCentreName, DataCentreRule] = {}
    releases: tuple[ReleaseRule, ...] = ()
    withdrawn: tuple[Withdrawal, ...] = ()
    measuring: MeasuringBudget = MeasuringBudget()
    routes: dict[RouteName, HostRoute] = {}
    callers: CallerLimits = CallerLimits()
    routing: Routing = Routing.UNSET

    def call_routing(self) -> Routing:
        """Return how calls are routed.

        Earlier versions did not store it; it then follows from the rules.
        """
        if self.routing is not Routing.UNSET:
            return self.routing
        if self.routes:
            return Routing.BY_HOST
        return Routing.BY_SERVICE if self.services else Routing.UNSET

    def has_rules(self) -> bool:
        """Return whether rules were applied, possibly without any service or route.

        Orders that come before them, such as for a data centre, have a revision too.
        """
        return bool(self.revision) and self.call_routing() is not Routing.UNSET

    def is_withdrawn(self, service: ServiceName, version: VersionName) -> bool:
        """Return whether a version of a service was taken back."""
        return (service, version) in self.withdrawn

    def may_run(self, service: ServiceName, version: VersionName) -> bool:
        """Return whether calls of a service may go to a version of it.

        Upstreams of other versions may stand by for a release that isn't started yet.
        """
        rule = self.services.get(service)
        if rule is None or self.is_withdrawn(service, version):
            return False
        if rule.current_version in ("", version):
            return True
        release = self.release_of(service)
        return (
            release is not None
            and release.version == version
            and release.state in ACTIVE_STATES
        )

    def takes_new_work(self, data_centre: DataCentreName) -> bool:
        """Return whether a data centre accepts new calls."""
        rule = self.data_centres.get(data_centre)
        return rule is None or rule.state is DataCentreState.IN

    def release_of(self, service: ServiceName) -> ReleaseRule | None:
        """Return the newest release of a service, or None."""
        for release in reversed(self.releases):
            if release.service == service:
                return release
        return None


class Member(msgspec.Struct, frozen=True):
    """One upstream and its node, as registered with control.

    ``epoch`` is the log index of the registration. A later registration of the same
    node or upstream replaces this one. ``departed_boot`` is set once the upstream has
    left for good, to the boot that has left.
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
    departed_boot: BootId = BootId("")


def find_route(service: ServiceRule, method: str, path: str) -> RouteRule | None:
    """Return the first route of a service that matches, or None."""
    for route in service.routes:
        if route.method in ("*", method) and path.startswith(route.path_prefix):
            return route
    return None
