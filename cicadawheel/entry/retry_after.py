"""The Retry-After time for a request that was not run.

It is for brief overload, as in bursts and while all upstreams are cold. Callers that
are given no time retry at once, and callers that are all given the same time cause the
next burst, so the time is randomised.
"""

from random import Random

from cicadawheel.messages import RefusalReason

JITTER_RANGE = (0.7, 1.3)
"""The range of the random factor by which the expected wait is multiplied."""

MIN_DELAY_MS = 100.0
"""An earlier retry would meet the same queue."""

MAX_DELAY_MS = 1_000.0
"""Expected waits beyond a second change before they have passed."""

STARTUP_DELAY_MS = 300.0
"""A node that has just started serves calls after about this time."""

USELESS_RETRY_REASONS = frozenset((RefusalReason.QUARANTINED, RefusalReason.DEADLINE))
"""Reasons for which a retry is useless."""


def retry_after_ms(reason: RefusalReason, wait_ms: float, random: Random) -> float:
    """Return the delay after which to retry a refused request, 0 for no retry.

    ``wait_ms`` is the expected wait of one more call at the best upstream.
    """
    if reason in USELESS_RETRY_REASONS:
        return 0.0
    expected_ms = STARTUP_DELAY_MS if reason is RefusalReason.NO_VIEW else wait_ms
    within_ms = min(MAX_DELAY_MS, max(MIN_DELAY_MS, expected_ms))
    return within_ms * random.uniform(*JITTER_RANGE)
