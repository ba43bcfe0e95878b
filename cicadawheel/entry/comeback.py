"""When a caller whose request wasn't run had better come back.

The load that this answers: more calls than the upstreams bear for a moment, as in
bursts and while all are cold. Callers who are told the same time come back as the next
burst; callers who are told nothing come back at once.
"""

from random import Random

from cicadawheel.messages import RefusalReason

SPREAD = (0.7, 1.3)
"""The parts of the expected wait among which callers are spread."""

LEAST_MS = 100.0
"""An earlier return meets the same queue."""

MOST_MS = 1_000.0
"""What is expected beyond a second changes before."""

START_MS = 300.0
"""A node that has just started is in force within about this time."""

NO_RETURN = frozenset((RefusalReason.QUARANTINED, RefusalReason.DEADLINE))
"""Reasons for which coming back helps nobody."""


def come_back_ms(reason: RefusalReason, wait_ms: float, random: Random) -> float:
    """Return after how long a refused request may be worth sending again, 0 for never.

    ``wait_ms`` is how long one more call would wait at the best upstream.
    """
    if reason in NO_RETURN:
        return 0.0
    expected_ms = START_MS if reason is RefusalReason.NO_VIEW else wait_ms
    within_ms = min(MOST_MS, max(LEAST_MS, expected_ms))
    return within_ms * random.uniform(*SPREAD)
