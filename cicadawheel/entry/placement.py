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
from cicadawheel.entry.locality import Flow, Flows, NearState
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

WORK_SPREAD = 0.5
"""One request in ten takes longer than usual by this fraction of its work."""

QUEUE_PART = 0.34
"""The calls that may wait at a near upstream, as a fraction of its slots; they wait for
a third of the work of a call, and most targets are several times that work."""

FAILURE_COST = 4.0
"""The cost of a failure in work times. At an upstream that fails half of its requests
it is that of a short queue: such an upstream is better than a refusal."""

TIE_FACTOR = 1.05
"""Costs within this factor count as equal, so that entries don't herd."""


class CallProfile(msgspec.Struct, frozen=True):
    """The properties of a call by which it is placed.

    ``usable_part`` is the fraction of an upstream's slots that its priority may use.
    ``answer_bytes`` is the usual size of an answer, and ``transfer_ms`` its time on an
    idle link, of which ``link_use`` is used by others; 0 if small. ``target_ms`` is the
    time left until the target latency, negative if that has passed and 0 if there is
    none. ``first`` is set for the first attempt, which shows the demand.
    """

    work_ms: float = INITIAL_WORK_MS
    body_bytes: int = 0
    usable_part: float = 1.0
    answer_bytes: float = INITIAL_ANSWER_BYTES
    transfer_ms: float = 0.0
    link_use: float = 0.0
    target_ms: float = 0.0
    priority: int = 0
    first: bool = True

    @property
    def remote_cost_ms(self) -> float:
        """The cost of the bytes between data centres, as time."""
        size_bytes = self.body_bytes + max(CALL_BYTES, self.answer_bytes)
        return size_bytes / BYTES_PER_KIB * REMOTE_MS_PER_KIB


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
    """Return the cost of a call at an upstream: its time and that of the bytes."""
    cost_ms = expected_time_ms(candidate, profile, distance_ms, own)
    return cost_ms + (profile.remote_cost_ms if distance_ms else 0.0)


def expected_time_ms(
    candidate: Candidate, profile: CallProfile, distance_ms: float, own: bool
) -> float:
    """Return the expected time from a call to the end of its answer."""
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
    cost_ms += HOP_MS + ONE_WAY_TRIPS * distance_ms
    if profile.transfer_ms:
        other_use = candidate.link_use
        cost_ms += delayed_ms(profile.transfer_ms, profile.link_use, other_use)
    return cost_ms


class Option(msgspec.Struct, frozen=True):
    """An upstream that may get a call, with the time and the cost of that."""

    candidate: Candidate
    far: bool
    time_ms: float
    cost_ms: float


class SoonestAnswer:
    """Selects one of the upstreams that are expected to answer soonest.

    A call that has a target stays in its data centre while an upstream there has room
    for it in time, as `Flow` decides. Others leave it if one elsewhere has room, spread
    by the free slots. All else goes where it costs least.

    Parameters
    ----------
    random : Random
        Selects among those whose expected times are about equal.
    flows : Flows, optional
        The record of what leaves the data centre.
    """

    def __init__(self, random: Random, flows: Flows | None = None):
        self.random = random
        self.flows = flows or Flows()

    def pick(
        self,
        group: Group,
        usable: Usable,
        usual_ms: float,
        now_ms: float,
        profile: CallProfile,
    ) -> Candidate | None:
        """Select the candidate for a call, or None if none is usable."""
        options = _options(group, usable, profile)
        if not options:
            return None
        if not profile.target_ms:
            return self._cheapest(options).candidate
        flow = self.flows.flow(group.used[0].member.service, profile.priority)
        chosen = self._placed(flow, options, profile, now_ms)
        if chosen is None:
            chosen = self._cheapest(_worth_leaving(options, profile))
        if profile.first:
            flow.sent(chosen.far)
        return chosen.candidate

    def _placed(
        self,
        flow: Flow,
        options: list[Option],
        profile: CallProfile,
        now_ms: float,
    ) -> Option | None:
        """Select a near upstream, or a far one with room; None if neither will do."""
        near = [option for option in options if not option.far]
        state, bearing = _near_state(near, profile)
        if profile.first:
            flow.record(state, now_ms)
        far = []
        if not flow.stays(state, self.random):
            far = [one for one in options if one.far and _has_room(one, profile)]
        if far:
            rooms = [_room(option.candidate, profile) for option in far]
            return self.random.choices(far, rooms)[0]
        # Where the target leaves little to spare anywhere, a free slot near is as good.
        return self._cheapest(
            bearing or [one for one in near if _has_room(one, profile, 0.0)]
        )

    def _cheapest(self, options: list[Option]) -> Option | None:
        """Select one of those whose cost is about the lowest."""
        best_ms = min((option.cost_ms for option in options), default=math.inf)
        limit_ms = best_ms * TIE_FACTOR
        tied = [option for option in options if option.cost_ms <= limit_ms]
        return self.random.choice(tied) if tied else None


def _options(group: Group, usable: Usable, profile: CallProfile) -> list[Option]:
    options = []
    for tier in group.tiers:
        far = tier.distance_ms > 0.0
        remote_ms = profile.remote_cost_ms if far else 0.0
        for candidate in filter(usable, tier.candidates):
            own = candidate is group.own
            time_ms = expected_time_ms(candidate, profile, tier.distance_ms, own)
            options.append(Option(candidate, far, time_ms, time_ms + remote_ms))
    return options


def _worth_leaving(options: list[Option], profile: CallProfile) -> list[Option]:
    """Return all options, or without the far ones that save too little.

    If all queues are too long for the target, as in an overload, their estimates differ
    by chance, and a call leaves only to save half of its work.
    """
    if any(one.time_ms <= profile.target_ms for one in options):
        return options
    near_ms = min((one.cost_ms for one in options if not one.far), default=math.inf)
    limit_ms = near_ms - WORK_SPREAD * profile.work_ms
    return [one for one in options if not one.far or one.cost_ms <= limit_ms]


def _near_state(
    near: list[Option], profile: CallProfile
) -> tuple[NearState, list[Option]]:
    """Return what the near upstreams can do for a call, and those that can."""
    if not near:
        return NearState.NONE, []
    sound = [option for option in near if _is_sound(option.candidate)]
    if not sound:
        return NearState.FAILING, []
    quick = [option for option in sound if _is_quick(option, profile)]
    if not quick:
        return NearState.SLOW, []
    free = [one for one in quick if _room(one.candidate, profile) >= 1.0]
    if free:
        return NearState.FREE, free
    queues = [one for one in quick if _has_queue_place(one.candidate, profile)]
    return (NearState.QUEUE if queues else NearState.FULL), queues


def _has_room(
    option: Option, profile: CallProfile, spread: float = WORK_SPREAD
) -> bool:
    """Return whether a call is expected to find a slot and meet its target."""
    candidate = option.candidate
    if not _is_sound(candidate) or _room(candidate, profile) < 1.0:
        return False
    return _is_quick(option, profile, spread)


def _is_sound(candidate: Candidate) -> bool:
    """Return whether an upstream runs about all requests, and to a good end."""
    lost_share = max(candidate.failure_share, candidate.shed_share)
    return lost_share <= TOLERATED_FAILURE_SHARE


def _is_quick(
    option: Option, profile: CallProfile, spread: float = WORK_SPREAD
) -> bool:
    """Return whether a call meets its target, also if a slow VM doesn't recover."""
    slow_ms = profile.work_ms * option.candidate.slowness
    in_time_ms = profile.target_ms - spread * profile.work_ms
    return max(option.time_ms, slow_ms) <= in_time_ms


def _room(candidate: Candidate, profile: CallProfile) -> float:
    """Return the slots that are free for a call of this rank."""
    return candidate.capacity() * profile.usable_part - candidate.calls()


def _has_queue_place(candidate: Candidate, profile: CallProfile) -> bool:
    places = QUEUE_PART * candidate.capacity()
    return _room(candidate, profile) + places >= 1.0
