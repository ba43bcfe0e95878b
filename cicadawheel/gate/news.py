"""Decides when a gate pushes its load to the entries.

The slowness of an upstream changes within fractions of a second. With the loads of
replies and probes only, entries would place calls on outdated reports; a push on every
change would cost more than it gains.
"""

from cicadawheel.messages import LoadReport
from cicadawheel.timer import MS_PER_S

SLOWNESS_STEP = 1.4
"""A smaller change of the slowness is within the spread of calls and moves none."""

FAILURE_STEP = 0.15
"""A smaller change of the share of failures may be chance."""

SLOT_REPORTS_PER_S = 100.0
"""Reports a second, to all entries together, of whether a slot is free.

An upstream with few slots fills up and empties with each call, far more often than its
slowness changes. In a small deployment these reports cost little. In a large one they
would cost more than the calls; entries learn it from refused immediate calls instead.
"""


class LoadChangeFilter:
    """Compares each load with the one that was pushed last."""

    def __init__(self):
        self._pushed: LoadReport | None = None
        self._pushed_at_ms = 0.0

    def should_push(self, load: LoadReport, now_ms: float, entries: int) -> bool:
        """Return whether to push a load; if so, record it as pushed.

        ``entries`` is the number of those that would get it.
        """
        pushed = self._pushed
        if pushed is not None and not _differs(pushed, load):
            if pushed.has_free_slot() == load.has_free_slot():
                return False
            if self.postponed_ms(load, now_ms, entries) > 0.0:
                return False
        self._pushed = load
        self._pushed_at_ms = now_ms
        return True

    def postponed_ms(self, load: LoadReport, now_ms: float, entries: int) -> float:
        """Return the time until a changed free slot may be pushed, 0 for no change."""
        pushed = self._pushed
        if pushed is None or pushed.has_free_slot() == load.has_free_slot():
            return 0.0
        interval_ms = entries / SLOT_REPORTS_PER_S * MS_PER_S
        return max(0.0, self._pushed_at_ms + interval_ms - now_ms)


def _differs(pushed: LoadReport, load: LoadReport) -> bool:
    if (pushed.boot, pushed.leaving) != (load.boot, load.leaving):
        return True
    if (pushed.cold_share < 1.0) != (load.cold_share < 1.0):
        return True
    if abs(pushed.failure_share - load.failure_share) >= FAILURE_STEP:
        return True
    ratio = load.slowness / pushed.slowness
    return ratio >= SLOWNESS_STEP or ratio <= 1.0 / SLOWNESS_STEP
