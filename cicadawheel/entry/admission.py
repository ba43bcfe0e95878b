"""Decides at an entry whether a call is refused before it is sent to any gate.

It also tells refused callers when to come back. The decisions are those of `room` and
`comeback`; this keeps their state for each service, and logs and counts them.
"""

import logging
from random import Random
from typing import Protocol

import msgspec

from cicadawheel.announcement import Announcement
from cicadawheel.entry.comeback import Comebacks
from cicadawheel.entry.placement import CallProfile
from cicadawheel.entry.plan import CallPlan
from cicadawheel.entry.retry_after import USELESS_RETRY_REASONS, retry_after_ms
from cicadawheel.entry.room import (
    Demand,
    Room,
    RoomQuery,
    estimate_room,
    reason_to_refuse,
)
from cicadawheel.entry.router import Router
from cicadawheel.entry.tries import covers_tries, mean_shed_share
from cicadawheel.gate.inner_calls import InnerCalls
from cicadawheel.gate.repeats import GateRepeats
from cicadawheel.gate.runs import request_kind
from cicadawheel.ids import ServiceName
from cicadawheel.logs import log_event
from cicadawheel.messages import RefusalReason
from cicadawheel.metrics import NodeMetrics

log = logging.getLogger(__name__)

TOLD_REASONS = frozenset(
    (
        RefusalReason.OVERLOAD,
        RefusalReason.BUSY,
        RefusalReason.COLD,
        RefusalReason.QUEUE_DEADLINE,
        RefusalReason.RETRY_BUDGET,
    )
)
"""Reasons that are due to the load, after which returns are spread."""


class EntryAdmissionReport(msgspec.Struct, frozen=True):
    """The room of one service as last estimated, for operators."""

    service: ServiceName
    room: Room | None
    told: int


class _ServiceState:
    def __init__(self, random: Random):
        self.demand = Demand()
        self.comebacks = Comebacks(random)
        self.room: Room | None = None


class UpstreamGate(Protocol):
    """What the gate of this node knows of the runs of its upstream."""

    announcement: Announcement | None
    inner_calls: InnerCalls
    repeats: GateRepeats


class EntryAdmission:
    """Refuses calls for which a service has no room, and spreads their return.

    Parameters
    ----------
    router : Router
        Knows the load of the upstreams.
    half_life_ms : float
        The half-life of the weight of a load report.
    metrics : NodeMetrics
        The metrics of this node.
    """

    def __init__(self, router: Router, half_life_ms: float, metrics: NodeMetrics):
        self.router = router
        self.half_life_ms = half_life_ms
        self.metrics = metrics
        self._services: dict[ServiceName, _ServiceState] = {}

    def call_began(self, plan: CallPlan, now_ms: float) -> None:
        """Record a call of a caller."""
        self._state(plan.service).demand.record_request(plan.priority, now_ms)

    def call_answered(self, plan: CallPlan, now_ms: float) -> None:
        """Record an upstream's answer."""
        state = self._state(plan.service)
        state.demand.record_answer(now_ms)
        state.comebacks.answered(now_ms)

    def reason_to_refuse(
        self,
        plan: CallPlan,
        profile: CallProfile,
        left_ms: float,
        now_ms: float,
    ) -> RefusalReason | None:
        """Return the reason to refuse a call for which there is no room, or None.

        ``left_ms`` is the time until its deadline. A nested call is always sent: its
        refusal takes the work of its outer request with it.
        """
        if plan.spent_ms:
            return None
        state = self._state(plan.service)
        rank = plan.priority
        passed_ms = plan.deadline_ms - left_ms
        query = RoomQuery(
            profile.work_ms,
            left_ms,
            max(1.0, plan.target_ms - passed_ms) if plan.target_ms else 0.0,
            profile.usable_part,
            state.demand.share_up_to(rank),
            state.demand.taken_part(rank),
        )
        candidates = self.router.open_candidates(plan.service, now_ms)
        room = estimate_room(candidates, query, self.half_life_ms, now_ms)
        state.room = room
        reason = reason_to_refuse(room, query, state.demand.is_highest(rank))
        if reason is not None:
            self.metrics.count_entry_refusal(plan.service, reason)
            log_event(
                log,
                "call_without_room",
                request=plan.request,
                service=plan.service,
                reason=reason.value,
                deadline_chance=round(room.deadline_chance, 2),
                target_chance=round(room.target_chance, 2),
                excess_turns=round(room.excess_turns, 2),
                known=round(room.known, 1),
                age_ms=room.age_ms,
            )
        return reason

    def call_ended(
        self, plan: CallPlan, refused: bool, gate: UpstreamGate, now_ms: float
    ) -> None:
        """Record how a call ended, if a run of this node's upstream has made it."""
        outer = gate.repeats.runs.outer(plan.request) if plan.spent_ms else None
        if outer is not None:
            gate.inner_calls.call_ended(outer.kind, refused, now_ms)

    def is_in_vain(self, plan: CallPlan, gate: UpstreamGate, now_ms: float) -> bool:
        """Return whether the calls of a run would almost surely be refused.

        That is known only of the service whose upstream this node has.
        """
        announced = gate.announcement
        if plan.spent_ms:
            return False
        if announced is None or announced.service != plan.service:
            return False
        kind = request_kind(plan.method, plan.target)
        if not gate.inner_calls.are_refused(kind, now_ms):
            return False
        reason = RefusalReason.OVERLOAD
        self.metrics.count_entry_refusal(plan.service, reason)
        log_event(
            log, "call_in_vain", request=plan.request, service=plan.service, kind=kind
        )
        return True

    def may_try_elsewhere(self, plan: CallPlan, share: float, now_ms: float) -> bool:
        """Return whether a request that an upstream declined is sent to another one.

        ``share`` is the number of repeats that the budget allows per request.
        """
        demand = self._state(plan.service).demand
        rank = plan.priority
        # Nobody comes back with a nested call: its outer request has failed.
        if plan.spent_ms or demand.is_highest(rank):
            return True
        candidates = self.router.open_candidates(plan.service, now_ms)
        shed_share = mean_shed_share(candidates, self.half_life_ms, now_ms)
        share_up_to = demand.share_up_to(rank)
        if covers_tries(share, shed_share, plan.attempts, share_up_to):
            return True
        log_event(
            log,
            "try_left_to_others",
            request=plan.request,
            service=plan.service,
            shed_share=round(shed_share, 2),
            share_up_to=round(share_up_to, 2),
        )
        return False

    def retry_after_ms(
        self,
        plan: CallPlan,
        profile: CallProfile,
        reason: RefusalReason,
        left_ms: float,
        now_ms: float,
    ) -> float:
        """Return the delay after which a refused caller should come back, 0 for none.

        ``left_ms`` is the time until the deadline of the call.
        """
        if reason in USELESS_RETRY_REASONS:
            return 0.0
        service = plan.service
        wait_ms = self.router.shortest_wait_ms(service, profile, plan.target_ms)
        if reason not in TOLD_REASONS or plan.spent_ms:
            return retry_after_ms(reason, wait_ms, self.router.random)
        comebacks = self._state(service).comebacks
        delay_ms = comebacks.delay_ms(wait_ms, profile.work_ms, left_ms, now_ms)
        log_event(
            log,
            "caller_told_return",
            request=plan.request,
            service=service,
            wait_ms=wait_ms,
            left_ms=left_ms,
            delay_ms=delay_ms,
            pending=comebacks.pending(now_ms),
        )
        if delay_ms:
            self.metrics.observe_told_return(service, delay_ms)
        return delay_ms

    def report(self, now_ms: float) -> list[EntryAdmissionReport]:
        """Return the room of each service as last estimated."""
        return [
            EntryAdmissionReport(service, state.room, state.comebacks.pending(now_ms))
            for service, state in self._services.items()
        ]

    def _state(self, service: ServiceName) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState(self.router.random)
        return state
