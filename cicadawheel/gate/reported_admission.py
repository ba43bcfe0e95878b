"""Admission control for an upstream that reports its load, slowness and cold starts.

It is meant for VMs on shared hosts, where the time for the same work changes
several-fold many times a second and slots are free most of the time. Nothing is
inferred from answers. The gate limits requests in flight to the slots, limits the
requests per second of a cold upstream, and queues a request only while it can still be
answered in time.

Does no I/O and reads no clock: callers pass events with their time, and get decisions.
"""

import math
from collections import deque

import msgspec

from cicadawheel.announcement import UpstreamLoad
from cicadawheel.gate.admission import AdmissionReport
from cicadawheel.gate.decision import (
    NO_HINTS,
    Decision,
    Result,
    SchedulingHints,
    Verdict,
)
from cicadawheel.gate.fair_share import RankedKind, SlotShares
from cicadawheel.gate.warm_up import WarmUpReport
from cicadawheel.ids import BootId, Revision
from cicadawheel.messages import LoadReport, RefusalReason
from cicadawheel.reserve import SlotReserve
from cicadawheel.slowness import remaining_ms

COLD_WINDOW_MS = 1_000.0
"""The rate limit of a cold upstream applies to each interval of this length."""

WORK_SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the work time, about ten samples."""

INITIAL_WORK_MS = 100.0
"""Assumed work time before the first answer; a few answers correct it."""

DEADLINE_PART = 0.95
"""A request may wait if its answer is expected within this share of its time left."""

MOVE_SLOWNESS = 2.0
"""An upstream that becomes this slow moves its queued requests to others."""

BURST_MS = 200.0
"""A queue that lasts longer is an overload; short slow periods cause shorter queues."""

ALONE_RUN_MS = 500.0
"""How long a suspect that may crash the upstream runs without other requests."""


KindsAtShare = frozenset[RankedKind]
QueueRank = tuple[int, bool, bool, bool, float]


class _Admitted(msgspec.Struct):
    alone: bool
    since_ms: float
    kind: RankedKind


class _QueuedRequest(msgspec.Struct):
    ticket: int
    priority: int
    deadline_at_ms: float
    target_at_ms: float
    work_ms: float
    alone: bool
    slowness: float
    spent_ms: float
    kind: RankedKind

    def rank(self, starts_ms: float, kinds_at_share: KindsAtShare) -> QueueRank:
        """Return the sort key in the queue.

        Requests are ordered by priority, then those that can still meet their target,
        nested calls before others, then the kinds that hold less than their share of
        the slots, then by target. ``starts_ms`` is the assumed start of the work.
        """
        late = starts_ms + self.work_ms > self.target_at_ms
        is_callers = not self.spent_ms
        at_share = self.kind in kinds_at_share
        return (self.priority, late, is_callers, at_share, self.target_at_ms)


class ReportedAdmission:
    """Admits, queues or refuses requests by the load that the upstream reports."""

    def __init__(self):
        self.boot = BootId("")
        self.slots = 0
        self.leaving = False
        self.closed_reason: RefusalReason | None = RefusalReason.NO_UPSTREAM
        self.slowness = 1.0
        self.cold_calls_per_s = 0.0
        self.work_ms = INITIAL_WORK_MS
        self._cold_until_ms = 0.0
        self._cold_closed_until_ms = -math.inf
        self._admitted_at_ms: deque[float] = deque()
        self._admitted: dict[int, _Admitted] = {}
        self._queue: list[_QueuedRequest] = []
        self._reserve = SlotReserve()
        self._shares = SlotShares()
        self._queued_since_ms = 0.0

    @property
    def in_flight(self) -> int:
        """The number of admitted requests that have not ended."""
        return len(self._admitted)

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return len(self._queue)

    def upstream_started(
        self,
        boot: BootId,
        slots: int,
        now_ms: float,
        cold_ms: float = 0.0,
        sole_gate_since_ms: float | None = None,
    ) -> None:
        """Reset for a new boot of the upstream.

        A gate that starts while its upstream is cold doesn't know what its predecessor
        has sent. It admits nothing for one window after ``sole_gate_since_ms``, by
        default ``now_ms``. A later boot has got requests from this gate only.
        """
        if not self.boot and cold_ms > 0.0:
            since_ms = now_ms if sole_gate_since_ms is None else sole_gate_since_ms
            self._cold_closed_until_ms = since_ms + COLD_WINDOW_MS
        self.boot = boot
        self.slots = slots
        self.leaving = False
        self.closed_reason = None
        self.slowness = 1.0
        self.cold_reported(cold_ms, now_ms)

    def cold_reported(self, cold_ms: float, now_ms: float) -> None:
        """Set the reported remaining length of the cold start."""
        self._cold_until_ms = now_ms + cold_ms

    def load_reported(self, load: UpstreamLoad) -> None:
        """Update the slots and slowness from a report of the upstream."""
        self.slowness = max(1.0, load.slowness)
        if load.slots > 0:
            self.slots = load.slots

    def restart_warm_up(self, cause: str, now_ms: float) -> None:
        """Do nothing: the upstream reports its cold starts."""

    def set_cold_limit(self, calls_per_s: float) -> None:
        """Set how many requests per second a cold upstream may get."""
        self.cold_calls_per_s = calls_per_s

    def close(self, reason: RefusalReason) -> list[Decision]:
        """Refuse the queued requests and all new ones."""
        self.closed_reason = reason
        self.leaving = self.leaving or reason is RefusalReason.LEAVING
        waiting, self._queue = self._queue, []
        return [Decision(request.ticket, Verdict.REFUSE, reason) for request in waiting]

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
        hints: SchedulingHints = NO_HINTS,
    ) -> Decision:
        """Return the verdict on a new request.

        ``alone`` requests that nothing else is in flight while it starts to run.
        """
        if self.closed_reason is not None:
            return Decision(ticket, Verdict.REFUSE, self.closed_reason)
        waiting = _QueuedRequest(
            ticket,
            hints.priority,
            deadline_at_ms,
            hints.target_at_ms or deadline_at_ms,
            hints.work_ms or self.work_ms,
            alone,
            self.slowness,
            hints.spent_ms,
            RankedKind(hints.priority, kind),
        )
        self._reserve.record_request(waiting.priority, now_ms)
        ahead = self._ahead_of(waiting, now_ms)
        if not ahead and self._has_room(waiting, now_ms):
            self._admit(waiting, now_ms)
            return Decision(ticket, Verdict.ADMIT)
        reason = self._reason_not_to_wait(waiting, ahead, now_ms)
        if reason is not None:
            return Decision(ticket, Verdict.REFUSE, reason)
        if hints.immediate:
            return Decision(ticket, Verdict.REFUSE, RefusalReason.BUSY)
        if not self._queue:
            self._queued_since_ms = now_ms
        self._queue.append(waiting)
        return Decision(ticket, Verdict.WAIT)

    def sent(self, ticket: int, now_ms: float) -> None:
        """Do nothing: requests in flight are not timed."""

    def replying(self, ticket: int) -> None:
        """Do nothing: requests in flight are not timed."""

    def finish(
        self,
        ticket: int,
        result: Result,
        now_ms: float,
        service_time_ms: float | None = None,
    ) -> list[Decision]:
        """Release a slot, update the work time and return the decisions that follow."""
        if self._release(ticket):
            usual = self.slowness < MOVE_SLOWNESS
            if result is Result.ANSWERED and service_time_ms is not None and usual:
                work_ms = service_time_ms / self.slowness
                self.work_ms += WORK_SAMPLE_WEIGHT * (work_ms - self.work_ms)
        return self.tick(now_ms)

    def withdraw(self, ticket: int) -> None:
        """Remove a request that is queued, or was admitted and never sent."""
        self._queue = [request for request in self._queue if request.ticket != ticket]
        self._release(ticket)

    def tick(self, now_ms: float) -> list[Decision]:
        """Refuse and admit queued requests, and return the decisions."""
        decisions = self._refuse_unanswerable(now_ms)
        while request := self._next(now_ms):
            self._queue.remove(request)
            self._admit(request, now_ms)
            decisions.append(Decision(request.ticket, Verdict.ADMIT))
        return decisions

    def _next(self, now_ms: float) -> _QueuedRequest | None:
        """Return the queued request to admit now, or None.

        Reserved slots go to later ones that may use them. One that must wait for
        anything else keeps its place.
        """
        if not self._queue or len(self._admitted) >= max(1, self.slots):
            return None
        at_share = self._kinds_at_share(now_ms)
        for request in sorted(self._queue, key=lambda one: one.rank(now_ms, at_share)):
            if self._has_slot(request):
                return request if self._has_room(request, now_ms) else None
        return None

    def needs_ticks(self) -> bool:
        """Return whether requests are queued, which only time may release."""
        return bool(self._queue)

    def check_late(self, now_ms: float) -> None:
        """Do nothing: the upstream reports its slowness."""

    def limit(self, now_ms: float) -> int:
        """Return the present limit of requests in flight."""
        return max(1, self.slots)

    def load(self, revision: Revision, now_ms: float) -> LoadReport:
        """Return the load report that is sent to entries."""
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

    def _refuse_unanswerable(self, now_ms: float) -> list[Decision]:
        """Refuse queued requests that can't be answered in time or should move.

        A request is moved for slowness only if the upstream has slowed down since the
        request arrived, so that it isn't passed around among slow upstreams.
        """
        kept, decisions = [], []
        for request in self._queue:
            reason = self._reason_to_remove(request, now_ms)
            if reason is None:
                kept.append(request)
            else:
                decisions.append(Decision(request.ticket, Verdict.REFUSE, reason))
        self._queue = kept
        return decisions

    def _reason_to_remove(
        self, request: _QueuedRequest, now_ms: float
    ) -> RefusalReason | None:
        needed_ms = remaining_ms(request.work_ms, self.slowness)
        if needed_ms > (request.deadline_at_ms - now_ms) * DEADLINE_PART:
            return RefusalReason.QUEUE_DEADLINE
        if self.slowness >= MOVE_SLOWNESS > request.slowness:
            return RefusalReason.OVERLOAD
        if self._is_too_late(request, now_ms + needed_ms, now_ms):
            return RefusalReason.OVERLOAD
        return None

    def _reason_not_to_wait(
        self, waiting: _QueuedRequest, ahead: int, now_ms: float
    ) -> RefusalReason | None:
        """Return the reason to refuse a request instead of queueing it, or None.

        In a burst a request may wait past its target. In an overload that would only
        make the answers to it and to all later requests late. A nested call may wait
        past it even then, as a late answer still saves the work of the outer request.
        """
        wait_ms = self._wait_ms(ahead, now_ms)
        ends_ms = now_ms + wait_ms + remaining_ms(waiting.work_ms, self.slowness)
        left_ms = (waiting.deadline_at_ms - now_ms) * DEADLINE_PART
        if ends_ms > now_ms + left_ms:
            cold = self._is_cold(now_ms)
            return RefusalReason.COLD if cold else RefusalReason.QUEUE_DEADLINE
        if self._is_too_late(waiting, ends_ms, now_ms):
            return RefusalReason.OVERLOAD
        return None

    def _is_too_late(
        self, request: _QueuedRequest, ends_ms: float, now_ms: float
    ) -> bool:
        """Return whether a request is refused for missing its target."""
        if request.spent_ms or ends_ms <= request.target_at_ms:
            return False
        return self._is_overload(now_ms)

    def _is_overload(self, now_ms: float) -> bool:
        """Return whether the queue has lasted longer than a burst."""
        return bool(self._queue) and now_ms - self._queued_since_ms > BURST_MS

    def _ahead_of(self, waiting: _QueuedRequest, now_ms: float) -> int:
        if not self._queue:
            return 0
        at_share = self._kinds_at_share(now_ms, waiting)
        rank = waiting.rank(now_ms, at_share)
        return sum(request.rank(now_ms, at_share) <= rank for request in self._queue)

    def _kinds_at_share(self, now_ms: float, *arriving: _QueuedRequest) -> KindsAtShare:
        """Return the kinds that wait behind others; in a short burst none does."""
        if not self._is_overload(now_ms):
            return frozenset()
        kinds = [request.kind for request in (*self._queue, *arriving)]
        return self._shares.kinds_at_share(kinds, max(1, self.slots))

    def _wait_ms(self, ahead: int, now_ms: float) -> float:
        """Return the expected wait of a request with ``ahead`` others before it."""
        wait_ms = (ahead + 1) / max(1, self.slots) * self.work_ms * self.slowness
        if not self._is_cold(now_ms):
            return wait_ms
        cold_ms = (ahead + 1) / self._cold_limit() * COLD_WINDOW_MS
        cold_ms = max(cold_ms, self._cold_closed_until_ms - now_ms)
        return max(wait_ms, min(cold_ms, self._cold_until_ms - now_ms))

    def _is_cold(self, now_ms: float) -> bool:
        return now_ms < self._cold_until_ms

    def _cold_share(self, now_ms: float) -> float:
        """Return the share of the slots that the rate limit allows to be used."""
        if not self._is_cold(now_ms) or not self.slots:
            return 1.0
        usable = self.cold_calls_per_s * self.work_ms / COLD_WINDOW_MS
        return min(1.0, max(usable, 1.0) / self.slots)

    def _has_slot(self, waiting: _QueuedRequest) -> bool:
        usable = self._reserve.usable(waiting.priority, max(1, self.slots))
        return len(self._admitted) < usable

    def _has_room(self, waiting: _QueuedRequest, now_ms: float) -> bool:
        if not self._has_slot(waiting):
            return False
        if self._is_cold(now_ms) and not self._cold_rate_allows(now_ms):
            return False
        if not self._admitted:
            return True
        return not waiting.alone and not any(
            request.alone and now_ms < request.since_ms + ALONE_RUN_MS
            for request in self._admitted.values()
        )

    def _cold_limit(self) -> int:
        """Return how many requests a cold upstream gets in any window, 1 if unknown."""
        return max(1, int(self.cold_calls_per_s))

    def _cold_rate_allows(self, now_ms: float) -> bool:
        if now_ms < self._cold_closed_until_ms:
            return False
        self._forget_admissions(now_ms)
        return len(self._admitted_at_ms) < self._cold_limit()

    def _forget_admissions(self, now_ms: float) -> None:
        """Forget the admissions before the window of the cold limit."""
        admitted = self._admitted_at_ms
        while admitted and admitted[0] <= now_ms - COLD_WINDOW_MS:
            admitted.popleft()

    def _admit(self, request: _QueuedRequest, now_ms: float) -> None:
        admitted = _Admitted(request.alone, now_ms, request.kind)
        self._admitted[request.ticket] = admitted
        self._shares.take(request.kind)
        self._forget_admissions(now_ms)
        self._admitted_at_ms.append(now_ms)

    def _release(self, ticket: int) -> bool:
        """Release the slot of a request, and return whether it had one."""
        admitted = self._admitted.pop(ticket, None)
        if admitted is None:
            return False
        self._shares.release(admitted.kind)
        return True
