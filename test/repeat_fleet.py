"""Simulates a fleet of entries and gates without a network, and counts its repeats.

Services call each other in a tree. Nodes join, leave and restart, and the other nodes
learn of it at different times. `excess` checks the budget from the requests and repeats
that reach upstreams.
"""

import heapq
import itertools
from bisect import bisect_right
from random import Random

from cicadawheel.gate.repeat_budget import RepeatBudget

SHARE = 0.2
SLACK = 56.0
WINDOW_MS = 10_000.0
HALF_WINDOW_MS = WINDOW_MS / 2
LONG_AGO_MS = 100_000.0
VIEW_DELAY_MS = 3_000.0
DOWN_MS = 800.0
WORK_MS = 30.0
ATTEMPTS = 3
HANDOVERS = 5


class FleetNode:
    """One node: an entry, and the gate of an upstream of its service."""

    def __init__(self, service, nodes, now_ms):
        self.service = service
        self.up = True
        self.start(nodes, now_ms)

    def start(self, nodes, now_ms):
        self.up = True
        self.budget = RepeatBudget(SHARE, SLACK, WINDOW_MS, now_ms)
        self.update_view(nodes, now_ms)

    def update_view(self, nodes, now_ms):
        gates = sum(node.service == self.service for node in nodes)
        self.budget.share_with(gates, now_ms)


class Call:
    """A call of a caller, or one made while a request runs at an upstream."""

    def __init__(self, service, entry, within):
        self.service = service
        self.entry = entry
        self.within = within
        self.reached = 0


class Fleet:
    """Simulates a load and records the requests and repeats that reach upstreams.

    ``refused`` and ``failed`` are the shares of the runs of each service with that end.
    """

    def __init__(self, seed, calls, nodes_each, refused, failed):
        self.random = Random(seed)
        self.calls = calls
        self.refused = refused
        self.failed = failed
        self.now_ms = 0.0
        self.requests = {service: [] for service in calls}
        self.repeats = {service: [] for service in calls}
        self.asked = 0
        self._events = []
        self._numbers = itertools.count()
        self.nodes = []
        for service in calls:
            for _ in range(nodes_each):
                self.nodes.append(FleetNode(service, [], 0.0))
        for node in self.nodes:
            node.start(self.nodes, -LONG_AGO_MS)

    def schedule(self, delay_ms, action, *values):
        number = next(self._numbers)
        heapq.heappush(self._events, (self.now_ms + delay_ms, number, action, values))

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, values = heapq.heappop(self._events)
            action(*values)

    def load(self, service, calls_per_s, from_ms, until_ms):
        at_ms = from_ms
        while at_ms < until_ms:
            at_ms += self.random.expovariate(calls_per_s) * 1_000.0
            self.schedule(at_ms, self.start_call, service)

    def restart(self, part):
        for node in self.nodes:
            if self.random.random() < part:
                node.up = False
                self.schedule(DOWN_MS, self._start, node)

    def join(self, service):
        node = FleetNode(service, self.nodes, self.now_ms)
        self.nodes.append(node)
        self._propagate_view()

    def leave(self, service):
        gone = [node for node in self.nodes if node.service == service]
        if len(gone) > 1:
            self.nodes.remove(gone[0])
            self._propagate_view()

    def start_call(self, service, entry=None, within=False):
        entry = entry or self._pick(lambda node: node.up)
        if entry is None or not entry.up:
            return
        if not within:
            self.requests[service].append(self.now_ms)
        self._try(Call(service, entry, within))

    def excess(self):
        """Return by how much the worst window of any service exceeds its budget."""
        return max(
            self._excess_of(service, end_ms)
            for service, repeats in self.repeats.items()
            for end_ms in repeats or [0.0]
        )

    def max_use(self, service):
        """Return the largest share of its budget that a service used in any window."""
        return max(
            self._repeats_in(service, at_ms) / self._allowed_in(service, at_ms)
            for at_ms in self.repeats[service]
        )

    def _try(self, call):
        repeat = call.within or call.reached
        gate = self._find_gate(call.service, repeat)
        if gate is None:
            return
        if repeat:
            gate.budget.spend(self.now_ms)
            self.repeats[call.service].append(self.now_ms)
        else:
            gate.budget.request_sent(self.now_ms)
        call.reached += 1
        drawn = self.random.random()
        if drawn < self.refused[call.service]:
            self._try_again(call)
            return
        for service, count, part in self.calls[call.service]:
            for _ in range(count):
                if self.random.random() < part:
                    delay_ms = self.random.random() * WORK_MS
                    self.schedule(
                        delay_ms, self.start_call, service, gate, bool(repeat)
                    )
        if drawn < self.refused[call.service] + self.failed[call.service]:
            self._try_again(call)

    def _find_gate(self, service, repeat):
        tried = set()
        for _ in range(HANDOVERS):
            gate = self._pick(
                lambda node: node.up and node.service == service and node not in tried
            )
            if gate is None or not repeat or gate.budget.reserve(self.now_ms):
                return gate
            tried.add(gate)
        return None

    def _try_again(self, call):
        if call.reached < ATTEMPTS and call.entry.up:
            self.schedule(WORK_MS, self._try, call)

    def _start(self, node):
        if node in self.nodes:
            node.start(self.nodes, self.now_ms)

    def _propagate_view(self):
        seen = list(self.nodes)
        for node in self.nodes:
            delay_ms = self.random.random() * VIEW_DELAY_MS
            self.schedule(delay_ms, self._update_view, node, seen)

    def _update_view(self, node, seen):
        node.update_view(seen, self.now_ms)

    def _pick(self, usable):
        nodes = [node for node in self.nodes if usable(node)]
        return self.random.choice(nodes) if nodes else None

    def _repeats_in(self, service, end_ms):
        return _count(self.repeats[service], end_ms)

    def _allowed_in(self, service, end_ms):
        """Return the repeats allowed in the window that ends at a time."""
        asked = self.requests[service]
        ends_ms = (end_ms, end_ms - HALF_WINDOW_MS, end_ms - WINDOW_MS)
        return SHARE * max(_count(asked, one) for one in ends_ms) + SLACK

    def _excess_of(self, service, end_ms):
        return self._repeats_in(service, end_ms) - self._allowed_in(service, end_ms)


def _count(times_ms, end_ms):
    begin_ms = end_ms - WINDOW_MS
    return bisect_right(times_ms, end_ms) - bisect_right(times_ms, begin_ms)
