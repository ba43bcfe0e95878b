"""Decides whether a request that an upstream declined to run is sent to another one.

It answers services whose upstreams all decline a large part of what they get, for
seconds. Each try elsewhere is an independent chance, but all tries share the retry
budget of the service, which doesn't cover one for each declined request. The first ones
would take it, whatever their priority, and none would be left for the next burst.

Does no I/O and reads no clock.
"""

from collections.abc import Iterable

from cicadawheel.entry.candidate import Candidate
from cicadawheel.entry.retry import DISPATCH_LIMIT


def mean_shed_share(
    candidates: Iterable[Candidate], half_life_ms: float, now_ms: float
) -> float:
    """Return the share of requests that the upstreams of a service decline.

    A report counts less the older it is; 0 without reports.
    """
    total, shed = 0.0, 0.0
    for candidate in candidates:
        if candidate.load is not None:
            weight = 0.5 ** ((now_ms - candidate.load_at_ms) / half_life_ms)
            total += weight
            shed += weight * candidate.load.shed_share
    return shed / total if total else 0.0


def covers_tries(
    budget_share: float, shed_share: float, attempts: int, share_up_to: float
) -> bool:
    """Return whether the retry budget covers the tries of a priority and those above.

    Parameters
    ----------
    budget_share : float
        The repeats that the budget allows per request.
    shed_share : float
        The chance that a try is declined.
    attempts : int
        The attempts that a request may have; no more than `DISPATCH_LIMIT` are made.
    share_up_to : float
        The share of the requests with this priority or a higher one.
    """
    if not budget_share:
        # The slack alone is the budget; its gates know what is left of it.
        return True
    retries = min(attempts, DISPATCH_LIMIT) - 1
    tries = sum(shed_share**number for number in range(1, retries + 1))
    return share_up_to * tries <= budget_share
