"""The simulated upstreams: service times, noise, and faults of the new version."""

import random

from bench.releases.fault import (
    Fault,
    Noise,
    Situation,
    fails,
    is_slow,
)

OLD, NEW = "v1", "v2"
UPSTREAMS = 5
SLOTS = 10
SERVICE_MS = 60.0
SERVICE_TIME_SIGMA = 0.4
BASE_FAILURE_RATIO = 0.002
NOISE_FAILURE_RATIO = 0.2
NOISE_SLOWDOWN = 4.0
VERSION_SLOWDOWN = 3.0
FAILING_NOISE = (Fault.GOOD_FAILING_ALL, Fault.GOOD_FAILING_ONE)
SINGLE_UPSTREAM_NOISE = (Fault.GOOD_NOISY_ONE, Fault.GOOD_FAILING_ONE)
NOISY = (Fault.GOOD_NOISY_ALL, Fault.GOOD_NOISY_ONE, *FAILING_NOISE)


class Upstream:
    """One upstream and its number of calls in flight."""

    def __init__(self, name: str, version: str):
        self.name = name
        self.version = version
        self.in_flight = 0


class Upstreams:
    """The upstreams of both versions, and their disturbances.

    Parameters
    ----------
    fault : Fault
        The injected fault.
    rng : random.Random
        The random generator of the run.
    late_ms : float
        The time from which late faults are in effect.
    noise : list of Noise
        The periods in which VMs are disturbed.
    """

    def __init__(
        self, fault: Fault, rng: random.Random, late_ms: float, noise: list[Noise]
    ):
        self.fault = fault
        self.bad_since_ms: float | None = None
        self._rng = rng
        self._late_ms = late_ms
        self._by_version = {
            version: [Upstream(f"{version}-{n}", version) for n in range(UPSTREAMS)]
            for version in (OLD, NEW)
        }
        everyone = [*self._by_version[OLD], *self._by_version[NEW]]
        self._noise = [(period, rng.choice(everyone).name) for period in noise]

    @property
    def names(self) -> dict[str, tuple[str, ...]]:
        """The names of the upstreams by version."""
        return {
            version: tuple(upstream.name for upstream in upstreams)
            for version, upstreams in self._by_version.items()
        }

    def pick(self, version: str, preferred: str | None) -> Upstream:
        """Return the preferred upstream, or the less loaded of two random ones."""
        upstreams = self._by_version[version]
        for upstream in upstreams:
            if upstream.name == preferred:
                return upstream
        two = self._rng.sample(upstreams, 2)
        return min(two, key=lambda upstream: upstream.in_flight)

    def serve(
        self, upstream: Upstream, route: str, now_ms: float
    ) -> tuple[bool, float]:
        """Start a call; return whether it fails, and its latency."""
        upstream.in_flight += 1
        latency_ms = SERVICE_MS * self._rng.lognormvariate(0.0, SERVICE_TIME_SIGMA)
        latency_ms *= max(1.0, upstream.in_flight / SLOTS)
        failed = self._rng.random() < BASE_FAILURE_RATIO
        if self._is_disturbed(upstream, now_ms):
            if self.fault in FAILING_NOISE:
                failed = failed or self._rng.random() < NOISE_FAILURE_RATIO
            else:
                latency_ms *= NOISE_SLOWDOWN
        if upstream.version == OLD:
            return failed, latency_ms
        situation = Situation(route, upstream.in_flight, now_ms > self._late_ms)
        hit = fails(self.fault, situation, self._rng)
        slow = is_slow(self.fault, situation)
        if (hit or slow) and self.bad_since_ms is None:
            self.bad_since_ms = now_ms
        return failed or hit, latency_ms * (VERSION_SLOWDOWN if slow else 1.0)

    def _is_disturbed(self, upstream: Upstream, now_ms: float) -> bool:
        if self.fault not in NOISY:
            return False
        alone = self.fault in SINGLE_UPSTREAM_NOISE
        return any(
            period.start_ms <= now_ms < period.end_ms
            and (not alone or name == upstream.name)
            for period, name in self._noise
        )
