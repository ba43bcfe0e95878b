"""Heartbeats and deregistrations that the platform's upstreams send to a node."""

from typing import Annotated, Literal

import msgspec

from cicadawheel.announcement import SLOTS_LIMIT, Announcement
from cicadawheel.configuration import ServiceRule
from cicadawheel.ids import BootId, ServiceName, UpstreamId, VersionName
from cicadawheel.platform.bodies import (
    DURATION_LIMIT_S,
    SAFE_INTEGER_LIMIT,
    StartTimeMs,
    decode_body,
)
from cicadawheel.settings import Address, parse_address
from cicadawheel.timer import MS_PER_S

DRAINING = "draining"
DEFAULT_HEALTH_PATH = "/health"
DEFAULT_CONNECTIONS = 100
"""Connection limit of an upstream whose service isn't configured yet."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class BeatBody(msgspec.Struct, frozen=True):
    """The body of a heartbeat request.

    ``sequence`` numbers the heartbeats of one process start. ``born`` is the Unix time
    of that start in ms; it distinguishes restarts of an instance under the same id.
    """

    service: Name
    address: Name
    zone: Name
    version: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_LIMIT)]
    state: Literal["ready", "draining"]
    sequence: Annotated[int, msgspec.Meta(ge=0, le=SAFE_INTEGER_LIMIT)]
    cold_remaining_s: Annotated[float, msgspec.Meta(ge=0, le=DURATION_LIMIT_S)] = 0.0
    born: StartTimeMs = 0


class LeaveBody(msgspec.Struct, frozen=True):
    """The body of a deregistration request; the request may also have no body."""

    born: StartTimeMs = 0


class Heartbeat(msgspec.Struct, frozen=True):
    """A decoded heartbeat."""

    upstream: UpstreamId
    started_at_ms: int
    sequence: int
    service: ServiceName
    version: VersionName
    address: Address
    slots: int
    draining: bool
    cold_ms: float

    def to_announcement(self, rule: ServiceRule | None) -> Announcement:
        """Convert the heartbeat to an announcement.

        Defaults are used where ``rule`` is None, as the service isn't configured yet.
        """
        configured = rule is not None
        return Announcement(
            upstream=self.upstream,
            boot=BootId(str(self.started_at_ms)),
            service=self.service,
            version=self.version,
            port=self.address.port,
            slots=self.slots,
            connections=rule.connections if configured else DEFAULT_CONNECTIONS,
            host=self.address.host,
            health_path=rule.health_path if configured else DEFAULT_HEALTH_PATH,
            cold_ms=self.cold_ms,
            started_unix_ms=self.started_at_ms,
        )


def decode_heartbeat(upstream: str, body: bytes) -> Heartbeat:
    """Decode the heartbeat of an upstream.

    Raises
    ------
    ValueError
        The body is malformed, or a field is missing or out of range.
    """
    heartbeat = decode_body(body, BeatBody)
    return Heartbeat(
        upstream=UpstreamId(upstream),
        started_at_ms=heartbeat.born,
        sequence=heartbeat.sequence,
        service=ServiceName(heartbeat.service),
        version=VersionName(heartbeat.version),
        address=parse_address(heartbeat.address),
        slots=heartbeat.slots,
        draining=heartbeat.state == DRAINING,
        cold_ms=heartbeat.cold_remaining_s * MS_PER_S,
    )


def decode_deregistration(body: bytes) -> BootId:
    """Return the boot id that a deregistration names, or an empty one.

    Raises
    ------
    ValueError
        The body is malformed.
    """
    if not body.strip():
        return BootId("")
    deregistration = decode_body(body, LeaveBody)
    return BootId(str(deregistration.born)) if deregistration.born else BootId("")
