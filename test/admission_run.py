"""Runs an admission control with model upstreams in simulated time."""

import heapq
from random import Random

from bench.behaviour import Behaviour, ColdStart, ServiceTime
from cicadawheel.gate.admission import Admission
from cicadawheel.gate.decision import Result, Verdict
from cicadawheel.settings import GateSettings

FAR_MS = 1e12
SLOTS = 10


class ModelUpstream:
    """Sustains few requests while cold; fails and slows down under more."""

    def __init__(self, slots=SLOTS, service_ms=5.0, cold_start_at_ms=0.0):
        self.slots = slots
        self.service_ms = service_ms
        self.cold_at_ms = cold_start_at_ms
        self.failed_until_ms = -1.0
        self.failures = []
        self.in_flight = 0

    def capacity(self, now_ms):
        warm = (now_ms - self.cold_at_ms) / 3_000.0
        return 2 + (self.slots - 2) * warm if warm < 1.0 else self.slots

    def start(self, now_ms):
        """Start a request and return its service time."""
        self.in_flight += 1
        if now_ms >= self.failed_until_ms and self.in_flight > self.capacity(now_ms):
            self.failures.append(now_ms)
            self.failed_until_ms = now_ms + 1_000.0
            self.cold_at_ms = self.failed_until_ms
        slow = 10.0 if now_ms < self.failed_until_ms else 1.0
        return self.service_ms * slow

    def end(self, now_ms):
        """End a request."""
        self.in_flight -= 1


class Run:
    """Sends requests through an admission control to a model upstream."""

    def __init__(self, upstream, settings=None):
        self.upstream = upstream
        self.admission = Admission(settings or GateSettings())
        self.now_ms = 0.0
        self.ticket = 0
        self.events = []
        self.admitted_at = []
        self.refused = []
        self.random = Random(7)

    def apply_decisions(self, decisions):
        for decision in decisions:
            if decision.verdict is Verdict.ADMIT:
                self.admitted_at.append(self.now_ms)
                self.admission.sent(decision.ticket, self.now_ms)
                ends_ms = self.now_ms + self.upstream.start(self.now_ms)
                heapq.heappush(self.events, (ends_ms, decision.ticket))
            elif decision.verdict is Verdict.REFUSE:
                self.refused.append(decision.reason)

    def run(self, until_ms, rate_per_ms):
        """Offer requests with exponential gaps until a time."""
        next_ms = self.now_ms
        tick_ms = self.now_ms
        while self.now_ms < until_ms:
            ends_ms = self.events[0][0] if self.events else FAR_MS
            self.now_ms = min(next_ms, tick_ms, ends_ms)
            if self.now_ms == ends_ms:
                _, ticket = heapq.heappop(self.events)
                self.upstream.end(self.now_ms)
                self.apply_decisions(
                    self.admission.finish(ticket, Result.ANSWERED, self.now_ms)
                )
            elif self.now_ms == next_ms:
                self.ticket += 1
                latest_ms = self.now_ms + 1_000.0
                self.apply_decisions(
                    [self.admission.offer(self.ticket, latest_ms, self.now_ms)]
                )
                next_ms += self.random.expovariate(rate_per_ms)
            else:
                self.admission.check_late(self.now_ms)
                self.apply_decisions(self.admission.tick(self.now_ms))
                tick_ms += 5.0


class SlowingUpstream:
    """The cold start of the benchmark's upstream: slow, and failing on overload.

    ``disturb`` maps a time and a service time to the service time with noise.
    """

    def __init__(self, service_ms, seed, sigma=0.2, disturb=None):
        self.behaviour = Behaviour(service_time_ms=service_ms, service_sigma=sigma)
        self.cold = ColdStart(SLOTS, 0.0)
        self.failures = []
        self.in_flight = 0
        self._service_time = ServiceTime(Random(seed))
        self.disturb = disturb

    def start(self, now_ms):
        """Start a request and return its service time."""
        self._change(1, now_ms)
        service_ms = self._service_time.draw_ms(self.behaviour)
        service_ms *= self.cold.slow_factor(self.behaviour, now_ms)
        return self.disturb(now_ms, service_ms) if self.disturb else service_ms

    def end(self, now_ms):
        """End a request."""
        self._change(-1, now_ms)

    def _change(self, change, now_ms):
        self.in_flight += change
        if self.cold.note(self.behaviour, self.in_flight, now_ms):
            self.failures.append(now_ms)
