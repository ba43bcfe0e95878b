"""Tells for which requests the calls that their runs make are almost surely refused.

It answers an inner service without room: an outer request that needs it runs in vain,
and takes a slot from requests that don't. A node sees the calls and the ends of the
runs of its own upstream, and learns both by kind of request.

Does no I/O and reads no clock.
"""

import msgspec

from cicadawheel.timer import MS_PER_S

ALMOST_ALL = 0.95
"""The share of calls refused, and of runs failed, from which a run is in vain. If a
twentieth of the callers are still served, they are better served than refused."""

SAMPLES_MIN = 10.0
"""With fewer recent calls or runs, requests are sent: they show when room is back."""

SAMPLES_KEPT = 20.0
"""Older ones are forgotten, so that room that is back shows at the first calls."""

HALF_LIFE_S = 2.0
"""The half-life of the counts; no run is tried for about this long at most."""


KINDS_KEPT = 32
"""Most kinds that are kept, as callers choose the paths that tell them apart."""


class _Share(msgspec.Struct):
    count: float = 0.0
    bad: float = 0.0
    at_ms: float = 0.0

    def add(self, bad: bool, now_ms: float) -> None:
        self.decay(now_ms)
        kept = min(1.0, (SAMPLES_KEPT - 1.0) / max(1.0, self.count))
        self.count = self.count * kept + 1.0
        self.bad = self.bad * kept + float(bad)

    def is_almost_all(self, now_ms: float) -> bool:
        self.decay(now_ms)
        return self.count >= SAMPLES_MIN and self.bad >= ALMOST_ALL * self.count

    def decay(self, now_ms: float) -> None:
        kept = 0.5 ** ((now_ms - self.at_ms) / MS_PER_S / HALF_LIFE_S)
        self.at_ms = now_ms
        self.count *= kept
        self.bad *= kept


class InnerCalls:
    """The calls made by the runs of one upstream, by kind of the run."""

    def __init__(self):
        self._calls: dict[str, _Share] = {}
        self._runs: dict[str, _Share] = {}

    def call_ended(self, kind: str, refused: bool, now_ms: float) -> None:
        """Record how a call ended that a run of this kind made."""
        if kind not in self._calls and len(self._calls) >= KINDS_KEPT:
            oldest = min(self._calls, key=lambda one: self._calls[one].at_ms)
            del self._calls[oldest]
            self._runs.pop(oldest, None)
        self._calls.setdefault(kind, _Share()).add(refused, now_ms)

    def run_ended(self, kind: str, failed: bool, now_ms: float) -> None:
        """Record how a run ended; only kinds whose runs make calls are kept."""
        if kind in self._calls:
            self._runs.setdefault(kind, _Share()).add(failed, now_ms)

    def are_refused(self, kind: str, now_ms: float) -> bool:
        """Return whether another run would almost surely fail for its calls."""
        calls, runs = self._calls.get(kind), self._runs.get(kind)
        if calls is None or runs is None:
            return False
        return calls.is_almost_all(now_ms) and runs.is_almost_all(now_ms)
