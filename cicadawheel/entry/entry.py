"""The entry of a node: accepts calls from callers and dispatches them to gates."""

import asyncio
import logging

import msgspec

from cicadawheel.configuration import CallerLimits, Configuration, Member, Routing
from cicadawheel.entry.admission import EntryAdmission, EntryAdmissionReport
from cicadawheel.entry.answer import (
    Answer,
    CallerFault,
    answer_fault,
    answer_refusal,
)
from cicadawheel.entry.call import EntryCall
from cicadawheel.entry.claim import ClaimClient
from cicadawheel.entry.latency import Latencies
from cicadawheel.entry.nested import plan_nested
from cicadawheel.entry.no_view import refuse_without_view
from cicadawheel.entry.owner import CallEnd
from cicadawheel.entry.peers import CallHandle, PeerLinks
from cicadawheel.entry.placement import CallProfile, WorkTimes
from cicadawheel.entry.plan import CallPlan, plan_by_host, plan_call
from cicadawheel.entry.probing import PROBE_COST_BYTES, ProbeLimiter
from cicadawheel.entry.repeats import FIRST_SERVER_ERROR, Repeats
from cicadawheel.entry.retry import RetryBudgetReport
from cicadawheel.entry.router import Router, RouterReport
from cicadawheel.entry.routes import RouteTable
from cicadawheel.entry.transfer import Transfers
from cicadawheel.entry.versions import Pick, Versions
from cicadawheel.gate.gate import Gate
from cicadawheel.http.caller import CallerConnection, end_longest_idle
from cicadawheel.http.caller_request import CallerRequest
from cicadawheel.http.dialect import OWN_DIALECT, Dialect
from cicadawheel.http.fields import (
    Headers,
    RequestHead,
    end_to_end_headers,
    find_field,
)
from cicadawheel.ids import (
    Fingerprint,
    NodeId,
    ServiceName,
    StreamId,
)
from cicadawheel.logs import log_event
from cicadawheel.messages import (
    CallOpen,
    Header,
    LoadReport,
    Probe,
    RefusalReason,
    Refused,
    Repeat,
    ReplyHead,
    ReplySink,
)
from cicadawheel.metrics import NodeMetrics
from cicadawheel.release.chooser import VersionChoice
from cicadawheel.reserve import SlotReserve
from cicadawheel.settings import EntrySettings
from cicadawheel.timer import Clock

log = logging.getLogger(__name__)

# Hedging is considered for calls at an upstream that slows down by this factor.
HEDGE_SLOWDOWN_FACTOR = 2.0
HEDGED_METHODS = frozenset(("GET", "HEAD"))


class EntryReport(msgspec.Struct, frozen=True):
    """The state of an entry, as shown to operators."""

    router: RouterReport
    retry_budgets: list[RetryBudgetReport]
    quarantined: list[Fingerprint]
    answer_bytes: dict[str, float]
    admission: list[EntryAdmissionReport]


class Entry:
    """Serves the callers that connect to this node.

    Parameters
    ----------
    node : NodeId
        This node. Its own gate is called directly, not over a stream.
    settings : EntrySettings
        Limits and policy.
    body_buffer_bytes : int
        How much of one request's body is buffered until a gate grants credit.
    gate : Gate
        The gate of this node.
    router : Router
        Selects the upstreams.
    links : PeerLinks
        Connections to the gates of other nodes.
    claims : ClaimClient
        Claims requests that must run at most once.
    clock : Clock
        The time source.
    metrics : NodeMetrics
        The metrics of this node.
    versions : Versions
        Selects the version of a service for each call.
    dialect : Dialect
        The header fields that callers and upstreams use.
    link_mbps : float
        The rate of this VM's link, 0 if it is unknown.
    """

    def __init__(
        self,
        node: NodeId,
        settings: EntrySettings,
        body_buffer_bytes: int,
        gate: Gate,
        router: Router,
        links: PeerLinks,
        claims: ClaimClient,
        clock: Clock,
        metrics: NodeMetrics,
        versions: Versions,
        dialect: Dialect = OWN_DIALECT,
        link_mbps: float = 0.0,
    ):
        self.node = node
        self.settings = settings
        self.body_buffer_bytes = body_buffer_bytes
        self.gate = gate
        self.router = router
        self.links = links
        self.claims = claims
        self.clock = clock
        self.metrics = metrics
        self.versions = versions
        self.dialect = dialect
        self.routes = RouteTable(router.random)
        self.caller_service = ServiceName("")
        self.repeats = Repeats(settings, router, clock)
        self.work_times = WorkTimes()
        self.transfers = Transfers(link_mbps)
        self.admission = EntryAdmission(router, settings.report_half_life_ms, metrics)
        self._reserves: dict[ServiceName, SlotReserve] = {}
        self.latencies = Latencies()
        self.probe_limiter = ProbeLimiter()
        self.quarantined: frozenset[Fingerprint] = frozenset()
        self.configuration = Configuration()
        self.draining = False
        self.closing = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.calls: set[EntryCall] = set()
        self._connections: set[CallerConnection] = set()

    def apply_view(self, configuration: Configuration, members: list[Member]) -> None:
        """Apply a configuration and replace the list of upstreams."""
        if configuration is not self.configuration:
            self.configuration = configuration
            self.router.configure(configuration)
            self.routes.configure(configuration)
        self.router.set_members(members, self.clock.now_ms())
        self.links.keep_only({member.node for member in members})
        self.update_links()

    def update_links(self) -> None:
        """Keep streams to the nodes in use only.

        Where gates push load reports, the streams are opened before the first call.
        """
        used = self.router.used_members()
        self.links.set_wanted({member.node for member in used})
        if self.repeats.shared:
            self.links.connect([one for one in used if one.node != self.node])

    def drain(self, close_idle: bool = True) -> None:
        """Close each connection after its next answer, and idle ones at once.

        With ``close_idle`` false, idle connections may send one more request.
        """
        self.draining = True
        self.closing = close_idle
        for connection in list(self._connections):
            connection.closing = True
            if close_idle:
                connection.close_when_idle()

    def connection_opened(self, connection: CallerConnection) -> bool:
        """Register a connection, and return whether it is within the limit.

        One that is idle makes room for it.
        """
        is_full = len(self._connections) >= self.settings.connection_limit
        if is_full and not end_longest_idle(self._connections):
            return False
        self._connections.add(connection)
        connection.closing = self.draining
        if self.closing:
            asyncio.get_running_loop().call_soon(connection.close_when_idle)
        return True

    def has_callers(self) -> bool:
        """Return whether a call or a caller's connection is open."""
        return bool(self.calls or self._connections)

    def end_calls(self) -> None:
        """End all calls before the process ends; those without an answer get one."""
        for call in list(self.calls):
            call.end_early()

    def caller_limits(self) -> CallerLimits:
        """Return the size and time limits for requests of callers."""
        return self.configuration.callers

    def connection_closed(self, connection: CallerConnection) -> None:
        """Deregister a connection."""
        self._connections.discard(connection)

    def unsent_bytes(self) -> int:
        """Return the bytes for callers not yet passed to the kernel."""
        return sum(connection.unsent_bytes() for connection in self._connections)

    def close_idle(self, now_ms: float) -> None:
        """Close the connections that have exceeded the idle timeout."""
        now_s = asyncio.get_running_loop().time()
        for connection in list(self._connections):
            connection.check_timeouts(now_s)

    def end_left(self, now_ms: float) -> None:
        """Close the connections whose clients have left while they aren't read."""
        for connection in list(self._connections):
            connection.end_if_left()

    def begin_call(
        self, connection: CallerRequest, request: RequestHead
    ) -> EntryCall | None:
        """Begin a call, or reject an invalid request at once."""
        if connection.ahead:
            self.metrics.requests_ahead.inc()
        named = find_field(request.headers, self.dialect.request_id) or b""
        request_id = named.decode("latin-1")
        if not self.configuration.has_rules():
            refuse_without_view(
                connection, request_id, self.node, self.dialect, self.router.random
            )
            return None
        plan = self._plan(request)
        if not isinstance(plan, CallPlan):
            answer = answer_fault(plan, request_id)
            log_event(
                log,
                "call_faulty",
                request=request_id,
                peer=connection.peer,
                reason=plan.value,
            )
            connection.respond(answer.status, answer.headers, answer.body)
            return None
        now_ms = self.clock.now_ms()
        outer = self.gate.repeats.runs.outer(plan.request)
        if outer is not None:
            plan = plan_nested(plan, outer, now_ms)
            self.metrics.count_nested(plan.service, plan.spent_ms)
        reserve = self._reserves.setdefault(plan.service, SlotReserve())
        reserve.record_request(plan.priority, now_ms)
        self.admission.call_began(plan, now_ms)
        within = self.gate.repeats.is_within(plan.request)
        call = EntryCall(self, connection, request, plan, within)
        self.calls.add(call)
        self.idle.clear()
        call.begin()
        return call

    def _plan(self, request: RequestHead) -> CallPlan | CallerFault:
        if self.configuration.call_routing() is Routing.BY_HOST:
            return plan_by_host(request, self.routes, self.dialect)
        return plan_call(request, self.configuration, self.settings, self.dialect)

    def headers_to_upstream(self, headers: Headers) -> tuple[Header, ...]:
        """Return the header fields for the upstream, with the caller's service."""
        kept = end_to_end_headers(headers, self.dialect.replaced_fields)
        name = self.dialect.caller_service
        if not name:
            return kept
        return (*kept, Header(name, self.caller_service.encode()))

    def answer_refusal(
        self, plan: CallPlan, reason: RefusalReason, not_run: bool, left_ms: float
    ) -> Answer:
        """Return the entry's own answer to a call that got none from an upstream."""
        delay_ms = 0.0
        if reason is RefusalReason.RETRY_BUDGET and plan.spent_ms:
            self.gate.repeats.runs.call_refused(plan.request, self.clock.now_ms())
        if not_run and self.dialect.seal:
            profile, now_ms = self._profile(plan), self.clock.now_ms()
            delay_ms = self.admission.retry_after_ms(
                plan, profile, reason, left_ms, now_ms
            )
        return answer_refusal(reason, not_run, plan.request, self.dialect, delay_ms)

    def pick(
        self,
        plan: CallPlan,
        tried: set[NodeId],
        only_at: NodeId,
        body_bytes: int = 0,
        target_ms: float = 0.0,
        first: bool = True,
    ) -> Pick | None:
        """Select the upstream for the next attempt, or None.

        ``target_ms`` is the time left until the target, negative if it has passed.
        ``first`` is set for the first attempt, which shows the demand.
        ``only_at``, if set, is the only node that may run the request.
        """
        profile = self._profile(plan, body_bytes, target_ms, first)
        now_ms = self.clock.now_ms()
        choice = self.versions.choose(plan.service, retry=bool(tried))
        if only_at:
            member = self._allowed_member(only_at)
        else:
            member = self._pick_of_version(plan, choice, tried, now_ms, profile)
        if member is None and not tried:
            choice = self.versions.choose(plan.service, retry=True)
            member = self._pick_of_version(plan, choice, tried, now_ms, profile)
        if member is None:
            return None
        work_ms = self.router.work_done_ms(member.node, now_ms)
        return Pick(member, choice, now_ms, work_ms)

    def _allowed_member(self, node: NodeId) -> Member | None:
        """Return the member at a node if its version may run calls, or None."""
        member = self.router.member(node)
        if member is None:
            return None
        allowed = self.configuration.may_run(member.service, member.version)
        return member if allowed else None

    def log_placement(self, plan: CallPlan, pick: Pick, attempts: int) -> None:
        """Log the selected upstream and the load estimate behind the selection."""
        load_estimate = self.router.load_estimate(pick.member.node, pick.at_ms)
        log_event(
            log,
            "call_placed",
            request=plan.request,
            service=plan.service,
            node=pick.member.node,
            attempt=attempts + 1,
            version=pick.member.version,
            revision=self.configuration.revision,
            slowness=load_estimate.slowness,
            calls=load_estimate.calls,
            age_ms=load_estimate.age_ms,
        )

    def _pick_of_version(
        self,
        plan: CallPlan,
        choice: VersionChoice,
        tried: set[NodeId],
        now_ms: float,
        profile: CallProfile,
    ) -> Member | None:
        preferred = self.versions.preferred(plan.service, choice)
        if preferred is not None and self.router.is_open(preferred.node, now_ms):
            return preferred
        return self.router.pick(plan.service, choice.version, tried, now_ms, profile)

    def open(self, member: Member, call: CallOpen, sink: ReplySink) -> CallHandle:
        """Dispatch an attempt to the gate of an upstream."""
        self.router.started(member.node, self.clock.now_ms())
        if member.node == self.node:
            return self.gate.open(call, sink)
        return self.links.link(member).open(call, sink)

    def has_free_slot(self, node: NodeId) -> bool:
        """Return whether a gate that pushes its load is expected to have a free slot.

        If the best gate for a call has none, no other has, and the call has to queue.
        """
        return self.repeats.shared and self.router.has_free_slot(node)

    def reason_without_room(
        self, plan: CallPlan, node: NodeId, left_ms: float
    ) -> RefusalReason | None:
        """Return the reason to refuse a call for which there is no room, or None."""
        now_ms = self.clock.now_ms()
        if not self.repeats.shared:
            return None
        if self.admission.is_in_vain(plan, self.gate, now_ms):
            return RefusalReason.OVERLOAD
        if self.router.has_free_slot(node):
            return None
        profile = self._profile(plan)
        return self.admission.reason_to_refuse(plan, profile, left_ms, now_ms)

    def may_try_elsewhere(self, plan: CallPlan, refused: Refused) -> bool:
        """Return whether the budget is left to a call that an upstream declined."""
        declined = refused.reached and refused.reason is RefusalReason.OVERLOAD
        if not self.repeats.shared or not declined:
            return True
        share, now_ms = self.settings.retry_share, self.clock.now_ms()
        return self.admission.may_try_elsewhere(plan, share, now_ms)

    def count_unsent_repeat(self, plan: CallPlan, cause: Repeat) -> None:
        """Count a repeat that isn't sent because every gate would refuse it."""
        self.metrics.count_repeat(plan.service, cause, "unsent")

    def attempt_answered(self, plan: CallPlan, pick: Pick, head: ReplyHead) -> None:
        """Record an upstream's answer."""
        now_ms = self.clock.now_ms()
        node = pick.member.node
        good = head.status < FIRST_SERVER_ERROR
        latency_ms = self._record(plan, pick, failed=not good)
        if good:
            slowness = max(self.router.slowness(node), head.load.slowness)
            self.work_times.add(plan.route, latency_ms, slowness)
            self.admission.call_answered(plan, now_ms)
        self.router.ended(node, head.load, now_ms)
        if self.router.answered(node, good, now_ms):
            log_event(log, "upstream_ejected", node=node, reason="bad answers")
        rule = self.configuration.services.get(plan.service)
        if good and rule is not None:
            self.repeats.call_ended(plan.service, rule.retry_share, now_ms)
        self.latencies.add(plan.service, latency_ms)
        self.metrics.observe_latency(plan.service, latency_ms)

    def attempt_refused(self, plan: CallPlan, pick: Pick, refused: Refused) -> None:
        """Record a gate's refusal."""
        now_ms = self.clock.now_ms()
        node = pick.member.node
        if not refused.not_run:
            self._record(plan, pick, failed=True)
        self.router.ended(node, refused.load, now_ms)
        self.metrics.count_refusal(refused.reason)
        if self.router.refused(node, refused.reason, now_ms):
            reason = refused.reason.value
            log_event(log, "upstream_ejected", node=node, reason=reason)

    def attempt_cancelled(self, plan: CallPlan, pick: Pick, late: bool) -> None:
        """Record that an attempt was cancelled; ``late`` if the deadline passed."""
        if late:
            self._record(plan, pick, failed=True)
        self.router.ended(pick.member.node, None, self.clock.now_ms())

    def _record(self, plan: CallPlan, pick: Pick, failed: bool) -> float:
        """Record an attempt as release evidence and return its latency in ms."""
        latency_ms = self.clock.now_ms() - pick.at_ms
        self.versions.record(plan.service, pick.choice, plan.route, failed, latency_ms)
        return latency_ms

    def hedge_gain_ms(
        self, plan: CallPlan, pick: Pick, other: Pick, body_bytes: int
    ) -> float:
        """Return how much sooner a hedge is expected to answer than the first attempt.

        The work that the first attempt has done so far reduces the gain.
        """
        profile = self._profile(plan, body_bytes)
        now_ms = self.clock.now_ms()
        done_ms = self.router.work_done_ms(pick.member.node, now_ms) - pick.work_ms
        return self.router.gain_ms(pick.member, other.member, profile, done_ms)

    def _profile(
        self,
        plan: CallPlan,
        body_bytes: int = 0,
        target_ms: float = 0.0,
        first: bool = True,
    ) -> CallProfile:
        reserve = self._reserves.get(plan.service)
        usable_part = 1.0 if reserve is None else reserve.usable_part(plan.priority)
        return CallProfile(
            self.work_times.usual_ms(plan.route),
            body_bytes,
            usable_part,
            *self.transfers.of_route(plan.route),
            target_ms=target_ms,
            priority=plan.priority,
            first=first,
        )

    def consider_hedges(self, now_ms: float) -> None:
        """Hedge the calls for which another upstream would answer much sooner."""
        if not self.repeats.shared:
            return
        for call in list(self.calls):
            call.consider_hedge()

    def hedge_delay_ms(self, plan: CallPlan) -> float | None:
        """Return the delay after which a call is hedged, None if it never is."""
        quantile = plan.hedge_after_quantile
        if not quantile or plan.method not in HEDGED_METHODS:
            return None
        return self.latencies.quantile_ms(plan.service, quantile)

    def may_hedge(self, plan: CallPlan, node: NodeId) -> bool:
        """Return whether the service's retry budget allows a hedge."""
        allowed = self.repeats.may_hedge(plan, node)
        if allowed:
            self.metrics.hedges.labels(plan.service).inc()
        return allowed

    def observe(self, node: NodeId, load: LoadReport) -> None:
        """Record a load report, and hedge calls at a node that has slowed down."""
        slowed = load.slowness > self.router.slowness(node) * HEDGE_SLOWDOWN_FACTOR
        self.router.observe(node, load, self.clock.now_ms())
        if slowed:
            for call in list(self.calls):
                if call.node == node:
                    call.consider_hedge()

    def call_ended(self, call: EntryCall, end: CallEnd) -> None:
        """Deregister a call and count how it ended."""
        self.calls.discard(call)
        self.metrics.count_call(call.plan.service, end)
        good = end is CallEnd.ANSWERED and call.status < FIRST_SERVER_ERROR
        self.transfers.add(call.plan.route, call.relayed_bytes, good)
        refused, now_ms = end is CallEnd.NOT_RUN, self.clock.now_ms()
        self.admission.call_ended(call.plan, refused, self.gate, now_ms)
        if not self.calls:
            self.idle.set()

    def probe(self, now_ms: float) -> None:
        """Eject unresponsive nodes, then probe one node if the budget allows it."""
        for node in self.router.eject_unresponsive(now_ms):
            log_event(log, "upstream_ejected", node=node, reason="silent")
        member = self.router.choose_probe_target(now_ms)
        if member is None or self.draining:
            return
        if self.spend_probe_budget(PROBE_COST_BYTES, now_ms):
            self.router.probe_sent(member.node, now_ms)
            self.links.link(member).send(Probe(StreamId(0)))

    def spend_probe_budget(self, cost_bytes: float, now_ms: float) -> bool:
        """Return whether the measuring budget covers a cost, and spend it if so."""
        allowed = self.probe_limiter.allows(
            self.configuration.measuring, cost_bytes, now_ms
        )
        if allowed:
            self.metrics.count_probe(cost_bytes)
        return allowed

    def report(self) -> EntryReport:
        """Return the state of this entry."""
        return EntryReport(
            router=self.router.report(self.clock.now_ms()),
            retry_budgets=self.repeats.report(),
            quarantined=sorted(self.quarantined),
            answer_bytes=self.transfers.sizes.report(),
            admission=self.admission.report(self.clock.now_ms()),
        )
