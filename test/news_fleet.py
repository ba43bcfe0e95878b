"""A model of entries and gates whose load reports steer where calls are placed."""

import heapq
import itertools
from collections import Counter
from random import Random

from msgspec.structs import replace
from spells import SLOW_SHARE, SLOWNESS, ends_ms, period_number

from cicadawheel.announcement import UpstreamLoad
from cicadawheel.configuration import Configuration, Member, ServiceRule
from cicadawheel.entry.moves import MOVE_LIMIT
from cicadawheel.entry.placement import CallProfile
from cicadawheel.entry.retry import DISPATCH_LIMIT
from cicadawheel.entry.router import Router
from cicadawheel.gate.decision import Result, SchedulingHints, Verdict
from cicadawheel.gate.failures import FailureShare
from cicadawheel.gate.news import LoadChangeFilter
from cicadawheel.gate.reported_admission import ReportedAdmission
from cicadawheel.messages import RefusalReason
from cicadawheel.settings import EntrySettings

SLOTS = 3
WORK_MS = 90.0
TARGET_MS = 330.0
DEADLINE_MS = 2_190.0
POLL_INTERVAL_MS = 50.0
TICK_INTERVAL_MS = 5.0
HOP_MS = 1.0
DATA_CENTRES = 3


class ModelGate:
    """A gate and its upstream, on a VM that is slow in some periods."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.node = f"n{number}"
        self.admission = ReportedAdmission()
        self.admission.upstream_started("b", SLOTS, 0.0)
        self.changes = LoadChangeFilter()
        self.failures = FailureShare()
        self.failing = 0.0
        self.calls = {}

    def slowness(self, now_ms):
        key = f"{self.fleet.seed} {self.number} {period_number(now_ms)}"
        return SLOWNESS if Random(key).random() < SLOW_SHARE else 1.0

    def poll(self, now_ms):
        report = UpstreamLoad(0, SLOTS, slowness=self.slowness(now_ms))
        self.admission.load_reported(report)
        self.apply(self.admission.tick(now_ms), now_ms)

    def offer(self, call, now_ms):
        self.calls[call.number] = call
        decision = self.admission.offer(
            call.number,
            call.started_ms + DEADLINE_MS,
            now_ms,
            hints=SchedulingHints(
                call.entered_ms + TARGET_MS, call.priority, WORK_MS, call.immediate
            ),
        )
        self.apply([decision], now_ms)

    def apply(self, decisions, now_ms):
        for decision in decisions:
            if decision.verdict is Verdict.ADMIT:
                call = self.calls[decision.ticket]
                end_ms = ends_ms(self.slowness, now_ms, call.work_ms)
                self.fleet.at(end_ms, self.finish, decision.ticket)
            elif decision.verdict is Verdict.REFUSE:
                call = self.calls.pop(decision.ticket)
                self.fleet.refused(call, self, decision.reason, now_ms)
        self.push(now_ms)

    def finish(self, number, now_ms):
        call = self.calls.pop(number)
        failed = self.fleet.draw.random() < self.failing
        result = Result.FAILED if failed else Result.ANSWERED
        self.failures.add(failed, now_ms)
        decisions = self.admission.finish(number, result, now_ms, WORK_MS)
        self.fleet.answered(call, self, failed, now_ms)
        self.apply(decisions, now_ms)

    def load(self, now_ms):
        load = self.admission.load(1, now_ms)
        return replace(load, failure_share=self.failures.value(now_ms))

    def push(self, now_ms):
        load = self.load(now_ms)
        entries = len(self.fleet.listeners[self.node])
        if self.changes.should_push(load, now_ms, entries):
            for router in self.fleet.listeners[self.node]:
                self.fleet.report(self, router, load, now_ms)


class ModelCall:
    """One call, from its entry's point of view."""

    def __init__(self, number, router, now_ms, work_ms):
        self.number = number
        self.router = router
        self.started_ms = now_ms
        self.entered_ms = now_ms
        self.work_ms = work_ms
        self.priority = 0
        self.tried = set()
        self.busy = set()
        self.attempts = 0
        self.immediate = False


class NewsFleet:
    """Entries that place calls at random moments, and the gates that take them.

    Parameters
    ----------
    seed : int
        The seed of arrivals, work times and slow periods.
    gates, entries : int
        Their numbers; the first ``gates`` entries are on the gates' nodes.
    """

    profile = CallProfile(WORK_MS)

    def __init__(self, seed, gates=42, entries=81):
        self.seed = seed
        self.draw = Random(seed)
        self.numbers = itertools.count()
        self.events = []
        self.ends = Counter()
        self.reports = 0
        self.moves = 0
        self.gates = {f"n{n}": ModelGate(self, n) for n in range(gates)}
        members = [self.make_member(number) for number in range(gates)]
        self.routers = [
            make_router(members, *self.place_of_entry(number))
            for number in range(entries)
        ]
        self.listeners = {node: [] for node in self.gates}
        for router in self.routers:
            for member in router.used_members():
                self.listeners[member.node].append(router)

    def at(self, at_ms, action, *arguments):
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, arguments))

    def run(self, calls_per_s, seconds):
        """Play calls at a rate, and return how many ended in each way."""
        for gate in self.gates.values():
            self.at(self.draw.random() * POLL_INTERVAL_MS, self._poll, gate)
            self.at(self.draw.random() * TICK_INTERVAL_MS, self._tick, gate)
        self.at(0.0, self._arrive, calls_per_s)
        while self.events and self.events[0][0] < seconds * 1_000.0:
            now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments, now_ms)
        return self.ends

    def place_of_entry(self, number):
        """Return the number of an entry's node, and its data centre."""
        return number, f"d{number % DATA_CENTRES}"

    def make_member(self, number):
        centre = f"d{number % DATA_CENTRES}"
        return make_member(number, centre)

    def choose_entry(self):
        """Return the router of the entry that gets the next call."""
        return self.draw.choice(self.routers)

    def answered(self, call, gate, failed, now_ms):
        call.router.ended(gate.node, gate.load(now_ms), now_ms)
        call.router.answered(gate.node, not failed, now_ms)
        in_time = now_ms - call.started_ms <= TARGET_MS
        self.ends["failed" if failed else "in time" if in_time else "late"] += 1

    def refused(self, call, gate, reason, now_ms):
        call.router.ended(gate.node, gate.load(now_ms), now_ms)
        call.router.refused(gate.node, reason, now_ms)
        if reason is RefusalReason.BUSY:
            call.busy.add(gate.node)
            self.moves += 1
        self.at(now_ms + HOP_MS, self._place, call)

    def give_up(self, call, now_ms):
        self.ends["refused"] += 1

    def has_no_room(self, call, node, now_ms):
        return False

    def _arrive(self, calls_per_s, now_ms):
        work_ms = self.draw.lognormvariate(0.0, 0.3) * WORK_MS
        router = self.choose_entry()
        self._place(ModelCall(next(self.numbers), router, now_ms, work_ms), now_ms)
        delay_ms = self.draw.expovariate(calls_per_s / 1_000.0)
        self.at(now_ms + delay_ms, self._arrive, calls_per_s)

    def _place(self, call, now_ms):
        may_move = len(call.busy) < MOVE_LIMIT
        avoided = call.tried - call.busy
        picked = None
        if call.attempts - len(call.busy) < DISPATCH_LIMIT:
            picked = call.router.pick("s", "", avoided, now_ms, self.profile)
        if picked is None:
            self.give_up(call, now_ms)
            return
        if self.has_no_room(call, picked.node, now_ms):
            return
        call.attempts += 1
        call.tried.add(picked.node)
        call.immediate = (
            may_move
            and picked.node not in call.busy
            and call.router.has_free_slot(picked.node)
        )
        call.router.started(picked.node, now_ms)
        self.at(now_ms + HOP_MS, self.offer, call, self.gates[picked.node])

    def offer(self, call, gate, now_ms):
        """Hand a call to a gate."""
        gate.offer(call, now_ms)

    def report(self, gate, router, load, now_ms):
        """Deliver a load report to an entry."""
        self.reports += 1
        router.observe(gate.node, load, now_ms)

    def _poll(self, gate, now_ms):
        gate.poll(now_ms)
        self.at(now_ms + POLL_INTERVAL_MS, self._poll, gate)

    def _tick(self, gate, now_ms):
        gate.apply(gate.admission.tick(now_ms), now_ms)
        self.at(now_ms + TICK_INTERVAL_MS, self._tick, gate)


def make_member(number, centre):
    return Member(
        f"n{number}", f"u{number}", "s", "v", centre, "127.0.0.1", number, SLOTS, 100
    )


def make_router(members, number, centre):
    settings = EntrySettings(policy="soonest-answer")
    router = Router(settings, centre, Random(number), f"n{number}")
    router.configure(Configuration(1, services={"s": ServiceRule("s", DEADLINE_MS)}))
    router.set_members(members, 0.0)
    return router
