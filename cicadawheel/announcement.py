"""Messages between an upstream and its node, as JSON over HTTP."""

from typing import Annotated

import msgspec

from cicadawheel.ids import BootId, ServiceName, UpstreamId, VersionName

ANNOUNCE_PATH = "/v1/announce"
LEAVE_PATH = "/v1/leave"

HEADER_REQUEST_ID = b"x-request-id"
HEADER_SERVICE = b"cicadawheel-service"
HEADER_DEADLINE_MS = b"cicadawheel-deadline-ms"
HEADER_DEPTH = b"cicadawheel-depth"
HEADER_NOT_RUN = b"cicadawheel-not-run"
HEADER_REASON = b"cicadawheel-reason"
HEADER_IDEMPOTENCY_KEY = b"idempotency-key"

SLOTS_LIMIT = 100_000
"""Upper bound for announced slots: more than any upstream runs concurrently."""

COLD_LIMIT_MS = 3_600_000.0
"""Upper bound for the announced warm-up time: no upstream takes over an hour."""

NonEmpty = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announces that an upstream accepts requests at ``host:port``.

    The upstream repeats it at least every `AnnounceAnswer.repeat_ms`. ``boot`` changes
    with each start of the upstream. ``cold_ms`` is its expected warm-up time, and
    ``started_unix_ms`` the Unix time of its start; both are 0 if unknown.
    """

    upstream: Annotated[UpstreamId, msgspec.Meta(min_length=1, max_length=200)]
    boot: Annotated[BootId, msgspec.Meta(min_length=1, max_length=200)]
    service: Annotated[ServiceName, msgspec.Meta(min_length=1, max_length=200)]
    version: Annotated[VersionName, msgspec.Meta(min_length=1, max_length=200)]
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_LIMIT)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    host: NonEmpty = "127.0.0.1"
    health_path: str = "/health"
    load_path: str = "/load"
    cold_ms: Annotated[float, msgspec.Meta(ge=0, le=COLD_LIMIT_MS)] = 0.0
    started_unix_ms: Annotated[int, msgspec.Meta(ge=0)] = 0


class AnnounceAnswer(msgspec.Struct, frozen=True):
    """The node's answer to an announcement."""

    repeat_ms: float


class Leave(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announces that an upstream accepts no new requests and will stop."""

    upstream: UpstreamId
    boot: BootId


class UpstreamLoad(msgspec.Struct, frozen=True):
    """The load report at an upstream's load path; it may be stale or wrong.

    ``slowness`` is the current service time relative to the usual one.
    """

    in_flight: int
    slots: int
    cold: bool = False
    queued: int = 0
    slowness: float = 1.0
