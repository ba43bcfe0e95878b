"""Places a call at the upstream that is expected to answer soonest.

It is for upstreams with spare slots on shared VMs, any of which may be several times
slower than usual for half a second at any moment. Gates report that within
milliseconds. The cost of an upstream is therefore dominated by how long the work will
take on its VM, then by the distance and the transfer cost, and only then by the calls
already there.
"""

import math
from random import Random

import msgspec

from cicadawheel.entry.answer_size import INITIAL_ANSWER_BYTES
from cicadawheel.entry.candidate import Candidate
from cicadawheel.entry.group import Group, Usable
from cicadawheel.entry.transfer import delayed_ms
from cicadawheel.slowness import remaining_ms

INITIAL_WORK_MS = 100.0
"""The assumed work time of a route before its first answer."""

WORK_WEIGHT = 0.1
"""The weight of the latest answer in the moving average of a route's work time."""

MAX_SAMPLED_SLOWNESS = 1.5
"""Answers from slower VMs say little about the usual time and are not averaged."""

BYTES_PER_KIB = 1_024

HOP_MS = 1.0
"""The cost of a hop to another node, in addition to the distance."""

ONE_WAY_TRIPS = 2.0
"""The distance is counted once for the request and once for the answer."""

REMOTE_MS_PER_KIB = 6.0
"""The cost of a KiB between data centres, as time: such traffic is charged for."""

CALL_BYTES = 2_048.0
"""The least that a call and its answer count, with the messages around them."""

FULL_LOAD_DELAY = 0.35
"""The fraction by which a call takes longer when all slots are taken."""

TOLERATED_FAILURE_SHARE = 0.15
"""A share up to this may be chance, as it is measured over about ten requests."""

FAILURE_COST = 4.0
"""The cost of a failure in work times. At an upstream that fails half of its requests
it is that of a short queue: such an upstream is better than a refusal."""

TIE_FACTOR = 1.05
"""Costs within this factor count as equal, so that entries don't herd."""


class CallProfile(msgspec.Struct, frozen=True):
    """The properties of a call by which it is placed.

    ``usable_part`` is the fraction of an upstream's slots that its priority may use.
    ``answer_bytes`` is the usual size of an answer, and ``transfer_ms`` its time on an
    idle link, of which ``link_use`` is used by others; 0 if small.
    """

    work_ms: float = INITIAL_WORK_MS
    body_bytes: int = 0
    usable_part: float = 1.0
    answer_bytes: float = INITIAL_ANSWER_BYTES
    transfer_ms: float = 0.0
    link_use: float = 0.0


DEFAULT_PROFILE = CallProfile()


class WorkTimes:
    """The usual work time of each route on a VM that isn't slow."""

    def __init__(self):
        self._usual_ms: dict[str, float] = {}

    def usual_ms(self, route: str) -> float:
        """Return the usual work time of a route."""
        return self._usual_ms.get(route, INITIAL_WORK_MS)

    def add(self, route: str, took_ms: float, slowness: float) -> None:
        """Record the time of an answer and the slowness of its VM."""
        if slowness > MAX_SAMPLED_SLOWNESS:
            return
        known_ms = self._usual_ms.get(route)
        if known_ms is None:
            self._usual_ms[route] = took_ms
        else:
            self._usual_ms[route] = known_ms + WORK_WEIGHT * (took_ms - known_ms)


def expected_answer_ms(
    candidate: Candidate, profile: CallProfile, distance_ms: float, own: bool
) -> float:
    """Return the cost of a call at an upstream, as the expected time to its answer."""
    slowness, calls = candidate.slowness, candidate.calls()
    capacity = max(1.0, candidate.capacity() * profile.usable_part)
    work_ms = profile.work_ms * (1.0 + FULL_LOAD_DELAY * min(1.0, calls / capacity))
    cost_ms = remaining_ms(work_ms, slowness)
    queued_calls = calls + 1.0 - capacity
    if queued_calls > 0.0:
        cost_ms += queued_calls / capacity * profile.work_ms * slowness
    excess_share = candidate.failure_share - TOLERATED_FAILURE_SHARE
    if excess_share > 0.0:
        cost_ms += excess_share * FAILURE_COST * profile.work_ms
    if own:
        return cost_ms
    cost_ms += HOP_MS
    if profile.transfer_ms:
        other_use = candidate.link_use
        cost_ms += delayed_ms(profile.transfer_ms, profile.link_use, other_use)
    if distance_ms:
        size_bytes = profile.body_bytes + max(CALL_BYTES, profile.answer_bytes)
        cost_ms += ONE_WAY_TRIPS * distance_ms
        cost_ms += size_bytes / BYTES_PER_KIB * REMOTE_MS_PER_KIB
    return cost_ms


class SoonestAnswer:
    """Selects one of the upstreams that are expected to answer soonest.

    Parameters
    ----------
    random : Random
        Selects among those whose expected times are about equal.
    """

    def __init__(self, random: Random):
        self.random = random

    def pick(
        self,
        group: Group,
        usable: Usable,
        usual_ms: float,
        now_ms: float,
        profile: CallProfile,
    ) -> Candidate | None:
        """Select the candidate for a call, or None if none is usable."""
        best_ms = math.inf
        costs = []
        for tier in group.tiers:
            for candidate in filter(usable, tier.candidates):
                own = candidate is group.own
                cost_ms = expected_answer_ms(candidate, profile, tier.distance_ms, own)
                best_ms = min(best_ms, cost_ms)
                costs.append((cost_ms, candidate))
        tied = [item for cost_ms, item in costs if cost_ms <= best_ms * TIE_FACTOR]
        return self.random.choice(tied) if tied else None
