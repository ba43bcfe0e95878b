"""Places a call where its answer is expected soonest.

The load that this answers: upstreams with slots to spare on shared machines, of which
any may take several times the usual for half a second at any moment. Their gates tell
within milliseconds, so what decides is how long the work takes on each machine from
now on, then how far it is and what its bytes cost on the way, and only then how many
calls are there already.
"""

import math
from random import Random

import msgspec

from cicadawheel.entry.candidate import Candidate
from cicadawheel.entry.group import Group, Usable
from cicadawheel.slowness import remaining_ms

FIRST_WORK_MS = 100.0
"""Usual time of a route's work before any answer was seen."""

WORK_WEIGHT = 0.1
"""Weight of the newest answer in a route's usual time."""

CALM_SLOWNESS = 1.5
"""Answers from machines that are slower say little of the usual time."""

HOP_MS = 1.0
"""What a hop to another node costs beside the distance."""

DISTANCE_ROUND_TRIPS = 2.0
"""One way there and one back."""

REMOTE_MS_PER_KIB = 6.0
"""What a kibibyte between data centres weighs, as time: traffic there is paid for."""

ANSWER_KIB = 2.0
"""The usual size of a head and its answer."""

USE_PART = 0.35
"""The part of its usual time that a call takes longer when all slots are taken."""

NEAR_TIE = 1.05
"""Costs within this factor are taken for equal, so that entries don't herd."""


class Need(msgspec.Struct, frozen=True):
    """What is known of a call before it is placed.

    ``usable_part`` is the part of an upstream's slots that calls of its rank may use.
    """

    work_ms: float = FIRST_WORK_MS
    body_bytes: int = 0
    usable_part: float = 1.0


NO_NEED = Need()


class Works:
    """The usual time for the work of each route, on a machine that isn't slow."""

    def __init__(self):
        self._usual_ms: dict[str, float] = {}

    def usual_ms(self, route: str) -> float:
        """Return the usual time of a route's work."""
        return self._usual_ms.get(route, FIRST_WORK_MS)

    def answered(self, route: str, took_ms: float, slowness: float) -> None:
        """Take an answer and how slow its machine was."""
        if slowness > CALM_SLOWNESS:
            return
        known_ms = self._usual_ms.get(route)
        if known_ms is None:
            self._usual_ms[route] = took_ms
        else:
            self._usual_ms[route] = known_ms + WORK_WEIGHT * (took_ms - known_ms)


def answer_ms(candidate: Candidate, need: Need, distance_ms: float, own: bool) -> float:
    """Return the cost of a call at an upstream, as the time to its answer."""
    slowness, calls = candidate.slowness, candidate.calls()
    capacity = max(1.0, candidate.capacity() * need.usable_part)
    work_ms = need.work_ms * (1.0 + USE_PART * min(1.0, calls / capacity))
    cost_ms = remaining_ms(work_ms, slowness)
    ahead = calls + 1.0 - capacity
    if ahead > 0.0:
        cost_ms += ahead / capacity * need.work_ms * slowness
    if own:
        return cost_ms
    cost_ms += HOP_MS
    if distance_ms:
        size_kib = need.body_bytes / 1_024 + ANSWER_KIB
        cost_ms += DISTANCE_ROUND_TRIPS * distance_ms + size_kib * REMOTE_MS_PER_KIB
    return cost_ms


class SoonestAnswer:
    """Takes one of the upstreams that are expected to answer soonest.

    Parameters
    ----------
    random : Random
        Chooses among those that are expected to answer about equally soon.
    """

    def __init__(self, random: Random):
        self.random = random

    def pick(
        self,
        group: Group,
        usable: Usable,
        usual_ms: float,
        now_ms: float,
        need: Need,
    ) -> Candidate | None:
        """Return the candidate for a call, or None if none is usable."""
        best_ms = math.inf
        costs = []
        for tier in group.tiers:
            for candidate in filter(usable, tier.candidates):
                own = candidate is group.own
                cost_ms = answer_ms(candidate, need, tier.distance_ms, own)
                best_ms = min(best_ms, cost_ms)
                costs.append((cost_ms, candidate))
        nearly = [item for cost_ms, item in costs if cost_ms <= best_ms * NEAR_TIE]
        return self.random.choice(nearly) if nearly else None
