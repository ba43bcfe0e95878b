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
"""A smaller change of the share of failed or declined requests may be chance."""

LINK_USE_STEP = 0.3
"""A smaller change of the use of the link changes the time of an answer little."""

SLOT_REPORTS_PER_S = 100.0
"""Reports a second, to all entries together, of whether a slot is free.

An upstream with few slots fills up and empties with each call, far more often than its
slowness changes. In a small deployment these reports cost little. In a large one they
would cost more than the calls; entries learn it from refused immediate calls instead.
"""

SLOT_REPORTS_BURST = 30.0
"""Reports that a gate may save up, so that a small deployment gets them at once."""


class LoadChangeFilter:
    """Compares each load with the one that was pushed last.

    Every push is paid from a token bucket, as it tells of free slots too. Only a change
    of nothing but free slots waits for the tokens.
    """

    def __init__(self):
        self._pushed: LoadReport | None = None
        self._tokens = SLOT_REPORTS_BURST
        self._filled_at_ms = 0.0

    def should_push(self, load: LoadReport, now_ms: float, entries: int) -> bool:
        """Return whether to push a load; if so, record it as pushed.

        ``entries`` is the number of those that would get it.
        """
        self._fill(now_ms)
        if not self._is_urgent(load):
            if not self._has_other_slots(load):
                return False
            if self.postponed_ms(load, now_ms, entries) > 0.0:
                return False
        self._tokens = max(0.0, self._tokens) - entries
        self._pushed = load
        return True

    def postponed_ms(self, load: LoadReport, now_ms: float, entries: int) -> float:
        """Return the time until a change of free slots may be pushed, 0 for none."""
        if not self._has_other_slots(load):
            return 0.0
        self._fill(now_ms)
        missing = min(float(entries), SLOT_REPORTS_BURST) - self._tokens
        return max(0.0, missing / SLOT_REPORTS_PER_S * MS_PER_S)

    def _is_urgent(self, load: LoadReport) -> bool:
        return self._pushed is None or _differs(self._pushed, load)

    def _has_other_slots(self, load: LoadReport) -> bool:
        pushed = self._pushed
        return pushed is not None and pushed.has_free_slot() != load.has_free_slot()

    def _fill(self, now_ms: float) -> None:
        refill = (now_ms - self._filled_at_ms) / MS_PER_S * SLOT_REPORTS_PER_S
        self._tokens = min(SLOT_REPORTS_BURST, self._tokens + refill)
        self._filled_at_ms = now_ms


def _differs(pushed: LoadReport, load: LoadReport) -> bool:
    if (pushed.boot, pushed.leaving) != (load.boot, load.leaving):
        return True
    if (pushed.cold_share < 1.0) != (load.cold_share < 1.0):
        return True
    if abs(pushed.failure_share - load.failure_share) >= FAILURE_STEP:
        return True
    if abs(pushed.link_use - load.link_use) >= LINK_USE_STEP:
        return True
    if abs(pushed.shed_share - load.shed_share) >= FAILURE_STEP:
        return True
    ratio = load.slowness / pushed.slowness
    return ratio >= SLOWNESS_STEP or ratio <= 1.0 / SLOWNESS_STEP
