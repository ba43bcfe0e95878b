"""Measures which share of an upstream's requests fails, over the last few.

It answers upstreams whose health check is good while some requests fail. An entry of a
large fleet calls each upstream too seldom to notice. The gate sees all requests, and
its load reports carry the share to the entries.

Does no I/O and reads no clock.
"""

from cicadawheel.gate.decision import Result

SAMPLE_WEIGHT = 0.1
"""Weight of a new result in the moving average, about ten results."""

HALF_LIFE_MS = 2_000.0
"""The share fades, as an upstream that is avoided gives no new results."""

OVERDUE_FACTOR = 4.0
"""A request that is cancelled after this many times its usual time has failed."""

FAILED = frozenset((Result.FAILED, Result.DIED))


class FailureShare:
    """The moving average of the failures of one upstream."""

    def __init__(self):
        self._share = 0.0
        self._at_ms = 0.0

    def add(self, failed: bool, now_ms: float) -> None:
        """Record how one request ended."""
        share = self.value(now_ms)
        self._share = share + SAMPLE_WEIGHT * (float(failed) - share)
        self._at_ms = now_ms

    def value(self, now_ms: float) -> float:
        """Return the present share, between 0 and 1."""
        return self._share * 0.5 ** ((now_ms - self._at_ms) / HALF_LIFE_MS)


def is_failure(
    result: Result, took_ms: float, usual_ms: float, had_free_slot: bool
) -> bool | None:
    """Return whether the upstream failed a request, None if that can't be told.

    Parameters
    ----------
    result : Result
        How the request ended.
    took_ms, usual_ms : float
        The time from its admission to its end, and its usual work time at the present
        slowness.
    had_free_slot : bool
        Whether the upstream had room beside this request.
    """
    if result is Result.ANSWERED:
        return False
    if result in FAILED:
        return True
    if result is Result.SHED:
        return True if had_free_slot else None
    if result is Result.CANCELLED and took_ms > OVERDUE_FACTOR * usual_ms:
        return True
    return None
