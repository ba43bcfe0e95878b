"""Model of a simulated upstream: service time, cold start, faults and reports.

The current time and the seeded random generator are passed in, so that runs are
deterministic.
"""

import math
import random
from collections import deque
from enum import Enum

import msgspec


class Fault(Enum):
    """The effect of a faulty version on a request."""

    NONE = "none"
    FAIL = "fail"
    SLOW = "slow"


class Report(Enum):
    """How the reported load and health relate to the actual ones."""

    TRUE = "true"
    IDLE = "idle"
    FROZEN = "frozen"
    RANDOM = "random"
    FAILING = "failing"


class BadVersion(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault of a version, and the conditions under which it occurs.

    All conditions must hold: a minimum process age, a minimum number of requests in
    flight, and a path prefix. ``share`` is the probability that a matching request
    is affected.
    """

    fault: Fault = Fault.NONE
    after_ms: float = 0.0
    at_in_flight: int = 0
    path_prefix: str = ""
    share: float = 1.0
    slow_factor: float = 10.0


class Noise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A periodic disturbance of a VM, scheduled by Unix time.

    Upstreams with the same ``offset_ms`` are disturbed at the same time. An
    ``every_ms`` of 0 disables the disturbance.
    """

    every_ms: float = 0.0
    lasts_ms: float = 0.0
    offset_ms: float = 0.0
    slow_factor: float = 1.0
    fail_share: float = 0.0

    def is_on(self, unix_ms: float) -> bool:
        """Return whether the VM is disturbed at a Unix time."""
        if not self.every_ms:
            return False
        return (unix_ms - self.offset_ms) % self.every_ms < self.lasts_ms


class Behaviour(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The parameters that can be changed while a simulated upstream runs.

    ``service_sigma`` is the sigma of a lognormal service time whose median is
    ``service_time_ms``; 0 makes it constant. Up to ``shed_waiting`` requests wait for
    a slot, and further ones are shed as not run; 0 disables shedding. A cold upstream
    is slower by ``cold_slow_factor``. It fails by overload if its requests in flight
    exceed its current capacity for ``patience_ms``. A ``cold_concurrency`` of 0
    disables the cold start.
    """

    service_time_ms: float = 5.0
    service_sigma: float = 0.0
    slow_factor: float = 1.0
    cold_concurrency: int = 2
    warm_up_ms: float = 3_000.0
    cold_slow_factor: float = 2.0
    patience_ms: float = 250.0
    fallen_ms: float = 1_000.0
    fallen_slow_factor: float = 10.0
    shed_waiting: int = 0
    report: Report = Report.TRUE
    report_lag_ms: float = 0.0
    bad: BadVersion = BadVersion()
    noise: Noise = Noise()


class ServiceTime:
    """Draws service times.

    Parameters
    ----------
    rng : random.Random
        The seeded generator.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def draw_ms(self, behaviour: Behaviour) -> float:
        """Return the service time of one request."""
        median_ms = behaviour.service_time_ms * behaviour.slow_factor
        if not behaviour.service_sigma or not median_ms:
            return median_ms
        return self._rng.lognormvariate(math.log(median_ms), behaviour.service_sigma)


class ColdStart:
    """The capacity of an upstream during warm-up, and its failure by overload.

    Parameters
    ----------
    slots : int
        The number of concurrent requests that a warm upstream supports.
    now_ms : float
        The time at which the cold start begins.
    """

    def __init__(self, slots: int, now_ms: float):
        self.slots = slots
        self.overloads = 0
        self._cold_at_ms = now_ms
        self._fallen_until_ms = now_ms
        self._overloaded_since_ms: float | None = None

    def restart(self, now_ms: float) -> None:
        """Restart the cold start."""
        self._cold_at_ms = now_ms

    def capacity(self, behaviour: Behaviour, now_ms: float) -> float:
        """Return how many concurrent requests are supported now."""
        cold = behaviour.cold_concurrency
        if not cold or not behaviour.warm_up_ms:
            return math.inf
        warm = (now_ms - self._cold_at_ms) / behaviour.warm_up_ms
        if warm >= 1.0:
            return math.inf
        return cold + (self.slots - cold) * warm

    def is_cold(self, behaviour: Behaviour, now_ms: float) -> bool:
        """Return whether the upstream is still warming up."""
        return self.capacity(behaviour, now_ms) != math.inf

    def is_fallen(self, now_ms: float) -> bool:
        """Return whether the upstream is down after an overload."""
        return now_ms < self._fallen_until_ms

    def slow_factor(self, behaviour: Behaviour, now_ms: float) -> float:
        """Return the current multiplier of the service time."""
        if self.is_fallen(now_ms):
            return behaviour.fallen_slow_factor
        return behaviour.cold_slow_factor if self.is_cold(behaviour, now_ms) else 1.0

    def note(self, behaviour: Behaviour, in_flight: int, now_ms: float) -> bool:
        """Record the requests in flight; return whether the upstream fails now."""
        capacity = max(1.0, self.capacity(behaviour, now_ms))
        if self.is_fallen(now_ms) or in_flight <= capacity:
            self._overloaded_since_ms = None
            return False
        if self._overloaded_since_ms is None:
            self._overloaded_since_ms = now_ms
        if now_ms - self._overloaded_since_ms < behaviour.patience_ms:
            return False
        self.overloads += 1
        self._overloaded_since_ms = None
        self._fallen_until_ms = now_ms + behaviour.fallen_ms
        self._cold_at_ms = self._fallen_until_ms
        return True


class LoadHistory:
    """Keeps recent load samples, so that reports can lag."""

    KEPT = 4_096

    def __init__(self):
        self._seen: deque[tuple[float, int]] = deque(maxlen=self.KEPT)
        self._frozen: int | None = None

    def note(self, in_flight: int, now_ms: float) -> None:
        """Record the load at a time."""
        self._seen.append((now_ms, in_flight))

    def report(self, behaviour: Behaviour, rng: random.Random, now_ms: float) -> int:
        """Return the load to report at a time."""
        lagging = self._at(now_ms - behaviour.report_lag_ms)
        if behaviour.report is not Report.FROZEN:
            self._frozen = None
        if behaviour.report is Report.IDLE:
            return 0
        if behaviour.report is Report.RANDOM:
            return rng.randrange(20)
        if behaviour.report is Report.FROZEN:
            self._frozen = lagging if self._frozen is None else self._frozen
            return self._frozen
        return lagging

    def _at(self, at_ms: float) -> int:
        for seen_ms, in_flight in reversed(self._seen):
            if seen_ms <= at_ms:
                return in_flight
        return 0


def fault_of(
    bad: BadVersion, path: str, in_flight: int, age_ms: float, rng: random.Random
) -> Fault:
    """Return the fault of a version that applies to one request."""
    if bad.fault is Fault.NONE or age_ms < bad.after_ms:
        return Fault.NONE
    if in_flight < bad.at_in_flight or not path.startswith(bad.path_prefix):
        return Fault.NONE
    if bad.share < 1.0 and rng.random() >= bad.share:
        return Fault.NONE
    return bad.fault
