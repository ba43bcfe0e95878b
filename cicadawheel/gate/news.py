"""When a gate tells the entries of its load without being asked.

The load that this answers: slowness that comes and goes within a fraction of a
second. Between answers and probes an entry would place calls on what was true long
ago; telling every change of any size would cost more than it is worth.
"""

from cicadawheel.messages import LoadReport

SLOWNESS_STEP = 1.4
"""A change of the slowness by this factor moves calls; less is within their spread."""


class LoadNews:
    """Says whether a load differs from the one that was told last."""

    def __init__(self):
        self._told: LoadReport | None = None

    def is_news(self, load: LoadReport) -> bool:
        """Return whether a load is to be told, and take it for told then."""
        told = self._told
        if told is not None and not _differs(told, load):
            return False
        self._told = load
        return True


def _differs(told: LoadReport, load: LoadReport) -> bool:
    if (told.boot, told.leaving) != (load.boot, load.leaving):
        return True
    if (told.cold_share < 1.0) != (load.cold_share < 1.0):
        return True
    if _is_full(told) != _is_full(load):
        return True
    ratio = load.slowness / told.slowness
    return ratio >= SLOWNESS_STEP or ratio <= 1.0 / SLOWNESS_STEP


def _is_full(load: LoadReport) -> bool:
    return load.in_flight + load.queued >= load.limit
