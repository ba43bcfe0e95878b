"""The gate of one upstream: admits calls and forwards them to it."""

import asyncio
import itertools
import logging
import math

import msgspec

from cicadawheel.announcement import Announcement
from cicadawheel.configuration import Configuration
from cicadawheel.gate.admission import Admission, AdmissionReport
from cicadawheel.gate.call import CallState, GateCall
from cicadawheel.gate.decision import Decision, Result, SchedulingHints, Verdict
from cicadawheel.gate.failures import FailureShare, is_failure
from cicadawheel.gate.guard import CrashGuard
from cicadawheel.gate.health import HealthReader, HealthReport, read_load
from cicadawheel.gate.inner_calls import InnerCalls
from cicadawheel.gate.load_publisher import LoadPublisher
from cicadawheel.gate.refusals import GateRefusals
from cicadawheel.gate.repeat_budget import RepeatBudgetReport
from cicadawheel.gate.repeats import GateRepeats
from cicadawheel.gate.reported_admission import ReportedAdmission
from cicadawheel.gate.reports import ReportReader, ReportWatch
from cicadawheel.gate.shedding import Shedding
from cicadawheel.gate.suspects import SuspectReport
from cicadawheel.holdings import Holdings
from cicadawheel.http.dialect import OWN_DIALECT, Dialect
from cicadawheel.http.fields import ResponseHead, find_field
from cicadawheel.http.upstream import UpstreamPool
from cicadawheel.ids import (
    BootId,
    DataCentreName,
    Fingerprint,
    NodeId,
    RequestId,
    UpstreamId,
)
from cicadawheel.logs import log_event
from cicadawheel.messages import (
    CallOpen,
    LoadReport,
    RefusalReason,
    ReplySink,
)
from cicadawheel.settings import Address, GateSettings, HoldingSettings
from cicadawheel.timer import Clock, TimerService

log = logging.getLogger(__name__)

TICK_INTERVAL_MS = 5.0
REPORTED_LIMIT = "told"

RESTART_MS = 1_000.0
"""The least time from a gate's end until its successor has started and is announced an
upstream. One that has started since then has got nothing from an earlier gate."""


class GateReport(msgspec.Struct, frozen=True):
    """The state of a gate, for operators."""

    admission: AdmissionReport
    suspects: list[SuspectReport]
    upstream_dead: bool
    repeats: RepeatBudgetReport | None


class Gate:
    """Controls all access to one upstream.

    Parameters
    ----------
    settings : GateSettings
        Limits of the gate.
    data_centre : DataCentreName
        The data centre of the upstream.
    timers : TimerService
        The source of the time and of timers.
    node : NodeId
        The node that the gate belongs to.
    dialect : Dialect
        The header fields that the upstream uses.
    """

    def __init__(
        self,
        settings: GateSettings,
        data_centre: DataCentreName,
        timers: TimerService,
        node: NodeId,
        dialect: Dialect = OWN_DIALECT,
    ):
        self.dialect = dialect
        self.settings = settings
        self.data_centre = data_centre
        self.clock: Clock = timers.clock
        self._started_at_ms = timers.clock.now_ms()
        self._started_unix_ms = timers.clock.unix_ms()
        self.configuration = Configuration()
        self.announcement: Announcement | None = None
        self.admission = make_admission(settings)
        self.publisher = LoadPublisher(timers, lambda: self.load())
        self._failures = FailureShare()
        self.link_use = 0.0
        self.shedding = Shedding()
        self.inner_calls = InnerCalls()
        self.pool = UpstreamPool(settings.connect_timeout_ms)
        self._health: HealthReader | None = None
        if settings.limit == REPORTED_LIMIT:
            self._health = HealthReader(
                dialect, self._health_received, self._connections_doubted, self.pool
            )
        self.holdings = Holdings(HoldingSettings(), timers.clock)
        self.guard = CrashGuard(
            node, self.pool, self.clock, self._upstream_died, self._refuse_waiting
        )
        self.repeats = GateRepeats(self.clock)
        self.refusals = GateRefusals()
        self.reports = ReportReader(ReportWatch(settings))
        self._restarts_logged = 0
        self._suspicions_logged = 0
        self.draining = False
        self._lapsed = False
        self.idle = asyncio.Event()
        self.idle.set()
        self._tickets = itertools.count(1)
        self._calls: dict[int, GateCall] = {}
        self._timers = timers
        self._ticking = False

    def announce(self, announcement: Announcement) -> None:
        """Register the upstream that belongs to this node, or its new boot."""
        before = self.announcement
        self.announcement = announcement
        if before is not None and before.boot != announcement.boot:
            self.pool.close_idle_connections()
            if self._health is not None:
                self._health.close()
            self.guard.upstream_restarted()
        address = Address(announcement.host, announcement.port)
        self.pool.retarget(address, announcement.connections)
        if before is None or before.boot != announcement.boot:
            self.admission.upstream_started(
                announcement.boot,
                announcement.slots,
                self.clock.now_ms(),
                announcement.cold_ms,
                sole_gate_since_ms=self._sole_gate_since_ms(announcement),
            )
            log_event(
                log,
                "upstream_started",
                upstream=announcement.upstream,
                boot=announcement.boot,
                service=announcement.service,
                version=announcement.version,
            )
        elif self._lapsed:
            self.admission.leaving = False
            self.admission.open(self.clock.now_ms())
        self._lapsed = False
        if self.draining:
            self.drain()
        self._enforce()

    def _sole_gate_since_ms(self, announcement: Announcement) -> float:
        """Return the time since which no other gate has sent to the upstream."""
        started_unix_ms = announcement.started_unix_ms
        if started_unix_ms >= self._started_unix_ms - RESTART_MS:
            return -math.inf
        return self._started_at_ms

    def leave(self, upstream: UpstreamId, boot: BootId) -> bool:
        """Stop sending new work to the upstream.

        Returns False if another upstream or boot is registered.
        """
        announced = self.announcement
        if (
            announced is None
            or announced.upstream != upstream
            or boot not in ("", announced.boot)
        ):
            return False
        log_event(log, "upstream_leaving", upstream=upstream, boot=boot)
        # A later announcement reopens a gate that has lapsed, but not one that left.
        self._lapsed = False
        self._apply_decisions(self.admission.close(RefusalReason.LEAVING))
        return True

    def lapse(self) -> bool:
        """Refuse new work for an upstream that no longer announces itself.

        Returns False if no upstream is registered or the gate is closed already.
        """
        if self.announcement is None or self.admission.closed_reason is not None:
            return False
        log_event(log, "upstream_lapsed", upstream=self.announcement.upstream)
        self._apply_decisions(self.admission.close(RefusalReason.LEAVING))
        self._lapsed = True
        return True

    def drain(self) -> None:
        """Refuse new work before a planned stop of the node."""
        self.draining = True
        self._apply_decisions(self.admission.close(RefusalReason.LEAVING))

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        self._enforce()

    def report(self) -> GateReport:
        """Return the state for operators."""
        return GateReport(
            self.admission.report(),
            self.guard.suspects.report(self.clock.now_ms()),
            self.guard.crashes.dead,
            self.repeats.report(),
        )

    def load(self) -> LoadReport:
        """Return the current load of the upstream."""
        now_ms = self.clock.now_ms()
        load = self.admission.load(self.configuration.revision, now_ms)
        return msgspec.structs.replace(
            load,
            may_repeat=self.repeats.may_repeat(),
            failure_share=self._failures.value(now_ms),
            shed_share=self.shedding.share(now_ms),
            link_use=self.link_use,
        )

    def open(self, call: CallOpen, sink: ReplySink) -> GateCall:
        """Accept, queue or refuse a call; reply messages are passed to ``sink``."""
        ticket = next(self._tickets)
        now_ms = self.clock.now_ms()
        gate_call = GateCall(self, ticket, call, sink, now_ms)
        self._calls[ticket] = gate_call
        self.idle.clear()
        refusal = self._reason_to_refuse(call)
        if refusal is None:
            refusal = self.guard.screen(gate_call, now_ms)
        if refusal is None and not self.repeats.offer(ticket, call):
            refusal = RefusalReason.RETRY_BUDGET
        if refusal is not None:
            self.refusals.add(gate_call.kind, refusal)
            gate_call.refuse(refusal, not_run=True)
            return gate_call
        gate_call.count_held()
        if gate_call.state is CallState.ENDED:
            return gate_call
        target_ms = call.target_ms
        target_at_ms = now_ms + target_ms if target_ms else 0.0
        hints = SchedulingHints(
            target_at_ms, call.priority, call.work_ms, call.immediate, call.spent_ms
        )
        decision = self.admission.offer(
            ticket,
            gate_call.deadline_at_ms,
            now_ms,
            gate_call.kind,
            gate_call.alone,
            hints,
        )
        self._apply_decisions([decision])
        self._schedule_tick()
        self.publisher.push()
        return gate_call

    def report_due(self, now_ms: float) -> bool:
        """Return whether the next health or load report is due."""
        return self.announcement is not None and self.reports.watch.is_due(now_ms)

    def read_report(self, now_ms: float) -> None:
        """Request the upstream's health or load report.

        Where the limit is learnt from answers, a report can only restart the warm-up.
        """
        if self._health is None:
            self.reports.read(self.announcement, now_ms, self._report_doubted)
            return
        self.reports.watch.report_requested(now_ms)
        announced = self.announcement
        self._health.poll(
            Address(announced.host, announced.port), announced.health_path, now_ms
        )

    def response_received(self, response: ResponseHead) -> None:
        """Update the load from the head of a response, if it carries one."""
        load = read_load(response, self.dialect)
        if load is not None:
            self.shedding.load_told(load, self.clock.now_ms())
            self.admission.load_reported(load)
            self.publisher.push()

    def close(self) -> None:
        """Stop reading reports and close the idle connections to the upstream."""
        self.reports.close()
        if self._health is not None:
            self._health.close()
        self.pool.close()

    def quarantine(self, fingerprints: frozenset[Fingerprint]) -> None:
        """Set the requests that control has quarantined; they are refused."""
        self.guard.suspects.quarantined = fingerprints

    def call_ended(
        self,
        call: GateCall,
        result: Result | None,
        service_time_ms: float | None = None,
    ) -> None:
        """Release the slot of a call; ``result`` is None if it was never admitted."""
        if self._calls.pop(call.ticket, None) is None:
            return
        if not self._calls:
            self.idle.set()
        self.repeats.ended(call.ticket)
        if result is None:
            self.admission.withdraw(call.ticket)
            self.publisher.push()
            return
        now_ms = self.clock.now_ms()
        self._record_failure(call, result, now_ms)
        if call.answered_whole:
            self.guard.answered(call.call.fingerprint, now_ms)
        self._apply_decisions(
            self.admission.finish(call.ticket, result, now_ms, service_time_ms)
        )
        self.publisher.push()

    def _record_failure(self, call: GateCall, result: Result, now_ms: float) -> None:
        if result is Result.SHED and self.shedding.is_full(now_ms):
            return
        self.shedding.ended(result, now_ms)
        self.inner_calls.run_ended(call.kind, result is Result.FAILED, now_ms)
        load = self.admission.load(self.configuration.revision, now_ms)
        took_ms = now_ms - call.admitted_at_ms
        failed = is_failure(result, load, took_ms, call.call.work_ms)
        if failed is not None:
            self._failures.add(failed, now_ms)

    def _reason_to_refuse(self, call: CallOpen) -> RefusalReason | None:
        announced = self.announcement
        if not self.configuration.has_rules():
            return RefusalReason.NO_VIEW
        if announced is None:
            return RefusalReason.NO_UPSTREAM
        if announced.service != call.service:
            return RefusalReason.WRONG_SERVICE
        if call.version and announced.version != call.version:
            return RefusalReason.WRONG_SERVICE
        if not self.holdings.admits(has_body=call.more):
            return RefusalReason.OVERLOAD
        return None

    def upstream_shed(self, request: RequestId, response: ResponseHead) -> None:
        """Log that the upstream shed a request that the gate had admitted."""
        log_event(
            log,
            "upstream_shed",
            request=request,
            status=response.status_code,
            in_flight=self.admission.in_flight,
            full=self.shedding.is_full(self.clock.now_ms()),
            load=(find_field(response.headers, self.dialect.load) or b"").decode(),
        )

    def refusal_unnamed(self, request: RequestId, response: ResponseHead) -> None:
        """Log a refusal without the id of its request."""
        status = response.status_code
        log_event(log, "refusal_unnamed", request=request, status=status)

    def upstream_replaced(self) -> None:
        """Close the gate: another upstream now uses the announced address."""
        log_event(log, "upstream_replaced", upstream=self.announcement.upstream)
        self._apply_decisions(self.admission.close(RefusalReason.NO_UPSTREAM))

    def _health_received(self, report: HealthReport) -> None:
        announced = self.announcement
        if (
            report.upstream
            and announced is not None
            and report.upstream != announced.upstream
        ):
            if self.admission.closed_reason is None:
                self.upstream_replaced()
            return
        now_ms = self.clock.now_ms()
        if report.load is not None:
            self.shedding.load_told(report.load, now_ms)
            self.admission.load_reported(report.load)
        if report.cold_ms is not None:
            self.admission.cold_reported(report.cold_ms, now_ms)
        self._apply_decisions(self.admission.tick(now_ms))
        self.publisher.push()

    def _upstream_died(self) -> None:
        self.admission.restart_warm_up("upstream died", self.clock.now_ms())

    def _refuse_waiting(self, fingerprint: Fingerprint) -> None:
        for call in list(self._calls.values()):
            waits = call.state is CallState.WAITING
            if waits and call.call.fingerprint == fingerprint:
                call.refuse(RefusalReason.QUARANTINED, not_run=True)

    def _enforce(self) -> None:
        announced = self.announcement
        if announced is not None:
            rule = self.configuration.services.get(announced.service)
            if rule is not None:
                self.admission.set_cold_limit(
                    rule.cold_calls_per_s * self.settings.cold_factor
                )
        if announced is None or self.admission.leaving:
            return
        reason = None
        if not self.configuration.takes_new_work(self.data_centre):
            reason = RefusalReason.DATA_CENTRE_OUT
        elif self.configuration.is_withdrawn(announced.service, announced.version):
            reason = RefusalReason.WITHDRAWN
        if reason is self.admission.closed_reason:
            return
        if reason is None:
            log_event(log, "gate_opened")
            self.admission.open(self.clock.now_ms())
        else:
            log_event(log, "gate_closed", reason=reason)
            self._apply_decisions(self.admission.close(reason))

    def _connections_doubted(self) -> None:
        """Use new connections, as the kept ones may have gone silent too."""
        log_event(log, "upstream_silent", upstream=self.announcement.upstream)
        self.pool.close_idle_connections()

    def _report_doubted(self, cause: str) -> None:
        log_event(log, "upstream_doubted", reason=cause)
        self.admission.restart_warm_up(cause, self.clock.now_ms())

    def _log_restarts(self) -> None:
        warm_up = self.admission.warm_up
        if warm_up.restarts != self._restarts_logged:
            self._restarts_logged = warm_up.restarts
            log_event(log, "warm_up_started", reason=warm_up.cause)

    def _log_suspicions(self, now_ms: float) -> None:
        slowdown = self.admission.slowdown
        if slowdown.suspicions != self._suspicions_logged:
            self._suspicions_logged = slowdown.suspicions
            log_event(
                log,
                "slowdown_suspected",
                in_flight=self.admission.in_flight,
                caution=round(slowdown.caution(now_ms), 2),
            )

    def _schedule_tick(self) -> None:
        if not self._ticking and self._calls and self.admission.needs_ticks():
            self._ticking = True
            self._timers.once(TICK_INTERVAL_MS, self._tick)

    def _tick(self, now_ms: float) -> None:
        self._ticking = False
        self._schedule_tick()
        if self._health is None:
            self._log_restarts()
            self._log_suspicions(now_ms)
        self.admission.check_late(now_ms)
        self._apply_decisions(self.admission.tick(now_ms))

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            call = self._calls.get(decision.ticket)
            if call is None:
                continue
            if decision.verdict is Verdict.ADMIT:
                call.admit()
            elif decision.verdict is Verdict.REFUSE:
                self.refusals.add(call.kind, decision.reason)
                call.refuse(decision.reason, not_run=True)


def make_admission(settings: GateSettings) -> Admission | ReportedAdmission:
    """Return the admission control selected by the settings."""
    return (
        ReportedAdmission() if settings.limit == REPORTED_LIMIT else Admission(settings)
    )
