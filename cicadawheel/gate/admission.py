"""Admission control with a concurrency limit that is learnt from answers.

Does no I/O and reads no clock: callers pass events with their time, and get decisions.
"""

import math

import msgspec

from cicadawheel.announcement import UpstreamLoad
from cicadawheel.gate.decision import (
    NO_HINTS,
    Decision,
    Result,
    SchedulingHints,
    Verdict,
)
from cicadawheel.gate.limit import make_limit
from cicadawheel.gate.service_time import ServiceTimes
from cicadawheel.gate.slowdown import Slowdown, SlowdownState
from cicadawheel.gate.waiting import WaitingQueue
from cicadawheel.gate.warm_up import WarmUp, WarmUpReport
from cicadawheel.ids import BootId, Revision
from cicadawheel.messages import LoadReport, RefusalReason
from cicadawheel.settings import GateSettings

FAILURE_RUN = 5
SHED_RUN = 3
MIN_LATE = 2
LATE_SHARE = 0.5
# A slowdown that lasts longer than this share of the warm-up time is a cold start.
CONFIRM_SHARE = 0.2
ALONE_WAIT_MS = 200.0
ALONE_RUN_MS = 500.0


class AdmissionReport(msgspec.Struct, frozen=True):
    """The state of a gate's admission, for operators."""

    slots: int
    limit: float
    in_flight: int
    queued: int
    closed_reason: str
    service_time_ms: float
    service_time_ratio: float
    warm_up: WarmUpReport
    slowdown_suspected: bool
    slowdown_suspicions: int


class _Admitted(msgspec.Struct):
    kind: str
    since_ms: float
    late_at_ms: float
    alone: bool


class Admission:
    """Admits, queues or refuses requests for one upstream.

    Parameters
    ----------
    settings : GateSettings
        The settings of the limit, the queue and the warm-up.
    """

    def __init__(self, settings: GateSettings):
        self.settings = settings
        self.boot = BootId("")
        self.slots = 0
        self.leaving = False
        self.closed_reason: RefusalReason | None = RefusalReason.NO_UPSTREAM
        self.times = ServiceTimes(settings.jump_factor)
        self.warm_up = WarmUp(settings)
        self.slowdown = Slowdown(self.times, CONFIRM_SHARE * settings.warm_up_ms)
        self._learner = make_limit(settings.limit)
        self._admitted: dict[int, _Admitted] = {}
        self._queue = WaitingQueue(settings)
        self._failures = 0
        self._sheds = 0
        self._warming = False
        self._fell_back = False

    def upstream_started(
        self,
        boot: BootId,
        slots: int,
        now_ms: float,
        cold_ms: float = 0.0,
        sole_gate_since_ms: float | None = None,
    ) -> None:
        """Reset for a new boot of the upstream, which is assumed to be cold.

        ``cold_ms`` and ``sole_gate_since_ms`` are ignored, as every start is warmed up.
        """
        self.boot = boot
        self.slots = slots
        self.leaving = False
        self.closed_reason = None
        self._learner.reset(slots)
        self.restart_warm_up("started", now_ms)
        self._fell_back = False

    def restart_warm_up(self, cause: str, now_ms: float) -> None:
        """Reduce the limit to the cold share and start a new warm-up."""
        self._failures = 0
        self._sheds = 0
        self.slowdown.reset()
        self._fell_back = True
        self.warm_up.restart(cause, now_ms)

    def close(self, reason: RefusalReason) -> list[Decision]:
        """Refuse the queued requests and all new ones."""
        self.closed_reason = reason
        self.leaving = self.leaving or reason is RefusalReason.LEAVING
        waiting = self._queue.clear()
        return [Decision(ticket, Verdict.REFUSE, reason) for ticket in waiting]

    def open(self, now_ms: float) -> None:
        """Admit requests again, with a new warm-up."""
        if self.closed_reason is not None:
            self.closed_reason = None
            self.restart_warm_up("opened", now_ms)

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
        ``hints`` are ignored: the queue is first in, first out.
        """
        if self.closed_reason is not None:
            return Decision(ticket, Verdict.REFUSE, self.closed_reason)
        if not self._queue and self._has_room(alone, now_ms):
            self._admit(ticket, kind, alone, now_ms)
            return Decision(ticket, Verdict.ADMIT)
        wait_ms = self.expected_wait_ms(now_ms)
        reason = self._queue.add(ticket, kind, alone, deadline_at_ms, wait_ms, now_ms)
        if reason is RefusalReason.OVERLOAD and not self.warm_up.warm:
            reason = RefusalReason.COLD
        if reason is not None:
            return Decision(ticket, Verdict.REFUSE, reason)
        return Decision(ticket, Verdict.WAIT)

    def sent(self, ticket: int, now_ms: float) -> None:
        """Record that an admitted request was sent completely."""
        admitted = self._admitted.get(ticket)
        if admitted is not None:
            kind = admitted.kind
            admitted.late_at_ms = now_ms + self.times.late_after_ms(kind)
            self.slowdown.sent(ticket, kind, now_ms)

    def replying(self, ticket: int) -> None:
        """Stop timing a request: from here on, its caller may delay the answer."""
        admitted = self._admitted.get(ticket)
        if admitted is not None:
            admitted.late_at_ms = math.inf
            self.slowdown.replying(ticket)

    def finish(
        self,
        ticket: int,
        result: Result,
        now_ms: float,
        service_time_ms: float | None = None,
    ) -> list[Decision]:
        """Release a slot and return the decisions that follow from it.

        ``service_time_ms`` is the time that the upstream took, without the time that
        the caller took to send and read, or None if that wasn't measured.
        """
        admitted = self._admitted.pop(ticket, None)
        if admitted is None:
            return self.tick(now_ms)
        if result is Result.ANSWERED:
            taken_ms = now_ms - admitted.since_ms
            time_ms = taken_ms if service_time_ms is None else service_time_ms
            self.slowdown.answered(ticket, time_ms)
            self._answered(admitted.kind, time_ms, now_ms)
        elif result is Result.SHED:
            self._shed(now_ms)
        elif result is not Result.CANCELLED:
            self._failed(result, now_ms)
        self.slowdown.ended(ticket)
        return self.tick(now_ms)

    def withdraw(self, ticket: int) -> None:
        """Remove a request from the queue."""
        self._queue.withdraw(ticket)

    def tick(self, now_ms: float) -> list[Decision]:
        """Expire and admit queued requests, and return the decisions."""
        if len(self._admitted) >= self.limit(now_ms) and not self.times.jumped:
            self.warm_up.saturated(now_ms)
        expired = self._queue.expire(now_ms)
        reason = RefusalReason.QUEUE_DEADLINE
        decisions = [Decision(ticket, Verdict.REFUSE, reason) for ticket in expired]
        while self._queue:
            ticket, waiting = self._queue.first()
            wait_for_empty = (
                waiting.alone and now_ms < waiting.offered_at_ms + ALONE_WAIT_MS
            )
            if not self._has_room(wait_for_empty, now_ms):
                break
            self.withdraw(ticket)
            self._admit(ticket, waiting.kind, waiting.alone, now_ms)
            decisions.append(Decision(ticket, Verdict.ADMIT))
        return decisions

    def load_reported(self, load: UpstreamLoad) -> None:
        """Ignore the reported load: the limit is learnt from answers."""

    def cold_reported(self, cold_ms: float, now_ms: float) -> None:
        """Ignore the reported length of the cold start."""

    def set_cold_limit(self, calls_per_s: float) -> None:
        """Ignore the configured call rate of a cold upstream."""

    def needs_ticks(self) -> bool:
        """Return True: the ages of requests in flight are watched."""
        return True

    def check_late(self, now_ms: float) -> None:
        """Restart the warm-up if too many requests in flight are late.

        This detects a jump in service time before any answer shows it.
        """
        self._check_slowdown(now_ms)
        if not self.warm_up.warm or len(self._admitted) < MIN_LATE:
            return
        late = sum(request.late_at_ms <= now_ms for request in self._admitted.values())
        if late >= MIN_LATE and late >= LATE_SHARE * self._learner.limit:
            self.restart_warm_up("answers are late", now_ms)

    def limit(self, now_ms: float) -> int:
        """Return the present limit of requests in flight."""
        self.warm_up.advance(now_ms)
        return max(1, int(self._learner.limit * self._share()))

    def expected_wait_ms(self, now_ms: float) -> float:
        """Return the estimated queueing time of one more request."""
        rounds = (len(self._queue) + 1) / self.limit(now_ms)
        return rounds * self.times.recent_ms

    def load(self, revision: Revision, now_ms: float) -> LoadReport:
        """Return the load report that is sent to entries."""
        self.warm_up.advance(now_ms)
        return LoadReport(
            in_flight=len(self._admitted),
            queued=len(self._queue),
            limit=max(1, int(self._learner.limit)),
            service_time_ms=self.times.recent_ms,
            cold_share=self._share(),
            leaving=self.leaving,
            boot=self.boot,
            revision=revision,
        )

    def report(self) -> AdmissionReport:
        """Return the state for operators."""
        closed = self.closed_reason
        return AdmissionReport(
            slots=self.slots,
            limit=self._learner.limit,
            in_flight=len(self._admitted),
            queued=len(self._queue),
            closed_reason="" if closed is None else closed.value,
            service_time_ms=self.times.recent_ms,
            service_time_ratio=self.times.ratio,
            warm_up=self.warm_up.report(),
            slowdown_suspected=self.slowdown.suspected,
            slowdown_suspicions=self.slowdown.suspicions,
        )

    @property
    def in_flight(self) -> int:
        """The number of admitted requests that have not ended."""
        return len(self._admitted)

    def _share(self) -> float:
        if self.slowdown.suspected:
            return min(self.settings.cold_share, self.warm_up.share)
        return self.warm_up.share

    def _check_slowdown(self, now_ms: float) -> None:
        """Restart the warm-up after a confirmed slowdown.

        The test is off during a warm-up, when slow answers are expected and the load
        is low already.
        """
        if not self.warm_up.warm:
            self._warming = True
            self.slowdown.reset()
        elif self._warming:
            self._warming = False
            self._fell_back = False
            self.times.accept_if_slow()
        elif self.slowdown.check(now_ms) is SlowdownState.CONFIRMED:
            self.restart_warm_up("slowed down", now_ms)

    def _admit(self, ticket: int, kind: str, alone: bool, now_ms: float) -> None:
        self._admitted[ticket] = _Admitted(kind, now_ms, math.inf, alone)

    def _has_room(self, alone: bool, now_ms: float) -> bool:
        in_flight = len(self._admitted)
        if not in_flight:
            return True
        if alone or in_flight >= self.limit(now_ms):
            return False
        return not any(
            request.alone and now_ms < request.since_ms + ALONE_RUN_MS
            for request in self._admitted.values()
        )

    def _answered(self, kind: str, time_ms: float, now_ms: float) -> None:
        self._failures = 0
        self._sheds = 0
        cautious = self.slowdown.suspected or self._fell_back
        usual = self.times.add(kind, time_ms, now_ms, cautious)
        if self.warm_up.held_too_long(now_ms):
            self.times.accept()
        if not self.times.jumped:
            if usual:
                self.warm_up.answered(now_ms)
            self._learner.answered(self.times.ratio, len(self._admitted) + 1)
        elif self.warm_up.share > self.settings.cold_share:
            self.restart_warm_up("service time has jumped", now_ms)

    def _shed(self, now_ms: float) -> None:
        self._sheds += 1
        self._learner.overloaded(len(self._admitted))
        if self._sheds >= SHED_RUN:
            self.restart_warm_up("requests were shed", now_ms)

    def _failed(self, result: Result, now_ms: float) -> None:
        self._failures += 1
        if result is Result.UNREACHABLE:
            self.restart_warm_up("unreachable", now_ms)
        elif self._failures >= FAILURE_RUN:
            self.restart_warm_up("run of failures", now_ms)
