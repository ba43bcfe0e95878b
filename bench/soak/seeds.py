"""Soaks that have broken a promise, each with its cause."""

import msgspec

from bench.soak.run import SoakPlan


class BrokenSeed(msgspec.Struct, frozen=True):
    """A soak that failed once, and why."""

    plan: SoakPlan
    cause: str


REPLAY_S = 8.0
"""How long CI plays each; they failed in runs of 20 s beside other load."""

BROKEN_SEEDS = (
    BrokenSeed(
        SoakPlan(100, duration_s=REPLAY_S),
        "a replica took its log for corrupt: the soak tore blocks that no disk tears",
    ),
    BrokenSeed(
        SoakPlan(109, duration_s=REPLAY_S),
        "no leader for 15 s: syncs took longer than the election timeout",
    ),
    BrokenSeed(
        SoakPlan(114, duration_s=REPLAY_S),
        "no leader for 15 s: syncs took longer than the election timeout",
    ),
)
