"""Selects the upstream for each call, based on load reports that are always stale.

The router does no I/O and reads no clock: reports and times are passed in.
"""

from random import Random

import msgspec

from cicadawheel.configuration import Configuration, Member
from cicadawheel.entry.candidate import Candidate
from cicadawheel.entry.ejection import (
    ANSWER_WEIGHT,
    WEIGHT_OF_REASON,
    EjectionReport,
    Ejections,
)
from cicadawheel.entry.group import Group, make_group
from cicadawheel.entry.locality import FlowReport, Flows
from cicadawheel.entry.placement import DEFAULT_PROFILE, CallProfile, expected_answer_ms
from cicadawheel.entry.policy import make_policy
from cicadawheel.ids import (
    DataCentreName,
    NodeId,
    ServiceName,
    VersionName,
)
from cicadawheel.messages import LoadReport, RefusalReason
from cicadawheel.settings import EntrySettings
from cicadawheel.slowness import remaining_ms

USUAL_WEIGHT = 0.05
PROBE_CHOICES = 3
RECENT_CALL_MS = 10_000.0
BUSY_PROBE_INTERVAL_MS = 200.0
PROBE_TIMEOUT_MS = 500.0
# Work that has run for its usual time is assumed to have this fraction of it left.
MIN_REMAINING_SHARE = 0.3
CLOSED_REASONS = frozenset(
    (
        RefusalReason.LEAVING,
        RefusalReason.DATA_CENTRE_OUT,
        RefusalReason.WITHDRAWN,
        RefusalReason.WRONG_SERVICE,
    )
)


class CandidateReport(msgspec.Struct, frozen=True):
    """The router's state of one upstream, as shown to operators."""

    node: NodeId
    service: ServiceName
    load: LoadReport | None
    age_ms: float
    own_in_flight: int
    use: float
    cost_ms: float
    open: bool


class LoadEstimate(msgspec.Struct, frozen=True):
    """The load of one upstream and the age of its report; -1 ms if there is none."""

    slowness: float
    calls: float
    age_ms: float


class RouterReport(msgspec.Struct, frozen=True):
    """The state of a router, as shown to operators."""

    policy: str
    candidates: list[CandidateReport]
    ejected: list[EjectionReport]
    flows: list[FlowReport]


class Router:
    """Selects upstreams by the policy of the settings.

    Parameters
    ----------
    settings : EntrySettings
        The policy and its parameters.
    data_centre : DataCentreName
        The data centre of this entry.
    random : Random
        The source of randomness.
    node : NodeId
        This node, whose own upstream is reached without a hop.
    """

    def __init__(
        self,
        settings: EntrySettings,
        data_centre: DataCentreName,
        random: Random,
        node: NodeId,
    ):
        self.settings = settings
        self.data_centre = data_centre
        self.node = node
        self.configuration = Configuration()
        self.ejections = Ejections()
        self.random = random
        self.flows = Flows()
        self._policy = make_policy(settings, random, self.flows)
        self._candidates: dict[NodeId, Candidate] = {}
        self._by_service: dict[ServiceName, list[Candidate]] = {}
        self._groups: dict[tuple[ServiceName, VersionName], Group] = {}
        self._usual_ms: dict[ServiceName, float] = {}
        self._called_at_ms: dict[ServiceName, float] = {}
        self._probed_at_ms: dict[NodeId, float] = {}
        self._leaving: frozenset[ServiceName] = frozenset()

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        self._groups.clear()

    def set_members(self, members: list[Member], now_ms: float) -> None:
        """Replace the list of upstreams, keeping the state of those that remain."""
        candidates = {}
        for member in members:
            candidate = self._candidates.get(member.node)
            if candidate is None or candidate.member.upstream != member.upstream:
                candidate = Candidate(member)
            candidate.member = member
            candidates[member.node] = candidate
        self._candidates = candidates
        self._by_service = {}
        for candidate in candidates.values():
            service = candidate.member.service
            self._by_service.setdefault(service, []).append(candidate)
        self._groups.clear()
        self.ejections.keep_only(set(candidates))

    def pick(
        self,
        service: ServiceName,
        version: VersionName,
        exclude: set[NodeId],
        now_ms: float,
        profile: CallProfile = DEFAULT_PROFILE,
    ) -> Member | None:
        """Select the upstream for a call, or None if there is none.

        Ejected upstreams are selected only when there is no other, then excluded ones,
        and those outside the subset in use only when no other takes new work.
        """
        self._called_at_ms[service] = now_ms
        group = self._group(service, version)
        usual_ms = self._usual_ms.get(service, 0.0)
        ejections = self.ejections

        def preferred(candidate: Candidate) -> bool:
            if candidate.member.node in exclude or not candidate.is_open(now_ms):
                return False
            return not ejections.is_ejected(candidate, now_ms)

        def untried(candidate: Candidate) -> bool:
            return candidate.member.node not in exclude and candidate.is_open(now_ms)

        def open_to_calls(candidate: Candidate) -> bool:
            return candidate.is_open(now_ms)

        for usable in (preferred, untried, open_to_calls):
            picked = self._policy.pick(group, usable, usual_ms, now_ms, profile)
            if picked is not None:
                return picked.member
        unused = [candidate.member for candidate in filter(untried, group.unused)]
        return self.random.choice(unused) if unused else None

    def review_subsets(self) -> bool:
        """Use more distant upstreams of the services whose calls leave, else fewer.

        Returns whether the upstreams in use may have changed.
        """
        leaving = self.flows.leaving(self._leaving)
        if leaving == self._leaving:
            return False
        self._leaving = leaving
        self._groups.clear()
        return True

    def load_estimate(self, node: NodeId, now_ms: float) -> LoadEstimate:
        """Return the load estimate by which a node is selected."""
        candidate = self._candidates.get(node)
        if candidate is None or candidate.load is None:
            return LoadEstimate(1.0, 0.0, -1.0)
        age_ms = now_ms - candidate.load_at_ms
        return LoadEstimate(candidate.slowness, candidate.calls(), age_ms)

    def slowness(self, node: NodeId) -> float:
        """Return the last reported slowness of a node's upstream, 1 if unknown."""
        candidate = self._candidates.get(node)
        return 1.0 if candidate is None else candidate.slowness

    def shortest_wait_ms(
        self, service: ServiceName, profile: CallProfile, target_ms: float
    ) -> float:
        """Return the expected wait of a new call at the best upstream."""
        waits_ms = [
            expected_answer_ms(candidate, profile, 0.0, own=True) - profile.work_ms
            for candidate in self._group(service, VersionName("")).used
        ]
        return max(0.0, min(waits_ms, default=target_ms))

    def open_candidates(self, service: ServiceName, now_ms: float) -> list[Candidate]:
        """Return the upstreams in use of a service that take new work."""
        used = self._group(service, VersionName("")).used
        return [candidate for candidate in used if candidate.is_open(now_ms)]

    def has_free_slot(self, node: NodeId) -> bool:
        """Return whether a call is expected to find a free slot at a node."""
        candidate = self._candidates.get(node)
        return candidate is not None and candidate.has_free_slot()

    def may_repeat(self, node: NodeId, now_ms: float) -> bool:
        """Return whether a node's gate is assumed to have repeat budget left."""
        candidate = self._candidates.get(node)
        return candidate is not None and candidate.may_repeat(now_ms)

    def nodes_over_budget(self, service: ServiceName, now_ms: float) -> set[NodeId]:
        """Return the nodes of a service whose gates have no repeat budget left."""
        return {
            candidate.member.node
            for candidate in self._group(service, VersionName("")).used
            if not candidate.may_repeat(now_ms)
        }

    def is_over_budget(self, service: ServiceName, now_ms: float) -> bool:
        """Return whether no gate of a service has repeat budget left."""
        used = self._group(service, VersionName("")).used
        return bool(used) and not any(one.may_repeat(now_ms) for one in used)

    def work_done_ms(self, node: NodeId, now_ms: float) -> float:
        """Return `Candidate.work_done_ms` of a node, 0 if it is unknown."""
        candidate = self._candidates.get(node)
        return 0.0 if candidate is None else candidate.work_done_ms(now_ms)

    def gain_ms(
        self, member: Member, other: Member, profile: CallProfile, done_ms: float
    ) -> float:
        """Return how much sooner a hedge at another upstream would answer.

        ``done_ms`` is the work done so far for the first attempt.
        """
        current = self._candidates.get(member.node)
        target = self._candidates.get(other.node)
        if current is None or target is None or not target.has_free_slot():
            return 0.0
        left_ms = max(MIN_REMAINING_SHARE * profile.work_ms, profile.work_ms - done_ms)
        distance_ms = self._distance_ms(other)
        own = other.node == self.node
        target_answer_ms = expected_answer_ms(target, profile, distance_ms, own)
        return remaining_ms(left_ms, current.slowness) - target_answer_ms

    def _distance_ms(self, member: Member) -> float:
        group = self._group(member.service, VersionName(""))
        for tier in group.tiers:
            if any(item.member.node == member.node for item in tier.candidates):
                return tier.distance_ms
        return 0.0

    def member(self, node: NodeId) -> Member | None:
        """Return the registration of a node, or None."""
        candidate = self._candidates.get(node)
        return None if candidate is None else candidate.member

    def is_open(self, node: NodeId, now_ms: float) -> bool:
        """Return whether a node is known and takes new work."""
        candidate = self._candidates.get(node)
        return candidate is not None and candidate.is_open(now_ms)

    def started(self, node: NodeId, now_ms: float) -> None:
        """Record that a call was dispatched to a node."""
        candidate = self._candidates.get(node)
        if candidate is not None:
            candidate.started()

    def ended(self, node: NodeId, load: LoadReport | None, now_ms: float) -> None:
        """Record that a call at a node has ended, with its load report, if any."""
        candidate = self._candidates.get(node)
        if candidate is None:
            return
        candidate.ended()
        if load is not None:
            self.observe(node, load, now_ms)

    def answered(self, node: NodeId, good: bool, now_ms: float) -> bool:
        """Record an upstream's answer and return whether it is ejected for it."""
        candidate = self._candidates.get(node)
        if candidate is None:
            return False
        if good:
            self.ejections.succeeded(candidate, now_ms)
            return False
        return self._failed(candidate, ANSWER_WEIGHT, now_ms)

    def refused(self, node: NodeId, reason: RefusalReason, now_ms: float) -> bool:
        """Record a refusal and return whether the upstream is ejected for it."""
        candidate = self._candidates.get(node)
        if candidate is None:
            return False
        if reason in CLOSED_REASONS:
            candidate.close(now_ms)
        weight = WEIGHT_OF_REASON.get(reason, 0)
        return bool(weight) and self._failed(candidate, weight, now_ms)

    def observe(self, node: NodeId, load: LoadReport, now_ms: float) -> None:
        """Record a node's load report."""
        self._probed_at_ms.pop(node, None)
        candidate = self._candidates.get(node)
        if candidate is None or not load.boot:
            return
        candidate.observe(load, now_ms)
        if load.service_time_ms:
            service = candidate.member.service
            usual_ms = self._usual_ms.get(service, load.service_time_ms)
            usual_ms += USUAL_WEIGHT * (load.service_time_ms - usual_ms)
            self._usual_ms[service] = usual_ms

    def choose_probe_target(self, now_ms: float) -> Member | None:
        """Return the member to probe next, or None.

        It is the one with the oldest report among a few drawn at random from a
        recently called service.
        """
        services = self._recently_called_services(now_ms)
        if not services:
            return None
        service = self.random.choice(services)
        candidates = self._group(service, VersionName("")).used
        drawn = self.random.sample(candidates, min(PROBE_CHOICES, len(candidates)))
        due = [item for item in drawn if self._is_probe_due(item, now_ms)]
        if not due:
            return None
        return min(due, key=lambda item: item.load_at_ms).member

    def used_members(self) -> list[Member]:
        """Return the members of all services that calls may be dispatched to."""
        kinds = {(one.service, one.version) for one in self._members()}
        kinds |= {(service, VersionName("")) for service in self._by_service}
        used = {
            candidate.member.node: candidate.member
            for service, version in kinds
            for candidate in self._group(service, version).used
        }
        return list(used.values())

    def probe_sent(self, node: NodeId, now_ms: float) -> None:
        """Record that a probe was sent to a node."""
        self._probed_at_ms.setdefault(node, now_ms)

    def eject_unresponsive(self, now_ms: float) -> list[NodeId]:
        """Eject the nodes that have not answered a probe in time, and return them."""
        since_ms = now_ms - PROBE_TIMEOUT_MS
        unresponsive = [
            node for node, at_ms in self._probed_at_ms.items() if at_ms < since_ms
        ]
        ejected = []
        for node in unresponsive:
            del self._probed_at_ms[node]
            if self.refused(node, RefusalReason.PEER_LOST, now_ms):
                ejected.append(node)
        return ejected

    def report(self, now_ms: float) -> RouterReport:
        """Return the state of this router."""
        half_life_ms = self.settings.report_half_life_ms
        candidates = [
            CandidateReport(
                node=node,
                service=candidate.member.service,
                load=candidate.load,
                age_ms=now_ms - candidate.load_at_ms,
                own_in_flight=candidate.own_in_flight,
                use=candidate.use(now_ms, half_life_ms),
                cost_ms=candidate.cost_ms(
                    self._usual_ms.get(candidate.member.service, 0.0),
                    now_ms,
                    half_life_ms,
                ),
                open=candidate.is_open(now_ms),
            )
            for node, candidate in self._candidates.items()
        ]
        return RouterReport(
            self.settings.policy,
            candidates,
            self.ejections.report(now_ms),
            self.flows.report(),
        )

    def _members(self) -> list[Member]:
        return [candidate.member for candidate in self._candidates.values()]

    def _recently_called_services(self, now_ms: float) -> list[ServiceName]:
        since_ms = now_ms - RECENT_CALL_MS
        return [name for name, at_ms in self._called_at_ms.items() if at_ms >= since_ms]

    def _is_probe_due(self, candidate: Candidate, now_ms: float) -> bool:
        node = candidate.member.node
        if node == self.node or node in self._probed_at_ms:
            return False
        age_ms = now_ms - candidate.load_at_ms
        if candidate.own_in_flight:
            return age_ms >= BUSY_PROBE_INTERVAL_MS
        return age_ms >= self.settings.report_half_life_ms

    def _failed(self, candidate: Candidate, weight: int, now_ms: float) -> bool:
        size = len(self._group(candidate.member.service, VersionName("")).used)
        return self.ejections.failed(candidate, weight, size, now_ms)

    def _group(self, service: ServiceName, version: VersionName) -> Group:
        group = self._groups.get((service, version))
        if group is None:
            group = self._make_group(service, version)
            self._groups[(service, version)] = group
        return group

    def _make_group(self, service: ServiceName, version: VersionName) -> Group:
        candidates = self._by_service.get(service, [])
        if version and all(one.member.version == version for one in candidates):
            # The group of all versions is the same, and ranking is costly.
            return self._group(service, VersionName(""))
        return make_group(
            candidates,
            version,
            self.configuration,
            self.data_centre,
            self.node,
            service in self._leaving,
        )
