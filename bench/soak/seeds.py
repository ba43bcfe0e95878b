"""Soaks that have failed before, each with its cause."""

import msgspec

from bench.soak.run import SoakPlan


class BrokenSeed(msgspec.Struct, frozen=True):
    """A soak that has failed before, with the cause."""

    plan: SoakPlan
    cause: str


REPLAY_S = 8.0
"""Duration of most soaks in CI. The failures occurred in 20 s runs under other load."""

BROKEN_SEEDS = (
    BrokenSeed(
        SoakPlan(100, duration_s=REPLAY_S),
        "replica log reported corrupt: the soak tore blocks that no real disk tears",
    ),
    BrokenSeed(
        SoakPlan(109, duration_s=REPLAY_S),
        "no leader elected for 15 s: disk syncs exceeded the election timeout",
    ),
    BrokenSeed(
        SoakPlan(114, duration_s=REPLAY_S),
        "no leader elected for 15 s: disk syncs exceeded the election timeout",
    ),
    BrokenSeed(
        SoakPlan(953, long_faults=True),
        "calls in an evacuated data centre: nodes stayed where a disk had stalled",
    ),
    BrokenSeed(
        SoakPlan(2001, silent_faults=True),
        "no leader for good: replicas kept sending on connections that were silent",
    ),
)
