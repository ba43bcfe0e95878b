"""Measures which share of an upstream's requests fails, over the last few.

It answers upstreams whose health check is good while some requests fail. An entry of a
large fleet calls each upstream too seldom to notice. The gate sees all requests, and
its load reports carry the share to the entries.

Does no I/O and reads no clock.
"""

from cicadawheel.gate.decision import Result
from cicadawheel.messages import LoadReport

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
    result: Result, load: LoadReport, took_ms: float, work_ms: float
) -> bool | None:
    """Return whether the upstream failed a request, None if that can't be told.

    Parameters
    ----------
    result : Result
        How the request ended.
    load : LoadReport
        The load of the upstream, in which the request still counts as in flight.
    took_ms : float
        The time from the request's admission to its end.
    work_ms : float
        Its usual work time, 0 if unknown.
    """
    if result is Result.ANSWERED:
        return False
    if result in FAILED:
        return True
    if result is Result.SHED:
        return True if load.in_flight <= load.limit else None
    usual_ms = (work_ms or load.service_time_ms) * load.slowness
    if result is Result.CANCELLED and took_ms > OVERDUE_FACTOR * usual_ms:
        return True
    return None
