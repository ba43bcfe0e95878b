"""The stages of a release, and their lengths given the deadline.

The length of a stage is computed from the remaining time, so that a new leader
plans the rest of a release in the same way as its predecessor.
"""

import msgspec

from cicadawheel.configuration import (
    ACTIVE_STATES,
    ReleaseHabits,
    ReleaseRule,
    ReleaseState,
)

FIRST_SHARE_DIVISOR = 5
RISING_SHARES = (0.1, 0.2, 0.4, 0.7)
REOPENED_SHARE = 0.2
FIRST_WEIGHT = 1.0
PROOF_WEIGHT = 3.0
RISING_WEIGHT = 1.0
MARGIN_WEIGHT = 1.0
SHARE_TOLERANCE = 1e-9
STAGE_CHANGE_MS = 3_000.0
MONITORING_MS = 86_400_000
ENDED_STATES = (ReleaseState.TAKEN_BACK, ReleaseState.STOPPED)


class Stage(msgspec.Struct, frozen=True):
    """A share of calls that the new version gets for a time."""

    state: ReleaseState
    share: float
    weight: float


def make_stages(habits: ReleaseHabits) -> tuple[Stage, ...]:
    """Return the stages of a release before it is done.

    The first stage has a fraction of the proof limit, spread evenly. The second, the
    proof stage, has the limit itself, in bursts to one upstream. The share rises in
    the stages after it. If the first share is not below the limit, the proof stage
    comes first.
    """
    limit = habits.proof_share_limit
    first = habits.first_share or limit / FIRST_SHARE_DIVISOR
    rising = (
        Stage(ReleaseState.RISING, share, RISING_WEIGHT)
        for share in RISING_SHARES
        if share > limit + SHARE_TOLERANCE
    )
    proof = Stage(ReleaseState.STAGED, limit, PROOF_WEIGHT)
    if first >= limit - SHARE_TOLERANCE:
        return (proof, *rising)
    return (Stage(ReleaseState.STAGED, first, FIRST_WEIGHT), proof, *rising)


def stage_index(stages: tuple[Stage, ...], share: float) -> int:
    """Return the index of the stage with a share, -1 before the first."""
    found = -1
    for index, stage in enumerate(stages):
        if stage.share <= share + SHARE_TOLERANCE:
            found = index
    return found


def stage_ms(
    stages: tuple[Stage, ...], index: int, left_ms: float, habits: ReleaseHabits
) -> float:
    """Return the length of a stage from the time left at its start.

    At least the time of one stage change is kept free before the deadline. A short
    deadline doesn't shorten a stage below the configured minimum.
    """
    weights = [stage.weight for stage in stages[index:]]
    total = sum(weights)
    margin_ms = max(left_ms * MARGIN_WEIGHT / (total + MARGIN_WEIGHT), STAGE_CHANGE_MS)
    fraction = weights[0] / total
    return max(habits.stage_min_ms, (left_ms - margin_ms) * fraction)


def slack_ms(
    stages: tuple[Stage, ...], index: int, left_ms: float, habits: ReleaseHabits
) -> float:
    """Return the time left beyond the minimum that the later stages need."""
    later = len(stages) - index - 1
    needed_ms = later * (habits.stage_min_ms + STAGE_CHANGE_MS) + STAGE_CHANGE_MS
    return left_ms - needed_ms


def min_duration_ms(habits: ReleaseHabits) -> float:
    """Return the shortest time in which a release can be done."""
    return len(make_stages(habits)) * (habits.stage_min_ms + STAGE_CHANGE_MS)


def deadline_warning(release: ReleaseRule, habits: ReleaseHabits) -> str:
    """Return a warning for the operator if the deadline is too short, or ""."""
    given_ms = release.deadline_at_ms - release.started_at_ms
    needed_ms = min_duration_ms(habits)
    if given_ms >= needed_ms:
        return ""
    return (
        f"the deadline leaves {given_ms / 1_000:.0f} s, the stages need "
        f"{needed_ms / 1_000:.0f} s: the release will be late, because the limit "
        f"of {habits.proof_share_limit:.0%} for an unproved version goes first"
    )


def is_monitored(release: ReleaseRule, now_ms: float) -> bool:
    """Return whether evidence is collected for a release.

    It is while the release is active, and for `MONITORING_MS` after the deadline of a
    release that is done.
    """
    if release.state is ReleaseState.DONE:
        return now_ms < release.deadline_at_ms + MONITORING_MS
    return release.state in ACTIVE_STATES
