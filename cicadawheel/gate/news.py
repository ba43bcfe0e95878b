"""Decides when a gate pushes its load to the entries.

The slowness of an upstream changes within fractions of a second. With the loads of
replies and probes only, entries would place calls on outdated reports; a push on every
change would cost more than it gains.
"""

from cicadawheel.messages import LoadReport

SLOWNESS_STEP = 1.4
"""A smaller change of the slowness is within the spread of calls and moves none."""


class LoadChangeFilter:
    """Compares each load with the one that was pushed last."""

    def __init__(self):
        self._pushed: LoadReport | None = None

    def should_push(self, load: LoadReport) -> bool:
        """Return whether to push a load; if so, record it as pushed."""
        pushed = self._pushed
        if pushed is not None and not _differs(pushed, load):
            return False
        self._pushed = load
        return True


def _differs(pushed: LoadReport, load: LoadReport) -> bool:
    if (pushed.boot, pushed.leaving) != (load.boot, load.leaving):
        return True
    if (pushed.cold_share < 1.0) != (load.cold_share < 1.0):
        return True
    if _is_full(pushed) != _is_full(load):
        return True
    ratio = load.slowness / pushed.slowness
    return ratio >= SLOWNESS_STEP or ratio <= 1.0 / SLOWNESS_STEP


def _is_full(load: LoadReport) -> bool:
    return load.in_flight + load.queued >= load.limit
