"""Seeded open-loop arrival processes: send times don't depend on answers."""

import random
from collections.abc import Iterator
from typing import Protocol

import msgspec

from cicadawheel.timer import MS_PER_S


class Arrivals(Protocol):
    """Generates the arrival times of a load."""

    def times_ms(self, rng: random.Random, duration_ms: float) -> Iterator[float]:
        """Yield all arrival times, relative to the start of the load."""


class PoissonArrivals(msgspec.Struct, frozen=True):
    """A Poisson process with a constant rate."""

    rate_per_s: float

    def times_ms(self, rng: random.Random, duration_ms: float) -> Iterator[float]:
        """Yield all arrival times, relative to the start of the load."""
        at_ms = 0.0
        while True:
            at_ms += rng.expovariate(self.rate_per_s) * MS_PER_S
            if at_ms >= duration_ms:
                return
            yield at_ms


class ShiftingArrivals(msgspec.Struct, frozen=True):
    """A Poisson process whose rate is redrawn every ``shift_ms``.

    The rate of each period is the mean rate times a random element of ``levels``.
    The levels are normalised so that the mean rate stays ``rate_per_s``.
    """

    rate_per_s: float
    shift_ms: float = 5.0
    levels: tuple[float, ...] = (0.25, 0.5, 1.0, 2.25)

    def times_ms(self, rng: random.Random, duration_ms: float) -> Iterator[float]:
        """Yield all arrival times, relative to the start of the load."""
        mean_level = sum(self.levels) / len(self.levels)
        begin_ms = 0.0
        while begin_ms < duration_ms:
            rate_per_s = self.rate_per_s * rng.choice(self.levels) / mean_level
            length_ms = min(self.shift_ms, duration_ms - begin_ms)
            period = PoissonArrivals(rate_per_s)
            for at_ms in period.times_ms(rng, length_ms):
                yield begin_ms + at_ms
            begin_ms += self.shift_ms
