"""Admission to an upstream that tells its load, its slowness and its cold starts.

The load that this answers: machines that are shared, on which the time for the same
work changes several-fold many times a second, with slots to spare most of the time.
Nothing has to be inferred from answers there. The gate keeps to the slots, keeps the
number of requests in any second to what a cold upstream bears, and lets a request
wait only while it can still be answered in time.

A plain object: it is told what happens and when, and answers with decisions.
"""

from collections import deque

import msgspec

from cicadawheel.announcement import UpstreamLoad
from cicadawheel.gate.admission import AdmissionReport
from cicadawheel.gate.decision import NO_WISH, Decision, Result, Verdict, Wish
from cicadawheel.gate.warm_up import WarmUpReport
from cicadawheel.ids import BootId, Revision
from cicadawheel.messages import LoadReport, RefusalReason
from cicadawheel.reserve import SlotReserve
from cicadawheel.slowness import remaining_ms

COLD_WINDOW_MS = 1_000.0
"""Cold upstreams state what they bear in a second; any second counts."""

WORK_WEIGHT = 0.1
"""Weight of the newest answer in the usual time for work, so that ten tell."""

FIRST_WORK_MS = 100.0
"""Usual time for work before any answer; a request is not refused on it for long."""

DEADLINE_PART = 0.95
"""The part of the time left in which an expected answer must fit to wait for it."""

MOVE_SLOWNESS = 2.0
"""From this slowness on, what waits past its target is better placed elsewhere."""

BURST_MS = 200.0
"""A queue that stands for longer is an overload; slow spells make shorter ones."""

ALONE_RUN_MS = 500.0
"""How long a request that may crash its upstream keeps others out."""


class _Admitted(msgspec.Struct):
    alone: bool
    since_ms: float


class _Waiting(msgspec.Struct):
    ticket: int
    priority: int
    deadline_at_ms: float
    target_at_ms: float
    work_ms: float
    alone: bool
    slowness: float

    def rank(self, starts_ms: float) -> tuple[int, bool, float]:
        """Return its place: by priority, then what can meet its target, the first.

        ``starts_ms`` is when it could begin.
        """
        late = starts_ms + self.work_ms > self.target_at_ms
        return (self.priority, late, self.target_at_ms)


class ToldAdmission:
    """Admits what an upstream that tells its load can bear."""

    def __init__(self):
        self.boot = BootId("")
        self.slots = 0
        self.leaving = False
        self.closed_reason: RefusalReason | None = RefusalReason.NO_UPSTREAM
        self.slowness = 1.0
        self.cold_calls_per_s = 0.0
        self.work_ms = FIRST_WORK_MS
        self._cold_until_ms = 0.0
        self._cold_admitted: deque[float] = deque()
        self._admitted: dict[int, _Admitted] = {}
        self._queue: list[_Waiting] = []
        self._reserve = SlotReserve()
        self._queued_since_ms = 0.0

    @property
    def in_flight(self) -> int:
        """How many requests the upstream has."""
        return len(self._admitted)

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def upstream_started(
        self, boot: BootId, slots: int, now_ms: float, cold_ms: float = 0.0
    ) -> None:
        """Take note of an upstream that has announced itself."""
        self.boot = boot
        self.slots = slots
        self.leaving = False
        self.closed_reason = None
        self.slowness = 1.0
        self.told_cold(cold_ms, now_ms)

    def told_cold(self, cold_ms: float, now_ms: float) -> None:
        """Take for how long the upstream says that it stays cold."""
        self._cold_until_ms = now_ms + cold_ms

    def told_load(self, load: UpstreamLoad) -> None:
        """Take what the upstream says of its load."""
        self.slowness = max(1.0, load.slowness)
        if load.slots > 0:
            self.slots = load.slots

    def restart_warm_up(self, cause: str, now_ms: float) -> None:
        """Do nothing: an upstream that starts again tells that it is cold."""

    def set_cold_limit(self, calls_per_s: float) -> None:
        """Take how many requests in any second the upstream bears while it is cold."""
        self.cold_calls_per_s = calls_per_s

    def close(self, reason: RefusalReason) -> list[Decision]:
        """Refuse all new requests from now on, and those that wait."""
        self.closed_reason = reason
        self.leaving = self.leaving or reason is RefusalReason.LEAVING
        waiting, self._queue = self._queue, []
        return [Decision(held.ticket, Verdict.REFUSE, reason) for held in waiting]

    def open(self, now_ms: float) -> None:
        """Admit requests again."""
        self.closed_reason = None

    def offer(
        self,
        ticket: int,
        deadline_at_ms: float,
        now_ms: float,
        kind: str = "",
        alone: bool = False,
        wish: Wish = NO_WISH,
    ) -> Decision:
        """Return the verdict on a new request.

        ``alone`` asks that nothing else is in flight while it begins to run.
        """
        if self.closed_reason is not None:
            return Decision(ticket, Verdict.REFUSE, self.closed_reason)
        waiting = _Waiting(
            ticket,
            wish.priority,
            deadline_at_ms,
            wish.target_at_ms or deadline_at_ms,
            wish.work_ms or self.work_ms,
            alone,
            self.slowness,
        )
        self._reserve.seen(wish.priority, now_ms)
        ahead = self._ahead_of(waiting, now_ms)
        if not ahead and self._has_room(waiting, now_ms):
            self._admit(ticket, alone, now_ms)
            return Decision(ticket, Verdict.ADMIT)
        reason = self._reason_not_to_wait(waiting, ahead, now_ms)
        if reason is not None:
            return Decision(ticket, Verdict.REFUSE, reason)
        if not self._queue:
            self._queued_since_ms = now_ms
        self._queue.append(waiting)
        return Decision(ticket, Verdict.WAIT)

    def sent(self, ticket: int, now_ms: float) -> None:
        """Take note that the upstream has the whole of an admitted request."""

    def replying(self, ticket: int) -> None:
        """Take note that the answer has begun."""

    def finish(
        self,
        ticket: int,
        result: Result,
        now_ms: float,
        service_time_ms: float | None = None,
    ) -> list[Decision]:
        """Return the verdicts that the end of an admitted request brings."""
        if self._admitted.pop(ticket, None) is not None:
            usual = self.slowness < MOVE_SLOWNESS
            if result is Result.ANSWERED and service_time_ms is not None and usual:
                work_ms = service_time_ms / self.slowness
                self.work_ms += WORK_WEIGHT * (work_ms - self.work_ms)
        return self.tick(now_ms)

    def withdraw(self, ticket: int) -> None:
        """Forget a request that waits, or was admitted and never sent."""
        self._queue = [held for held in self._queue if held.ticket != ticket]
        self._admitted.pop(ticket, None)

    def tick(self, now_ms: float) -> list[Decision]:
        """Return the verdicts that the passing of time brings."""
        decisions = self._refuse_hopeless(now_ms)
        self._queue.sort(key=lambda held: held.rank(now_ms))
        for held in tuple(self._queue):
            # Those behind have no more slots than this one, which has a higher rank.
            if not self._has_room(held, now_ms):
                break
            self._queue.remove(held)
            self._admit(held.ticket, held.alone, now_ms)
            decisions.append(Decision(held.ticket, Verdict.ADMIT))
        return decisions

    def check_late(self, now_ms: float) -> None:
        """Do nothing: the upstream tells that it is slow."""

    def limit(self, now_ms: float) -> int:
        """Return how many requests the upstream may have in flight now."""
        return max(1, self.slots)

    def load(self, revision: Revision, now_ms: float) -> LoadReport:
        """Return what entries are told about this upstream."""
        return LoadReport(
            in_flight=len(self._admitted),
            queued=len(self._queue),
            limit=max(1, self.slots),
            service_time_ms=self.work_ms,
            cold_share=self._cold_share(now_ms),
            leaving=self.leaving,
            boot=self.boot,
            revision=revision,
            slowness=self.slowness,
        )

    def report(self) -> AdmissionReport:
        """Return the state for operators."""
        closed = self.closed_reason
        return AdmissionReport(
            slots=self.slots,
            limit=float(self.slots),
            in_flight=len(self._admitted),
            queued=len(self._queue),
            closed_reason="" if closed is None else closed.value,
            service_time_ms=self.work_ms,
            service_time_ratio=self.slowness,
            warm_up=WarmUpReport(1.0, "told", False, 0),
            slowdown_suspected=False,
            slowdown_suspicions=0,
        )

    def _refuse_hopeless(self, now_ms: float) -> list[Decision]:
        """Refuse what can't be answered in time, and move on what waits too long here.

        A request moves on only if the upstream has slowed down since it came, so that
        it isn't passed on and on among upstreams that are all slow.
        """
        kept, decisions = [], []
        for held in self._queue:
            reason = self._reason_to_go(held, now_ms)
            if reason is None:
                kept.append(held)
            else:
                decisions.append(Decision(held.ticket, Verdict.REFUSE, reason))
        self._queue = kept
        return decisions

    def _reason_to_go(self, held: _Waiting, now_ms: float) -> RefusalReason | None:
        needed_ms = remaining_ms(held.work_ms, self.slowness)
        if needed_ms > (held.deadline_at_ms - now_ms) * DEADLINE_PART:
            return RefusalReason.QUEUE_DEADLINE
        if self.slowness >= MOVE_SLOWNESS > held.slowness:
            return RefusalReason.OVERLOAD
        late = now_ms + needed_ms > held.target_at_ms
        if late and self._is_overload(now_ms):
            return RefusalReason.OVERLOAD
        return None

    def _reason_not_to_wait(
        self, waiting: _Waiting, ahead: int, now_ms: float
    ) -> RefusalReason | None:
        """Return why a request is better refused at once, or None.

        In a burst it may wait past its target. In an overload, all who wait so long
        would get late answers only, and so would those who come after them.
        """
        wait_ms = self._wait_ms(ahead, now_ms)
        ends_ms = now_ms + wait_ms + remaining_ms(waiting.work_ms, self.slowness)
        left_ms = (waiting.deadline_at_ms - now_ms) * DEADLINE_PART
        if ends_ms > now_ms + left_ms:
            cold = self._is_cold(now_ms)
            return RefusalReason.COLD if cold else RefusalReason.QUEUE_DEADLINE
        if ends_ms > waiting.target_at_ms and self._is_overload(now_ms):
            return RefusalReason.OVERLOAD
        return None

    def _is_overload(self, now_ms: float) -> bool:
        """Return whether the queue has stood for longer than a burst."""
        return bool(self._queue) and now_ms - self._queued_since_ms > BURST_MS

    def _ahead_of(self, waiting: _Waiting, now_ms: float) -> int:
        rank = waiting.rank(now_ms)
        return sum(held.rank(now_ms) <= rank for held in self._queue)

    def _wait_ms(self, ahead: int, now_ms: float) -> float:
        """Return how long a request with some ahead of it is expected to wait."""
        wait_ms = (ahead + 1) / max(1, self.slots) * self.work_ms * self.slowness
        if not self._is_cold(now_ms) or not self.cold_calls_per_s:
            return wait_ms
        cold_ms = (ahead + 1) / self.cold_calls_per_s * COLD_WINDOW_MS
        return max(wait_ms, min(cold_ms, self._cold_until_ms - now_ms))

    def _is_cold(self, now_ms: float) -> bool:
        return now_ms < self._cold_until_ms

    def _cold_share(self, now_ms: float) -> float:
        """Return the part of its slots that a cold upstream can use."""
        if not self._is_cold(now_ms) or not self.slots:
            return 1.0
        usable = self.cold_calls_per_s * self.work_ms / COLD_WINDOW_MS
        return min(1.0, max(usable, 1.0) / self.slots)

    def _has_room(self, waiting: _Waiting, now_ms: float) -> bool:
        usable = self._reserve.usable(waiting.priority, max(1, self.slots))
        if len(self._admitted) >= usable:
            return False
        if self._is_cold(now_ms) and not self._bears_one_more(now_ms):
            return False
        if not self._admitted:
            return True
        return not waiting.alone and not any(
            held.alone and now_ms < held.since_ms + ALONE_RUN_MS
            for held in self._admitted.values()
        )

    def _bears_one_more(self, now_ms: float) -> bool:
        admitted = self._cold_admitted
        while admitted and admitted[0] <= now_ms - COLD_WINDOW_MS:
            admitted.popleft()
        return len(admitted) < max(1, int(self.cold_calls_per_s))

    def _admit(self, ticket: int, alone: bool, now_ms: float) -> None:
        self._admitted[ticket] = _Admitted(alone, now_ms)
        self._cold_admitted.append(now_ms)
        if len(self._cold_admitted) > COLD_MEMORY:
            self._cold_admitted.popleft()


COLD_MEMORY = 256
"""Admissions that are remembered: more than any cold upstream bears in a second."""
