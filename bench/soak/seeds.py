"""Soaks that have broken a promise, each with its cause."""

import msgspec

from bench.soak.run import SoakPlan


class BrokenSeed(msgspec.Struct, frozen=True):
    """A soak that failed once, and why."""

    plan: SoakPlan
    cause: str


BROKEN_SEEDS: tuple[BrokenSeed, ...] = ()
