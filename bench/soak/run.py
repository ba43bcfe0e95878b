"""Runs one soak per seed and checks its invariants during the run and at the end."""

import asyncio
import random
import shutil
import tempfile
from functools import partial
from pathlib import Path

import msgspec

from bench.arrivals import PoissonArrivals
from bench.history import OutPeriod, RevisionWatch
from bench.launcher import Deployment, wait_for
from bench.load import Load, LoadPlan, run_load
from bench.load_result import LoadResult
from bench.progress import report
from bench.record import read_records
from bench.scheduler import SchedulePlan, Scheduler
from bench.soak.ahead import AheadCallers
from bench.soak.faults import DrawFault, draw_fault, draw_long_fault, draw_silent_fault
from bench.soak.operators import Operators
from bench.soak.promises import InvariantChecker, Promises
from bench.soak.site import SoakSite, soak_topology
from bench.topology import KUSHIRO_CALLS
from cicadawheel.errors import CicadawheelError
from cicadawheel.timer import MS_PER_S

RATE_PER_S = 60.0
ATTEMPTS = 6
CHECK_INTERVAL_S = 2.0
RECOVERY_MS = 15_000.0
AFTER_MS = 2_000.0
RESTART_INTERVAL_S = 0.5
SCHEDULE = SchedulePlan(
    interval_s=(0.3, 2.0), lasts_s=(0.3, 5.0), at_once=4, control_at_once=2
)


class SoakPlan(msgspec.Struct, frozen=True):
    """The parameters of one soak.

    With ``long_faults`` set, some disks stall, and some data centres are out, for
    longer than an evacuation may take to be in force beside disturbed replicas. With
    ``silent_faults`` set, half of the faults are connections that go silent for good.
    """

    seed: int
    nodes: int = 8
    duration_s: float = 20.0
    long_faults: bool = False
    silent_faults: bool = False


class SoakResult(msgspec.Struct, frozen=True):
    """The violations and counts of one soak."""

    seed: int
    promises: Promises
    calls: int
    answered: int
    answered_ahead: int
    disturbances: int
    changes: int
    reads: int


def run_soaks(plans: list[SoakPlan], keep: Path | None) -> int:
    """Run soaks one after another; return 0, or 1 if any of them failed.

    The folder of each failed soak is copied to ``keep``. A soak that could not be run
    counts as failed.
    """
    broken_seeds = []
    for plan in plans:
        with tempfile.TemporaryDirectory(prefix="cicadawheel-soak-") as name:
            folder = Path(name) / f"seed-{plan.seed}"
            folder.mkdir()
            if not _keeps_promises(plan, folder):
                broken_seeds.append(plan.seed)
                if keep is not None:
                    shutil.copytree(folder, keep / folder.name, dirs_exist_ok=True)
    report("soaks_done", seeds=len(plans), broken=",".join(map(str, broken_seeds)))
    return int(bool(broken_seeds))


def _keeps_promises(plan: SoakPlan, folder: Path) -> bool:
    try:
        result = asyncio.run(run_soak(plan, folder))
    except (CicadawheelError, TimeoutError) as error:
        report("soak_failed", seed=plan.seed, reason=error)
        return False
    broken = result.promises.broken()
    counts = msgspec.structs.asdict(result)
    del counts["promises"]
    report("soak_done", **counts, broken=len(broken), **broken)
    return not broken


async def run_soak(plan: SoakPlan, folder: Path) -> SoakResult:
    """Run one soak that writes its logs and records to a folder.

    Raises
    ------
    CicadawheelError, TimeoutError
        The deployment could not be started.
    """
    topology = soak_topology(plan.nodes, plan.seed)
    site = SoakSite(Deployment(topology, folder))
    try:
        await site.start()
        return await _disturb(site, plan)
    finally:
        await site.close()


async def _disturb(site: SoakSite, plan: SoakPlan) -> SoakResult:
    rng = random.Random(plan.seed)
    periods: list[OutPeriod] = []
    draw = _choose_draw(plan)
    scheduler = Scheduler(SCHEDULE, partial(draw, site, periods, rng), rng)
    checker = InvariantChecker(
        site.deployment.nodes, scheduler.troubles, periods, len(site.machines)
    )
    operators = Operators(site.deployment, random.Random(plan.seed))
    watch = RevisionWatch(site.deployment)
    load = Load(_plan_load(site, "soak", plan.duration_s * MS_PER_S, plan.seed))
    ahead = AheadCallers(site.deployment.entries(), KUSHIRO_CALLS, plan.seed)
    helpers = [
        asyncio.ensure_future(work)
        for work in (
            operators.run(),
            watch.run(),
            ahead.run(),
            _restart_exited(site),
            _check_periodically(site, checker, load.result),
        )
    ]
    try:
        await asyncio.gather(load.run(), scheduler.run(plan.duration_s))
        after = await _wait_served(site, plan.seed)
        kept = await _is_newest_kept(operators)
        for helper in helpers:
            if helper.done():
                helper.result()
    finally:
        for helper in helpers:
            helper.cancel()
        load.close()
    promises = msgspec.structs.replace(
        checker.check(load.result, read_records(site.deployment.folder)),
        revisions_lowered=watch.lowered,
        old_reads=operators.old_reads,
        races_won_twice=operators.races_won_twice,
        newest_lost=int(not kept),
        wrong_ahead=ahead.wrong,
        not_served_after=len(after.records) - after.counts().answered,
    )
    return SoakResult(
        seed=plan.seed,
        promises=promises,
        calls=len(load.result.records),
        answered=load.result.counts().answered,
        answered_ahead=ahead.answered,
        disturbances=scheduler.begun,
        changes=len(operators.acknowledged),
        reads=operators.reads,
    )


def _choose_draw(plan: SoakPlan) -> DrawFault:
    if plan.silent_faults:
        return draw_silent_fault
    return draw_long_fault if plan.long_faults else draw_fault


def _plan_load(site: SoakSite, name: str, duration_ms: float, seed: int) -> LoadPlan:
    return LoadPlan(
        name=name,
        entries=site.deployment.entries(),
        kinds=KUSHIRO_CALLS,
        arrivals=PoissonArrivals(RATE_PER_S),
        duration_ms=duration_ms,
        seed=seed,
        attempts=ATTEMPTS,
    )


async def _wait_served(site: SoakSite, seed: int) -> LoadResult:
    """Repeat short loads until all calls are answered; return the last result."""
    results: list[LoadResult] = []

    async def served() -> bool:
        number = len(results) + 1
        plan = _plan_load(site, f"after-{number}", AFTER_MS, seed + number)
        results.append(await run_load(plan))
        return results[-1].counts().answered == len(results[-1].records)

    try:
        await wait_for(served, "all calls answered", RECOVERY_MS)
    except TimeoutError as error:
        report("soak_not_recovered", seed=seed, reason=error)
    return results[-1]


async def _is_newest_kept(operators: Operators) -> bool:
    try:
        return await operators.newest_is_kept()
    except CicadawheelError as error:
        report("soak_control_silent", reason=error)
        return False


async def _restart_exited(site: SoakSite) -> None:
    """Restart processes that have exited on their own, as the platform does.

    A disturbance restarts the processes that it has ended itself.
    """
    while True:
        for process in site.deployment.processes:
            code = process.exit_code
            if code is not None and code > 0:
                report("process_ended", place=process.name, code=code)
                process.start()
        await asyncio.sleep(RESTART_INTERVAL_S)


async def _check_periodically(
    site: SoakSite, checker: InvariantChecker, result: LoadResult
) -> None:
    """Check the invariants periodically and report new violations."""
    seen: dict[str, int] = {}
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        records = read_records(site.deployment.folder)
        broken = checker.check(result, records).broken()
        if broken != seen:
            report("promise_broken", **broken)
            seen = broken
