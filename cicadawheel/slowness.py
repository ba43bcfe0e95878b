"""How long work takes on a machine that it shares with others.

The load that this answers: machines that are several times slower for spells of about
half a second, and their usual selves again before long.
"""

SPELL_MS = 400.0
"""How long a machine that is slow now is expected to stay so."""


def remaining_ms(work_ms: float, slowness: float) -> float:
    """Return how long work is expected to take on a machine of a slowness.

    A slow machine does some of the work slowly, and is its usual self again before
    long.
    """
    if slowness <= 1.0:
        return work_ms
    return min(work_ms * slowness, work_ms + SPELL_MS * (1.0 - 1.0 / slowness))
