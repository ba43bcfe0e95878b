"""Faults of a new version, and disturbances of the VMs that run it."""

import random
from collections.abc import Iterator
from enum import Enum

import msgspec

from cicadawheel.configuration import ReleaseState

ROUTES = {"search": 0.7, "book": 0.25, "upload": 0.05}
FAILING_ROUTE = "upload"
SLOW_ROUTE = "book"
LOADED_IN_FLIGHT = 3
FAILURE_RATIO = 0.2
LATE_FAILURE_RATIO = 0.5
DEADLINE_MS = 180_000
NOISE_EVERY_MS = 15_000.0
NOISE_MS = (200.0, 4_000.0)


class Fault(Enum):
    """The fault that one run of the model injects."""

    GOOD = "good"
    GOOD_NOISY_ALL = "good, noise on all machines"
    GOOD_NOISY_ONE = "good, noise on one machine at a time"
    GOOD_FAILING_ALL = "good, all machines fail now and then"
    GOOD_FAILING_ONE = "good, one machine fails now and then"
    GOOD_QUIET = "good, few calls"
    FAILS = "fails at once"
    FAILS_FULLY = "fails every call"
    FAILS_LATER = "fails later"
    FAILS_WHEN_DONE = "fails when done"
    FAILS_LOADED = "fails only under load"
    FAILS_ROUTE = "fails on one route"
    SLOW = "slow at once"
    SLOW_LATER = "slow later"
    SLOW_LOADED = "slow only under load"
    SLOW_ROUTE = "slow on one route"

    @property
    def is_good(self) -> bool:
        """Whether the new version itself has no fault."""
        return self.value.startswith("good")


class Situation(msgspec.Struct, frozen=True):
    """The conditions under which the new version serves a call."""

    route: str
    in_flight: int
    is_late: bool


class Noise(msgspec.Struct, frozen=True):
    """A period in which VMs are disturbed."""

    start_ms: float
    end_ms: float


class ReleaseOutcome(msgspec.Struct):
    """The outcome of one release. Times are relative to its start."""

    fault: Fault
    seed: int
    state: ReleaseState
    ended_after_ms: float
    done_after_ms: float
    reopened: int
    bad_since_ms: float | None
    bad_share: float
    bad_share_1s: float
    new_share_proof: float
    evidence_bytes_per_s: float
    reason: str
    events: list[str]

    @property
    def is_right(self) -> bool:
        """Whether a good version completed in time, or a bad one was taken back."""
        if self.fault.is_good:
            in_time = 0 < self.done_after_ms <= DEADLINE_MS
            return in_time and self.state is not ReleaseState.TAKEN_BACK
        return self.state is ReleaseState.TAKEN_BACK


def fails(fault: Fault, situation: Situation, rng: random.Random) -> bool:
    """Return whether the fault makes a call to the new version fail."""
    loaded = situation.in_flight >= LOADED_IN_FLIGHT
    match fault:
        case Fault.FAILS_FULLY:
            return True
        case Fault.FAILS:
            return rng.random() < FAILURE_RATIO
        case Fault.FAILS_LATER | Fault.FAILS_WHEN_DONE:
            return situation.is_late and rng.random() < LATE_FAILURE_RATIO
        case Fault.FAILS_LOADED:
            return loaded and rng.random() < LATE_FAILURE_RATIO
        case Fault.FAILS_ROUTE:
            return situation.route == FAILING_ROUTE
    return False


def is_slow(fault: Fault, situation: Situation) -> bool:
    """Return whether the fault makes a call to the new version slow."""
    match fault:
        case Fault.SLOW:
            return True
        case Fault.SLOW_LATER:
            return situation.is_late
        case Fault.SLOW_LOADED:
            return situation.in_flight >= LOADED_IN_FLIGHT
        case Fault.SLOW_ROUTE:
            return situation.route == SLOW_ROUTE
    return False


def noise_times(rng: random.Random, start_ms: float, end_ms: float) -> Iterator[Noise]:
    """Generate the disturbances that start between two times."""
    now_ms = start_ms
    while now_ms < end_ms:
        now_ms += rng.expovariate(1 / NOISE_EVERY_MS)
        length_ms = rng.uniform(*NOISE_MS)
        yield Noise(now_ms, now_ms + length_ms)
        now_ms += length_ms
