"""Estimates how long work takes on a VM that is temporarily slow.

VMs on shared hosts run several times slower for periods of about half a second, and
then return to their usual speed.
"""

SLOW_PERIOD_MS = 400.0
"""The expected remaining length of a slow period."""


def remaining_ms(work_ms: float, slowness: float) -> float:
    """Return the expected duration of work on a VM with the given slowness.

    Only the part of the work that falls into the slow period is slowed down.
    """
    if slowness <= 1.0:
        return work_ms
    return min(work_ms * slowness, work_ms + SLOW_PERIOD_MS * (1.0 - 1.0 / slowness))
