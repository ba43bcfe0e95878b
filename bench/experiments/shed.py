"""Goodput and refusals at twice the capacity of the upstreams."""

import msgspec

from bench.arrivals import PoissonArrivals
from bench.behaviour import Behaviour
from bench.calls import CallKind
from bench.experiment import Experiment, Findings, at_least, at_most
from bench.launcher import Deployment
from bench.load import LoadPlan, run_load
from bench.load_result import LoadResult
from bench.progress import report
from bench.record import count_run_of_attempts
from bench.serving import serve, warm_up, with_services
from bench.topology import Topology, kushiro
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

OVERLOAD = 2.0
SERVICE_TIME_MS = 100.0
GOODPUT_SHARE = 0.9
REFUSAL_MS = 10.0
CAPACITY_MS = 6_000.0
LOAD_MS = 20_000.0
UNTIMED_MS = 2_000.0
READ = CallKind("calendar", "booking", path="/availability/x", deadline_ms=1_000.0)


def _topology(seed: int) -> Topology:
    topology = with_services(kushiro(), "booking")
    behaviour = Behaviour(service_time_ms=SERVICE_TIME_MS, cold_concurrency=0)
    size = msgspec.structs.replace(topology.services[0], behaviour=behaviour)
    return msgspec.structs.replace(
        topology, services=(size,), replicas=1, seed=seed, name="shed"
    )


async def _load(
    entries: tuple[Address, ...], rate_per_s: float, duration_ms: float, seed: int
) -> LoadResult:
    plan = LoadPlan(
        name="shed",
        entries=entries,
        kinds=(READ,),
        arrivals=PoissonArrivals(rate_per_s),
        duration_ms=duration_ms,
        seed=seed,
        warm_up_ms=UNTIMED_MS,
        attempts=1,
    )
    return await run_load(plan)


async def _capacity_per_s(deployment: Deployment, seed: int) -> float:
    """Return the direct capacity of the upstreams by Little's law, from half load."""
    size = deployment.topology.services[0]
    slots = size.slots * size.upstreams
    nominal_per_s = slots * MS_PER_S / SERVICE_TIME_MS
    direct = tuple(place.upstream_address for place in deployment.nodes)
    result = await _load(direct, nominal_per_s / 2, CAPACITY_MS, seed)
    return slots * MS_PER_S / result.answered_us.get_mean_value() * MS_PER_S


async def run(seed: int) -> Findings:
    """Overload the booking service and count the outcomes."""
    topology = _topology(seed)
    async with serve(topology) as deployment:
        capacity_per_s = await _capacity_per_s(deployment, seed)
        report("capacity_measured", capacity_per_s=capacity_per_s)
        await warm_up(deployment, READ, capacity_per_s / 2, seed)
        rate_per_s = capacity_per_s * OVERLOAD
        result = await _load(deployment.entries(), rate_per_s, LOAD_MS, seed + 1)
        records = deployment.records()
    timed_s = (LOAD_MS - UNTIMED_MS) / MS_PER_S
    answered = result.answered_us.get_total_count()
    goodput_per_s = answered / timed_s
    counts = result.counts()
    figures = {
        "capacity_per_s": capacity_per_s,
        "offered_per_s": len(result.records) * MS_PER_S / LOAD_MS,
        "goodput_per_s": goodput_per_s,
        "goodput_share": goodput_per_s / capacity_per_s,
        "answered_p50_ms": result.answered_ms(50),
        "answered_p99_ms": result.answered_ms(99),
        "refused_p50_ms": result.refused_ms(50),
        "refused_p99_ms": result.refused_ms(99),
        "refused": counts.not_run,
        "refused_but_ran": count_run_of_attempts(records, result.refused_attempts()),
        "wrong": counts.wrong,
        "failed": counts.failed,
        "lost": counts.lost,
    }
    targets = (
        at_least("goodput_share", GOODPUT_SHARE),
        at_most("refused_p99_ms", REFUSAL_MS),
        at_most("refused_but_ran", 0),
        at_most("wrong", 0),
    )
    parameters = {
        "overload": OVERLOAD,
        "service_time_ms": SERVICE_TIME_MS,
        "load_ms": LOAD_MS,
        "upstreams": topology.nodes,
    }
    return Findings(parameters, figures, targets)


EXPERIMENT = Experiment("shed", "Goodput and refusals at twice the capacity.", run)
