"""Estimates whether a service can answer one more call in time.

It answers bursts that exceed what all upstreams of a service can run. The upstream
that a call would be placed at then has no free slot, and any other has a queue as well.
Trying one after the other takes the time in which the caller could have come back.

Load reports are late and come from a part of the upstreams. A report counts less the
older it is, and upstreams without a recent one are assumed to be like the others.
Without reports, the estimate is that there is room.

Does no I/O and reads no clock.
"""

from collections.abc import Iterable

import msgspec

from cicadawheel.entry.candidate import Candidate
from cicadawheel.messages import RefusalReason
from cicadawheel.slowness import remaining_ms
from cicadawheel.timer import MS_PER_S

CHANCE_MIN = 0.15
"""A call with a smaller chance of an answer in time is refused: its caller, told at
once, can come back with nearly all of its time left."""

SHORT_ANSWER_PART = 0.8
"""An answer may come after this part of its expected time, as work times vary."""

LASTING_EXCESS_TURNS = 2.0
"""Queues twice as long as all slots outlast a burst. To let calls wait past their
target then makes the answers to all later calls late too."""

RANK_HALF_LIFE_S = 3.0
"""The half-life of the counts of requests and answers."""

FORGOTTEN_COUNT = 0.05
"""Ranks without a request for some ten seconds are forgotten."""

DEMAND_PRIOR = 3.0
"""The demand counts as met while there are not clearly more requests than these."""

TAKEN_PART_MAX = 0.8
"""Higher priorities are assumed to take no larger part of the room."""


class Demand:
    """The recent requests for a service by rank, and the answers to them."""

    def __init__(self):
        self._requests: dict[int, float] = {}
        self._answers = 0.0
        self._at_ms = 0.0

    def record_request(self, rank: int, now_ms: float) -> None:
        """Count a request."""
        self._decay(now_ms)
        self._requests[rank] = self._requests.get(rank, 0.0) + 1.0

    def record_answer(self, now_ms: float) -> None:
        """Count an answer."""
        self._decay(now_ms)
        self._answers += 1.0

    def share_up_to(self, rank: int) -> float:
        """Return the share of the requests of this rank or a higher one."""
        total = sum(self._requests.values())
        ahead = sum(count for one, count in self._requests.items() if one <= rank)
        return ahead / total if total else 1.0

    def is_highest(self, rank: int) -> bool:
        """Return whether no recent request has a higher rank."""
        return rank <= min(self._requests, default=rank)

    def excess(self) -> float:
        """Return the requests relative to the answers, 1 if all are answered."""
        total = sum(self._requests.values())
        return max(1.0, (total + DEMAND_PRIOR) / (self._answers + DEMAND_PRIOR))

    def taken_part(self, rank: int) -> float:
        """Return the part of the room that higher ranks take in an excess."""
        higher = [one for one in self._requests if one < rank]
        if not higher:
            return 0.0
        share = self.share_up_to(max(higher))
        return min(TAKEN_PART_MAX, share * self.excess())

    def _decay(self, now_ms: float) -> None:
        kept = 0.5 ** ((now_ms - self._at_ms) / MS_PER_S / RANK_HALF_LIFE_S)
        self._at_ms = now_ms
        self._answers *= kept
        self._requests = {
            rank: count * kept
            for rank, count in self._requests.items()
            if count * kept >= FORGOTTEN_COUNT
        }


class RoomQuery(msgspec.Struct, frozen=True):
    """One more call to a service, for which room is needed.

    ``usable_part`` is the fraction of the slots that its priority may use,
    ``ahead_share`` the share of the requests that are not queued behind it.
    ``taken_part`` is the part of the room that later calls of higher priorities take
    before it while the excess lasts.
    ``target_ms`` is 0 if there is none.
    """

    work_ms: float
    deadline_ms: float
    target_ms: float = 0.0
    usable_part: float = 1.0
    ahead_share: float = 1.0
    taken_part: float = 0.0


class Room(msgspec.Struct, frozen=True):
    """What is expected of one more call to a service.

    The chances are those of an answer by the deadline and by the target.
    ``excess_turns`` is the mean length of the queues, relative to the slots. ``known``
    is the number of reports, each weighted by its age, and ``age_ms`` the mean age.
    """

    deadline_chance: float
    target_chance: float
    excess_turns: float = 0.0
    known: float = 0.0
    age_ms: float = 0.0


def estimate_room(
    candidates: Iterable[Candidate],
    query: RoomQuery,
    half_life_ms: float,
    now_ms: float,
) -> Room:
    """Return what is expected of one more call.

    Parameters
    ----------
    candidates : iterable of Candidate
        The upstreams that the call may be placed at.
    query : RoomQuery
        The call.
    half_life_ms : float
        The half-life of the weight of a load report.
    now_ms : float
        The time.
    """
    count, known, ages_ms, excess_turns = 0, 0.0, 0.0, 0.0
    by_deadline, by_target = _Chance(), _Chance()
    for candidate in candidates:
        count += 1
        if candidate.load is None:
            continue
        age_ms = max(0.0, now_ms - candidate.load_at_ms)
        weight = 0.5 ** (age_ms / half_life_ms)
        known += weight
        ages_ms += weight * age_ms
        limit = max(1, candidate.load.limit)
        excess_turns += weight * max(0.0, candidate.calls() - limit) / limit
        wait_ms = expected_wait_ms(candidate, query)
        work_ms = remaining_ms(query.work_ms, candidate.slowness)
        answer_ms = SHORT_ANSWER_PART * (wait_ms + work_ms)
        by_deadline.add(weight, answer_ms <= query.deadline_ms)
        wait_ms /= 1.0 - query.taken_part
        answer_ms = SHORT_ANSWER_PART * (wait_ms + work_ms)
        by_target.add(weight, answer_ms <= (query.target_ms or query.deadline_ms))
    if not known:
        return Room(1.0, 1.0)
    unknown = max(0.0, count - known)
    return Room(
        by_deadline.value(known, unknown),
        by_target.value(known, unknown),
        excess_turns / known,
        known,
        ages_ms / known,
    )


def expected_wait_ms(candidate: Candidate, query: RoomQuery) -> float:
    """Return the time until an upstream is expected to start the call.

    Of the queued calls, only those that are served before it delay it.
    """
    calls, capacity = candidate.calls(), candidate.capacity()
    usable = max(1.0, capacity * query.usable_part)
    ahead = min(calls, capacity) + query.ahead_share * max(0.0, calls - capacity)
    turns = max(0.0, ahead + 1.0 - usable) / usable
    return remaining_ms(query.work_ms * turns, candidate.slowness)


def reason_to_refuse(
    room: Room, query: RoomQuery, highest: bool
) -> RefusalReason | None:
    """Return the reason to refuse a call before it is sent anywhere, or None.

    In a lasting excess, a call that will miss its target is sent only if its priority
    is the ``highest``.
    """
    if room.deadline_chance < CHANCE_MIN:
        return RefusalReason.QUEUE_DEADLINE
    if highest or not query.target_ms:
        return None
    lasting = room.excess_turns >= LASTING_EXCESS_TURNS
    if lasting and room.target_chance < CHANCE_MIN:
        return RefusalReason.OVERLOAD
    return None


class _Chance:
    """The chance that some upstream answers in time, from reports of different age."""

    def __init__(self):
        self._best = 0.0
        self._in_time = 0.0

    def add(self, weight: float, in_time: bool) -> None:
        """Count an upstream with a report of this weight."""
        if in_time:
            self._best = max(self._best, weight)
            self._in_time += weight

    def value(self, known: float, unknown: float) -> float:
        """Return the chance at the best upstream, or at an unknown one if there is one.

        The share of the unknown ones is estimated as if one more was known to answer in
        time, so that few reports refuse nothing.
        """
        chance = (self._in_time + 1.0) / (known + 1.0)
        return max(self._best, min(1.0, unknown) * chance)
