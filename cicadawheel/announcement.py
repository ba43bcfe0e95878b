"""What an upstream tells the node beside it, as JSON over HTTP."""

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
"""More than any upstream runs at once."""

COLD_LIMIT_MS = 3_600_000.0
"""An hour: no upstream stays cold for longer."""

NotEmpty = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream is there and takes requests at ``host:port``.

    It is sent again at least every `AnnounceAnswer.repeat_ms`. ``boot`` changes
    with each start of the upstream. ``cold_ms`` is how long it stays cold, if it
    knows that.
    """

    upstream: Annotated[UpstreamId, msgspec.Meta(min_length=1, max_length=200)]
    boot: Annotated[BootId, msgspec.Meta(min_length=1, max_length=200)]
    service: Annotated[ServiceName, msgspec.Meta(min_length=1, max_length=200)]
    version: Annotated[VersionName, msgspec.Meta(min_length=1, max_length=200)]
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_LIMIT)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    host: NotEmpty = "127.0.0.1"
    health_path: str = "/health"
    load_path: str = "/load"
    cold_ms: Annotated[float, msgspec.Meta(ge=0, le=COLD_LIMIT_MS)] = 0.0


class AnnounceAnswer(msgspec.Struct, frozen=True):
    """The node's answer to an announcement."""

    repeat_ms: float


class Leave(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream takes no new requests and will stop."""

    upstream: UpstreamId
    boot: BootId


class UpstreamLoad(msgspec.Struct, frozen=True):
    """What an upstream reports at its load path; it may lag or mislead.

    ``slowness`` is how many times the usual its work takes at this moment.
    """

    in_flight: int
    slots: int
    cold: bool = False
    queued: int = 0
    slowness: float = 1.0
