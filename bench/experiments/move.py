"""Takes a data centre out and back in under load, also with the leader frozen."""

import asyncio
import signal
import time

import msgspec

from bench.arrivals import PoissonArrivals
from bench.disturbances import set_data_centre
from bench.experiment import Experiment, Findings, at_most
from bench.history import OutPeriod
from bench.launcher import Deployment
from bench.load import LoadPlan, run_load
from bench.load_result import CallRecord, LoadResult, make_histogram, percentile_ms
from bench.progress import report
from bench.record import Record, RecordKind, count_ran_twice
from bench.serving import serve, warm_up
from bench.topology import KUSHIRO_CALLS, Topology, kushiro
from cicadawheel.configuration import DataCentreState
from cicadawheel.timer import MS_PER_S

RATE_PER_S = 60.0
STEADY_MS = 10_000.0
OUT_MS = 10_000.0
BACK_MS = 10_000.0
SLACK_MS = 6_000.0
DATA_CENTRE = "kushiro-b"
LAST_WORK_MS = 3_000.0
CALLS = tuple(kind for kind in KUSHIRO_CALLS if kind.service == "booking")


class MoveResult(msgspec.Struct, frozen=True):
    """The result of one move. ``period`` starts at the acknowledgement."""

    load: LoadResult
    period: OutPeriod
    back_in_force_ms: int


def _unix_ms() -> int:
    return int(time.time() * MS_PER_S)


def _topology(seed: int) -> Topology:
    return msgspec.structs.replace(kushiro(), seed=seed, name="move")


async def _set(deployment: Deployment, state: DataCentreState) -> int:
    """Set the state and wait until it is in force; return the acknowledgement time."""
    revision = await set_data_centre(deployment, DATA_CENTRE, state)
    acknowledged_ms = _unix_ms()
    await deployment.wait_in_force(revision)
    spread_ms = _unix_ms() - acknowledged_ms
    report("in_force_everywhere", state=state.value, spread_ms=spread_ms)
    return acknowledged_ms


async def _move(deployment: Deployment) -> tuple[OutPeriod, int]:
    await asyncio.sleep(STEADY_MS / MS_PER_S)
    out_ms = await _set(deployment, DataCentreState.OUT)
    await asyncio.sleep(OUT_MS / MS_PER_S)
    back_ms = _unix_ms()
    await _set(deployment, DataCentreState.IN)
    return OutPeriod(DATA_CENTRE, out_ms, back_ms), _unix_ms()


async def _run_move(deployment: Deployment, name: str, seed: int) -> MoveResult:
    plan = LoadPlan(
        name=f"move-{name}",
        entries=deployment.entries(),
        kinds=CALLS,
        arrivals=PoissonArrivals(RATE_PER_S),
        duration_ms=STEADY_MS + OUT_MS + BACK_MS + SLACK_MS,
        seed=seed,
        attempts=1,
    )
    async with asyncio.TaskGroup() as group:
        running = group.create_task(run_load(plan))
        moving = group.create_task(_move(deployment))
    period, back_in_force_ms = moving.result()
    return MoveResult(running.result(), period, back_in_force_ms)


async def _run_with_frozen_leader(deployment: Deployment, seed: int) -> MoveResult:
    status = await deployment.operators.status()
    leader = next(place for place in deployment.replicas if place.name == status.leader)
    leader.process.send(signal.SIGSTOP)
    report("leader_frozen", replica=leader.name)
    try:
        return await _run_move(deployment, "frozen", seed)
    finally:
        leader.process.send(signal.SIGCONT)


async def run(seed: int) -> Findings:
    """Move with all replicas running, then with the leader frozen."""
    async with serve(_topology(seed)) as deployment:
        await warm_up(deployment, CALLS[0], RATE_PER_S, seed)
        moves = {"whole": await _run_move(deployment, "whole", seed)}
        moves["frozen"] = await _run_with_frozen_leader(deployment, seed + 1)
        records = deployment.records()
    figures: dict[str, float] = {"ran_twice": count_ran_twice(records)}
    targets = [at_most("ran_twice", 0)]
    for name, move in moves.items():
        figures |= _figures(name, move, records)
        targets.append(at_most(f"{name}_last_work_ms", LAST_WORK_MS))
        targets.append(at_most(f"{name}_failed_calls", 0))
    parameters = {
        "rate_per_s": RATE_PER_S,
        "steady_ms": STEADY_MS,
        "out_ms": OUT_MS,
        "back_ms": BACK_MS,
    }
    return Findings(parameters, figures, tuple(targets))


def _figures(name: str, move: MoveResult, records: list[Record]) -> dict[str, float]:
    period = move.period
    counts = move.load.counts()
    calls = move.load.records
    before = [held for held in calls if held.sent_at_ms < period.from_ms]
    during = [
        held for held in calls if period.from_ms <= held.sent_at_ms < period.to_ms
    ]
    after = [held for held in calls if held.sent_at_ms >= period.to_ms]
    return {
        f"{name}_last_work_ms": _last_work_ms(period, records),
        f"{name}_failed_calls": counts.sent - counts.answered,
        f"{name}_not_run": counts.not_run,
        f"{name}_may_have_run": counts.may_have_run,
        f"{name}_failed": counts.failed,
        f"{name}_lost": counts.lost,
        f"{name}_wrong": counts.wrong,
        f"{name}_sent": counts.sent,
        f"{name}_before_p99_ms": _p99_ms(before),
        f"{name}_out_p99_ms": _p99_ms(during),
        f"{name}_back_p99_ms": _p99_ms(after),
        f"{name}_back_in_force_ms": move.back_in_force_ms - period.to_ms,
    }


def _last_work_ms(period: OutPeriod, records: list[Record]) -> float:
    begun = [
        held.at_ms - period.from_ms
        for held in records
        if held.kind is RecordKind.RUN
        and held.data_centre == period.data_centre
        and period.from_ms <= held.at_ms < period.to_ms
    ]
    return max(begun, default=0)


def _p99_ms(calls: list[CallRecord]) -> float:
    histogram = make_histogram()
    for held in calls:
        histogram.record_value(max(1, int(held.latency_ms * MS_PER_S)))
    return percentile_ms(histogram, 99)


EXPERIMENT = Experiment(
    "move", "A data centre goes out and in, also with the leader frozen.", run
)
