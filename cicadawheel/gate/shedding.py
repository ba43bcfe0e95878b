"""Measures which share of its requests an upstream declines to run, and tells why.

It answers upstreams that decline requests at any load, for seconds and many at once,
and upstreams that decline or reset what they get while they are full. The former is a
fault, and its share tells the entries whether another try is worth its repeat. The
latter is the load, for which an upstream must not be avoided as faulty: it still runs
requests that its gate has given up.

Does no I/O and reads no clock.
"""

from cicadawheel.announcement import UpstreamLoad
from cicadawheel.gate.decision import Result
from cicadawheel.gate.failures import FailureShare

TOLD_VALID_MS = 250.0
"""An upstream's own report says nothing about its load after this time. Its queue may
have been worked off since."""


class Shedding:
    """The requests that one upstream has declined to run."""

    def __init__(self):
        self._share = FailureShare()
        self._told: UpstreamLoad | None = None
        self._told_at_ms = 0.0

    def load_told(self, load: UpstreamLoad, now_ms: float) -> None:
        """Record the load as the upstream reports it."""
        self._told, self._told_at_ms = load, now_ms

    def is_full(self, now_ms: float) -> bool:
        """Return whether the upstream has more requests than slots.

        Its gate never sends it more than that, but some that the gate has given up may
        still run.
        """
        told = self._told
        if told is None or now_ms - self._told_at_ms > TOLD_VALID_MS:
            return False
        return 0 < told.slots < told.in_flight + told.queued

    def ended(self, result: Result, now_ms: float) -> None:
        """Record how a request ended that was sent to the upstream."""
        if result in (Result.SHED, Result.ANSWERED):
            self._share.add(result is Result.SHED, now_ms)

    def share(self, now_ms: float) -> float:
        """Return the present share of declined requests, between 0 and 1."""
        return self._share.value(now_ms)
