"""Starts disturbances at random times; several may overlap, one for each place."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from bench.disturbances import Disturbance, run_disturbance
from bench.pacing import unix_ms
from bench.progress import report

CONTROL_PREFIX = "control-"


class SchedulePlan(msgspec.Struct, frozen=True):
    """How often disturbances start, how long they last, and how many may overlap."""

    interval_s: tuple[float, float]
    lasts_s: tuple[float, float]
    at_once: int
    control_at_once: int


class StartedDisturbance(msgspec.Struct):
    """A started disturbance, in Unix time; ``to_ms`` is 0 until it ends."""

    kind: str
    place: str
    from_ms: int
    to_ms: int = 0

    def overlaps(self, from_ms: int, to_ms: int) -> bool:
        """Return whether the disturbance overlaps a period."""
        return self.from_ms < to_ms and (not self.to_ms or self.to_ms > from_ms)


class Scheduler:
    """Runs disturbances on a deployment.

    Parameters
    ----------
    plan : SchedulePlan
        The rate, duration and concurrency of the disturbances.
    draw : callable
        Returns the next disturbance.
    rng : random.Random
        The source of the random intervals and durations.
    """

    def __init__(
        self, plan: SchedulePlan, draw: Callable[[], Disturbance], rng: random.Random
    ):
        self.plan = plan
        self.troubles: list[StartedDisturbance] = []
        self.ended_early = 0
        self._draw = draw
        self._rng = rng
        self._active: dict[str, asyncio.Task] = {}

    @property
    def begun(self) -> int:
        """The number of disturbances started so far."""
        return len(self.troubles)

    async def run(self, duration_s: float) -> None:
        """Start disturbances for ``duration_s``, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + duration_s
        while loop.time() < ends_s:
            self._begin()
            await asyncio.sleep(self._rng.uniform(*self.plan.interval_s))
        await asyncio.gather(*self._active.values())

    def _begin(self) -> None:
        disturbance = self._draw()
        lasts_s = self._rng.uniform(*self.plan.lasts_s)
        if not self._may_begin(disturbance):
            return
        kind = type(disturbance).__name__
        report("disturbed", kind=kind, place=disturbance.place, lasts_s=lasts_s)
        trouble = StartedDisturbance(kind, disturbance.place, unix_ms())
        self.troubles.append(trouble)
        task = asyncio.ensure_future(run_disturbance(disturbance, lasts_s))
        self._active[disturbance.place] = task
        task.add_done_callback(lambda done: self._end(trouble, done))

    def _end(self, trouble: StartedDisturbance, done: asyncio.Task) -> None:
        trouble.to_ms = unix_ms()
        del self._active[trouble.place]
        if not done.cancelled() and done.exception() is None and not done.result():
            self.ended_early += 1

    def _may_begin(self, disturbance: Disturbance) -> bool:
        place = disturbance.place
        if place in self._active or len(self._active) >= self.plan.at_once:
            return False
        control = sum(1 for name in self._active if name.startswith(CONTROL_PREFIX))
        if not place.startswith(CONTROL_PREFIX):
            return True
        return control < self.plan.control_at_once
