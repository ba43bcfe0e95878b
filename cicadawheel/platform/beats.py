"""What an upstream on the platform says of itself, at intervals and when it leaves."""

from typing import Annotated, Literal

import msgspec

from cicadawheel.announcement import SLOTS_LIMIT, Announcement
from cicadawheel.configuration import ServiceRule
from cicadawheel.ids import BootId, ServiceName, UpstreamId, VersionName
from cicadawheel.platform.bodies import (
    DURATION_LIMIT_S,
    NUMBER_LIMIT,
    BornMs,
    decode_body,
)
from cicadawheel.settings import Address, parse_address
from cicadawheel.timer import MS_PER_S

DRAINING = "draining"
DEFAULT_HEALTH_PATH = "/health"
DEFAULT_CONNECTIONS = 100
"""Connections of an upstream whose service isn't configured yet."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class BeatBody(msgspec.Struct, frozen=True):
    """The body of a heartbeat.

    ``sequence`` counts the beats of one start; ``born`` is the Unix time of the start
    in ms, and tells starts under one id apart.
    """

    service: Name
    address: Name
    zone: Name
    version: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_LIMIT)]
    state: Literal["ready", "draining"]
    sequence: Annotated[int, msgspec.Meta(ge=0, le=NUMBER_LIMIT)]
    cold_remaining_s: Annotated[float, msgspec.Meta(ge=0, le=DURATION_LIMIT_S)] = 0.0
    born: BornMs = 0


class LeaveBody(msgspec.Struct, frozen=True):
    """The body of a deregistration, which may be empty."""

    born: BornMs = 0


class Beat(msgspec.Struct, frozen=True):
    """One heartbeat in the product's terms."""

    upstream: UpstreamId
    born_ms: int
    number: int
    service: ServiceName
    version: VersionName
    address: Address
    slots: int
    leaving: bool
    cold_ms: float

    def announcement(self, rule: ServiceRule | None) -> Announcement:
        """Return it as the announcement of an upstream of a configured service."""
        known = rule is not None
        return Announcement(
            upstream=self.upstream,
            boot=BootId(str(self.born_ms)),
            service=self.service,
            version=self.version,
            port=self.address.port,
            slots=self.slots,
            connections=rule.connections if known else DEFAULT_CONNECTIONS,
            host=self.address.host,
            health_path=rule.health_path if known else DEFAULT_HEALTH_PATH,
            cold_ms=self.cold_ms,
        )


def decode_beat(upstream: str, body: bytes) -> Beat:
    """Return a heartbeat.

    Raises
    ------
    ValueError
        It can't be read, or lacks a field.
    """
    beat = decode_body(body, BeatBody)
    return Beat(
        upstream=UpstreamId(upstream),
        born_ms=beat.born,
        number=beat.sequence,
        service=ServiceName(beat.service),
        version=VersionName(beat.version),
        address=parse_address(beat.address),
        slots=beat.slots,
        leaving=beat.state == DRAINING,
        cold_ms=beat.cold_remaining_s * MS_PER_S,
    )


def decode_leave(body: bytes) -> BootId:
    """Return the start that deregisters, empty if it doesn't say.

    Raises
    ------
    ValueError
        It can't be read.
    """
    if not body.strip():
        return BootId("")
    leave = decode_body(body, LeaveBody)
    return BootId(str(leave.born)) if leave.born else BootId("")
