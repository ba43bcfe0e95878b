"""Decides how much of an entry's demand leaves its data centre.

It answers data centres whose own upstreams are at times too few: traffic between data
centres is slower and charged for, so only the excess is sent away, and as a flow.
Reports are stale, and each entry acts on the same ones. Without a memory all of them
take the room that they see far away, come back together when that is gone, and so on.
"""

import math
from enum import Enum
from random import Random

import msgspec

from cicadawheel.ids import ServiceName

EXCESS_WEIGHT = 0.05
"""The weight of the latest call in the moving average of the excess."""

RISE_MS = 200.0
"""Time constant of a rising pressure: it follows a loss of upstreams in a second."""

FALL_MS = 3_000.0
"""Time constant of a falling pressure, several slow periods of VMs long, so that what
comes back doesn't fill the near upstreams at once."""

LEAVING_PRESSURE = 0.05
"""From this pressure on a service's calls count as leaving the data centre, ..."""

LEFT_PRESSURE = 0.01
"""... and down to this one they still do, so that streams aren't opened in vain."""

LOGGED_STEP = 0.1
"""A change of the share sent away by this much is logged."""


class NearState(Enum):
    """What the upstreams of the own data centre can do for a call."""

    FREE = "room near"
    QUEUE = "short queue near"
    FULL = "near upstreams full"
    SLOW = "near upstreams too slow"
    FAILING = "near upstreams fail"
    NONE = "no near upstream"


class FlowReport(msgspec.Struct, frozen=True):
    """The part of a service's calls of one rank that leave the data centre.

    ``pressure`` is the damped share of calls that the near upstreams couldn't bear, and
    ``why`` the last reason for it.
    """

    service: ServiceName
    priority: int
    share: float
    pressure: float
    why: str


class Flow:
    """How the calls of a service and a rank divide into near and far ones.

    A call that has a free slot near stays. One that would have to queue there stays
    too while that is an exception, as queues level out demand that varies. While more
    calls come than the near upstreams can bear, queues only add to the time of all, so
    that share of them leaves at once.
    """

    def __init__(self):
        self.share = 0.0
        self.pressure = 0.0
        self.why = NearState.FREE
        self.logged_share = 0.0
        self._excess = 0.0
        self._at_ms: float | None = None

    def stays(self, near: NearState, random: Random) -> bool:
        """Return whether a call stays, given what the near upstreams can do for it."""
        if near is NearState.QUEUE:
            return random.random() >= self.pressure
        return near is NearState.FREE

    def sent(self, far: bool) -> None:
        """Record where a call went."""
        self.share += EXCESS_WEIGHT * (float(far) - self.share)

    def record(self, near: NearState, now_ms: float) -> None:
        """Record what the near upstreams can do for a new call."""
        borne = near in (NearState.FREE, NearState.QUEUE)
        if not borne:
            self.why = near
        self._excess += EXCESS_WEIGHT * (float(not borne) - self._excess)
        passed_ms = 0.0 if self._at_ms is None else now_ms - self._at_ms
        self._at_ms = now_ms
        step = self._excess - self.pressure
        constant_ms = RISE_MS if step > 0.0 else FALL_MS
        self.pressure += step * (1.0 - math.exp(-passed_ms / constant_ms))


class Flows:
    """The flows of an entry, by service and rank."""

    def __init__(self):
        self._flows: dict[tuple[ServiceName, int], Flow] = {}

    def flow(self, service: ServiceName, priority: int) -> Flow:
        """Return the flow of a service's calls of a rank."""
        flow = self._flows.get((service, priority))
        if flow is None:
            flow = self._flows[(service, priority)] = Flow()
        return flow

    def leaving(self, before: frozenset[ServiceName]) -> frozenset[ServiceName]:
        """Return the services whose calls leave, given those that did before."""
        return frozenset(
            service
            for (service, _), flow in self._flows.items()
            if flow.pressure
            > (LEFT_PRESSURE if service in before else LEAVING_PRESSURE)
        )

    def report(self) -> list[FlowReport]:
        """Return the state for operators."""
        return [_report(key, flow) for key, flow in self._flows.items()]

    def changes(self) -> list[FlowReport]:
        """Return the flows whose share has changed by a step since it was returned."""
        changed = []
        for key, flow in self._flows.items():
            if abs(flow.share - flow.logged_share) >= LOGGED_STEP:
                flow.logged_share = flow.share
                changed.append(_report(key, flow))
        return changed


def _report(key: tuple[ServiceName, int], flow: Flow) -> FlowReport:
    return FlowReport(*key, flow.share, flow.pressure, flow.why.value)
