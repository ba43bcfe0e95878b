"""Concurrent random failures from a seed, followed by a check of the history."""

import asyncio
import random
from functools import partial

import msgspec

from bench.arrivals import PoissonArrivals
from bench.calls import CallKind
from bench.disturbances import draw_disturbance
from bench.experiment import Experiment, Findings, at_most
from bench.history import OutPeriod, RevisionWatch, check_history
from bench.launcher import Deployment
from bench.load import Load, LoadPlan, run_load
from bench.load_result import LoadResult
from bench.progress import report
from bench.record import RecordKind, count_kind
from bench.scheduler import SchedulePlan, Scheduler
from bench.serving import serve
from bench.standin import CRASH_EXIT_CODE
from bench.topology import KUSHIRO_CALLS, kushiro
from cicadawheel.timer import MS_PER_S

RATE_PER_S = 100.0
CHAOS_S = 80.0
INTERVAL_S = (1.0, 4.0)
LASTS_S = (2.0, 8.0)
AT_ONCE = 3
CONTROL_AT_ONCE = 1
CRASH_AT_S = (20.0, 50.0)
CRASH_ATTEMPTS = 6
AFTER_MS = 5_000.0
ATTEMPTS = 8
PLAN = SchedulePlan(INTERVAL_S, LASTS_S, AT_ONCE, CONTROL_AT_ONCE)


def _plan(deployment: Deployment, name: str, duration_ms: float, seed: int) -> LoadPlan:
    return LoadPlan(
        name=name,
        entries=deployment.entries(),
        kinds=KUSHIRO_CALLS,
        arrivals=PoissonArrivals(RATE_PER_S),
        duration_ms=duration_ms,
        seed=seed,
        attempts=ATTEMPTS,
    )


async def _send_crashes(deployment: Deployment, seed: int) -> LoadResult:
    """Send single requests that crash each upstream they reach, retried when lost."""
    crash = CallKind("crash", "booking", path="/crash", crash=True, deadline_ms=2_000.0)
    result = LoadResult("crash")
    before_s = 0.0
    for number, at_s in enumerate(CRASH_AT_S):
        await asyncio.sleep(at_s - before_s)
        before_s = at_s
        kind = msgspec.structs.replace(crash, path=f"/crash/{number}")
        plan = LoadPlan(
            name=f"crash-{number}",
            entries=deployment.entries(),
            kinds=(kind,),
            arrivals=_Once(),
            duration_ms=1.0,
            seed=seed,
            attempts=CRASH_ATTEMPTS,
        )
        report("crash_request_sent", path=kind.path)
        result.merge(await run_load(plan))
    return result


class _Once(msgspec.Struct, frozen=True):
    """A single arrival at time zero."""

    def times_ms(self, rng: random.Random, duration_ms: float):
        """Yield the time of the only arrival."""
        yield 0.0


async def _restart_crashed(deployment: Deployment) -> None:
    """Restart crashed upstreams until cancelled."""
    while True:
        for place in deployment.nodes:
            if place.upstream.exit_code == CRASH_EXIT_CODE:
                place.upstream.start()
        await asyncio.sleep(0.5)


async def run(seed: int) -> Findings:
    """Inject failures into Kushiro's deployment and check its history."""
    topology = msgspec.structs.replace(kushiro(), seed=seed)
    async with serve(topology) as deployment:
        watch = RevisionWatch(deployment)
        periods: list[OutPeriod] = []
        helpers = [
            asyncio.ensure_future(watch.run()),
            asyncio.ensure_future(_restart_crashed(deployment)),
        ]
        try:
            scheduler, results = await _disturb(deployment, seed, periods)
            await deployment.wait_registered(topology.nodes)
            after = await run_load(_plan(deployment, "after", AFTER_MS, seed + 1))
        finally:
            for helper in helpers:
                helper.cancel()
        records = deployment.records()
    history = check_history([*results, after], records, periods, watch.lowered)
    figures = {
        name: float(value) for name, value in msgspec.to_builtins(history).items()
    }
    for name, value in msgspec.to_builtins(results[0].counts()).items():
        figures[f"calls_{name}"] = float(value)
    figures["after_not_answered"] = float(len(after.records) - after.counts().answered)
    figures["crashes"] = float(count_kind(records, RecordKind.CRASH))
    figures["overloads"] = float(count_kind(records, RecordKind.OVERLOAD))
    figures["disturbances"] = float(scheduler.begun)
    figures["disturbances_ended_early"] = float(scheduler.ended_early)
    names = [*history.__struct_fields__, "overloads", "after_not_answered"]
    targets = tuple(at_most(name, 0) for name in names)
    parameters = {
        "rate_per_s": RATE_PER_S,
        "chaos_s": CHAOS_S,
        "at_once": AT_ONCE,
        "attempts": ATTEMPTS,
    }
    return Findings(parameters, figures, targets)


async def _disturb(
    deployment: Deployment, seed: int, periods: list[OutPeriod]
) -> tuple[Scheduler, list[LoadResult]]:
    rng = random.Random(seed)
    draw = partial(draw_disturbance, deployment, periods, rng)
    scheduler = Scheduler(PLAN, draw, rng)
    load = Load(_plan(deployment, "chaos", CHAOS_S * MS_PER_S, seed))
    async with asyncio.TaskGroup() as group:
        loading = group.create_task(load.run())
        crashing = group.create_task(_send_crashes(deployment, seed))
        group.create_task(scheduler.run(CHAOS_S))
    load.close()
    return scheduler, [loading.result(), crashing.result()]


EXPERIMENT = Experiment(
    "chaos", "Several failures at once, and a check of what must always hold.", run
)
