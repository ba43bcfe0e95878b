"""Accounts for the repeats of one gate and for the calls made by their runs."""

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from cicadawheel.gate.repeat_budget import RepeatBudget, RepeatBudgetReport
from cicadawheel.gate.repeat_need import RepeatNeed, RepeatNeeds
from cicadawheel.gate.runs import RUN_ID_SEPARATOR, Runs, request_kind
from cicadawheel.ids import RequestId, ServiceName
from cicadawheel.logs import log_event
from cicadawheel.messages import CallOpen, Repeat
from cicadawheel.timer import Clock

log = logging.getLogger(__name__)

RUN_RETENTION_MS = 1_000.0
"""How long a run is kept past its deadline, as an upstream may end it late."""

SENT = "sent"
REFUSED = "refused"

CountRepeat = Callable[[ServiceName, Repeat, str], None]
CountNeed = Callable[[ServiceName, RepeatNeed, str], None]


class RepeatedRuns:
    """The repeats that run at one upstream, to recognise the calls that they make.

    A call has the id of its run, or that id with a suffix.
    """

    def __init__(self):
        self._expires_at_ms: dict[RequestId, float] = {}

    def add(self, request: RequestId, expires_at_ms: float, now_ms: float) -> None:
        """Record a repeat that is sent to the upstream."""
        runs = self._expires_at_ms
        for known in [
            one for one, at_ms in runs.items() if at_ms + RUN_RETENTION_MS < now_ms
        ]:
            del runs[known]
        runs[request] = expires_at_ms

    def contains(self, request: RequestId) -> bool:
        """Return whether a call was made by one of the runs."""
        run = request.rpartition(RUN_ID_SEPARATOR)[0]
        return request in self._expires_at_ms or run in self._expires_at_ms


class GateRepeats:
    """Charges the repeats that a gate sends to its retry budget, and counts them.

    Parameters
    ----------
    clock : Clock
        The source of the time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.budget: RepeatBudget | None = None
        self.count: CountRepeat = _discard_count
        self.count_need: CountNeed = _discard_count
        self.runs = Runs()
        self._needs = RepeatNeeds()
        self._runs = RepeatedRuns()
        self._reserved: set[int] = set()
        self._service = ServiceName("")

    def share_with(self, service: ServiceName, gates: int) -> None:
        """Set the service of the upstream and the number of its gates."""
        if self.budget is None:
            return
        now_ms = self.clock.now_ms()
        if self._service not in ("", service):
            self.budget.start(now_ms)
        self._service = service
        self.budget.share_with(gates, now_ms)

    def offer(self, ticket: int, call: CallOpen) -> bool:
        """Reserve budget if a request is a repeat; return whether it may be sent."""
        now_ms = self.clock.now_ms()
        self._needs.received(call, now_ms)
        if self.budget is None or call.repeat is Repeat.FIRST:
            return True
        part = self._needs.part(call, now_ms)
        if not self._is_in_vain(call, now_ms) and self.budget.reserve(now_ms, part):
            self._reserved.add(ticket)
            return True
        self._count(call, REFUSED)
        log_event(log, "repeat_refused", **self._fields(call))
        return False

    def _is_in_vain(self, call: CallOpen, now_ms: float) -> bool:
        """Return whether another run would fail, as its calls would be refused."""
        if call.repeat not in (Repeat.FAILED, Repeat.SPARE):
            return False
        kind = request_kind(call.method, call.target)
        return self.runs.are_calls_refused(kind, now_ms)

    def sent(self, ticket: int, call: CallOpen, expires_at_ms: float) -> None:
        """Charge a request that is sent to the upstream."""
        now_ms = self.clock.now_ms()
        self.runs.add(ticket, call, expires_at_ms, now_ms)
        if call.repeat is Repeat.FIRST:
            if self.budget is not None:
                self.budget.request_sent(now_ms)
            return
        if ticket in self._reserved:
            self._reserved.remove(ticket)
            self.budget.spend(now_ms)
        self._runs.add(call.request, expires_at_ms, now_ms)
        self._count(call, SENT)
        log_event(log, "repeat_sent", **self._fields(call))

    def ended(self, ticket: int) -> None:
        """Forget a request; if it was never sent, cancel its reservation."""
        self.runs.end(ticket)
        if ticket in self._reserved:
            self._reserved.remove(ticket)
            self.budget.cancel_reservation()

    def is_within(self, request: RequestId) -> bool:
        """Return whether a call of this node's upstream was made by a repeat."""
        return self._runs.contains(request)

    def may_repeat(self) -> bool:
        """Return whether the budget has room for one more repeat."""
        return self.budget is None or self.budget.allows(self.clock.now_ms())

    def report(self) -> RepeatBudgetReport | None:
        """Return the state of the budget for operators, or None without a budget."""
        if self.budget is None:
            return None
        return self.budget.report(self.clock.now_ms())

    def _count(self, call: CallOpen, outcome: str) -> None:
        self.count(call.service, call.repeat, outcome)
        self.count_need(call.service, self._needs.need(call), outcome)

    def _fields(self, call: CallOpen) -> dict[str, Any]:
        report = self.report()
        known = {} if report is None else msgspec.structs.asdict(report)
        return {
            "request": call.request,
            "service": call.service,
            "cause": call.repeat.value,
            "need": self._needs.need(call).value,
            "spent_ms": call.spent_ms,
            **known,
        }


def _discard_count(
    service: ServiceName, cause: Repeat | RepeatNeed, outcome: str
) -> None:
    """Discard the count; used without metrics."""
