"""Demonstration: Kushiro's deployment under load while a data centre is taken out."""

import asyncio
import time

import msgspec

from bench.arrivals import PoissonArrivals
from bench.disturbances import set_data_centre
from bench.history import OutPeriod
from bench.launcher import Deployment
from bench.load import Load, LoadPlan
from bench.load_result import LoadResult
from bench.progress import report
from bench.record import Record, count_ran_twice, count_run_of_attempts
from bench.topology import KUSHIRO_CALLS, kushiro
from cicadawheel.configuration import DataCentreState
from cicadawheel.timer import MS_PER_S

TIME_LIMIT_S = 55.0
RATE_PER_S = 60.0
LOAD_MS = 16_000.0
STEADY_S = 3.0
OUT_S = 5.0
SEED = 1
REPLICAS = 3
DATA_CENTRE = "kushiro-b"
OUT_GRACE_MS = 3_000


class DemoEnd(msgspec.Struct, frozen=True):
    """The counts at the end of the demonstration."""

    answered: int
    wrong: int
    not_run: int
    lost: int
    ran_twice: int
    refused_but_ran: int
    late_work: int

    @property
    def clean(self) -> bool:
        """Whether no call was wrong, lost, run twice, run though refused, or late."""
        bad = self.wrong + self.lost + self.ran_twice
        return bad + self.refused_but_ran + self.late_work == 0


def _unix_ms() -> int:
    return int(time.time() * MS_PER_S)


async def _set_data_centre(
    deployment: Deployment, name: str, state: DataCentreState
) -> int:
    """Set a data centre's state and return the time of control's acknowledgement."""
    revision = await set_data_centre(deployment, name, state)
    acknowledged_ms = _unix_ms()
    report("acknowledged", data_centre=name, state=state.value)
    await deployment.wait_in_force(revision)
    spread_ms = _unix_ms() - acknowledged_ms
    report("in_force_everywhere", revision=revision, spread_ms=spread_ms)
    return acknowledged_ms


async def _move(deployment: Deployment) -> OutPeriod:
    await asyncio.sleep(STEADY_S)
    out_ms = await _set_data_centre(deployment, DATA_CENTRE, DataCentreState.OUT)
    await asyncio.sleep(OUT_S)
    back_ms = _unix_ms()
    await _set_data_centre(deployment, DATA_CENTRE, DataCentreState.IN)
    return OutPeriod(DATA_CENTRE, out_ms, back_ms)


async def _serve(deployment: Deployment) -> tuple[LoadResult, OutPeriod]:
    plan = LoadPlan(
        name="demo",
        entries=deployment.entries(),
        kinds=KUSHIRO_CALLS,
        arrivals=PoissonArrivals(RATE_PER_S),
        duration_ms=LOAD_MS,
        seed=SEED,
    )
    report("load_started", rate_per_s=RATE_PER_S, entries=len(plan.entries))
    load = Load(plan)
    async with asyncio.TaskGroup() as group:
        running = group.create_task(load.run())
        moving = group.create_task(_move(deployment))
    load.close()
    return running.result(), moving.result()


def count_end(result: LoadResult, records: list[Record], period: OutPeriod) -> DemoEnd:
    """Count a load's outcomes and check them against the upstreams' records."""
    counts = result.counts()
    return DemoEnd(
        answered=counts.answered,
        wrong=counts.wrong,
        not_run=counts.not_run,
        lost=counts.lost + counts.failed + counts.may_have_run,
        ran_twice=count_ran_twice(records),
        refused_but_ran=count_run_of_attempts(records, result.refused_attempts()),
        late_work=period.late_work(records, OUT_GRACE_MS),
    )


async def _demonstrate() -> DemoEnd:
    topology = msgspec.structs.replace(kushiro(), replicas=REPLICAS)
    report("starting", control=topology.replicas, nodes=topology.nodes)
    async with Deployment(topology) as deployment:
        report("started", entries=" ".join(map(str, deployment.entries())))
        outcome = await deployment.apply_answers()
        await deployment.wait_in_force(outcome.revision)
        report("configuration_in_force", revision=outcome.revision)
        result, period = await _serve(deployment)
        records = deployment.records()
        back = OutPeriod(DATA_CENTRE, period.to_ms, _unix_ms()).late_work(records, 0)
        report("data_centre_back", data_centre=DATA_CENTRE, calls=back)
    end = count_end(result, records, period)
    _report_latency(result)
    return end


def _report_latency(result: LoadResult) -> None:
    report(
        "load_ended",
        sent=len(result.records),
        p50_ms=result.answered_ms(50),
        p99_ms=result.answered_ms(99),
    )
    bad = [record for record in result.records if record.outcome.value != "answered"]
    for record in bad[:10]:
        report(
            "call_not_answered",
            token=record.token,
            kind=record.kind,
            outcome=record.outcome.value,
            status=record.status,
            attempts=record.attempts,
        )


async def run_demo() -> int:
    """Run the demonstration and return the exit code."""
    async with asyncio.timeout(TIME_LIMIT_S):
        end = await _demonstrate()
    if end.refused_but_ran or end.late_work:
        report(
            "history_broken",
            refused_but_ran=end.refused_but_ran,
            late_work=end.late_work,
        )
    report(
        "demo_done",
        answered=end.answered,
        wrong=end.wrong,
        not_run=end.not_run,
        lost=end.lost,
        ran_twice=end.ran_twice,
    )
    return 0 if end.clean else 1
