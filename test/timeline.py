"""Simulated time for plays of a load."""

import heapq
import itertools


class Timeline:
    """Runs actions in the order of their times; also a `Clock`."""

    def __init__(self):
        self.time_ms = 0.0
        self.numbers = itertools.count(1)
        self._events = []

    def now_ms(self):
        return self.time_ms

    def after(self, delay_ms, action, *arguments):
        event = (self.time_ms + delay_ms, next(self.numbers), action, arguments)
        heapq.heappush(self._events, event)

    def add_arrivals(self, draw, rate_per_s, until_ms, action, *arguments):
        at_ms = 0.0
        while (at_ms := at_ms + draw.expovariate(rate_per_s / 1e3)) < until_ms:
            self.after(at_ms, action, *arguments)

    def run(self, until_ms):
        while self._events and self._events[0][0] < until_ms:
            self.time_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
