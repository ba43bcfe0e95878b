"""Unannounced restarts of an upstream under load.

First the process is killed and restarted, then it returns to its cold state while
running. The stand-in records each overload; its record also shows when it has
regained its full share of the calls.
"""

import asyncio
import signal
import time

import msgspec

from bench.arrivals import PoissonArrivals
from bench.behaviour import Behaviour
from bench.calls import CallKind
from bench.experiment import Experiment, Findings, at_least, at_most
from bench.launcher import Deployment
from bench.load import Load, LoadPlan
from bench.load_result import LoadResult
from bench.places import NodePlace
from bench.progress import report
from bench.record import Record, RecordKind
from bench.serving import serve, warm_up, with_services
from bench.topology import Topology, kushiro
from cicadawheel.timer import MS_PER_S

SERVICE_TIME_MS = 50.0
COLD_SLOW_FACTOR = 2.0
STAND_IN_WARM_UP_MS = 3_000.0
LOAD = 0.75
STEADY_S = 4.0
AFTER_S = 25.0
WINDOW_MS = 2_000
FULL_SHARE = 0.8
READ = CallKind("calendar", "booking", path="/availability/x", deadline_ms=1_000.0)
VARIANTS = ("restart", "fall_back")


def _topology(seed: int) -> Topology:
    topology = with_services(kushiro(), "booking")
    behaviour = Behaviour(
        service_time_ms=SERVICE_TIME_MS,
        service_sigma=0.2,
        cold_concurrency=2,
        cold_slow_factor=COLD_SLOW_FACTOR,
        warm_up_ms=STAND_IN_WARM_UP_MS,
    )
    size = msgspec.structs.replace(topology.services[0], behaviour=behaviour)
    return msgspec.structs.replace(topology, services=(size,), replicas=1, seed=seed)


async def _disturb(place: NodePlace, variant: str) -> None:
    if variant == "fall_back":
        await place.fall_back()
        return
    place.upstream.send(signal.SIGKILL)
    await place.upstream.wait_ended()
    place.upstream.start()


async def _run_variant(
    deployment: Deployment, variant: str, rate_per_s: float, seed: int
) -> tuple[LoadResult, int]:
    """Return the load's result, and the Unix time of the disturbance."""
    plan = LoadPlan(
        name=variant,
        entries=deployment.entries(),
        kinds=(READ,),
        arrivals=PoissonArrivals(rate_per_s),
        duration_ms=(STEADY_S + AFTER_S) * MS_PER_S,
        seed=seed,
        attempts=1,
    )
    load = Load(plan)
    running = asyncio.ensure_future(load.run())
    await asyncio.sleep(STEADY_S)
    disturbed_ms = int(time.time() * MS_PER_S)
    await _disturb(deployment.nodes[0], variant)
    report("disturbed", variant=variant)
    result = await running
    load.close()
    return result, disturbed_ms


def recovery_ms(
    records: list[Record], upstream: str, upstreams: int, from_ms: int, to_ms: int
) -> float | None:
    """Return the time until an upstream regained its full share, or None if never.

    The share is full once the upstream runs at least `FULL_SHARE` of the mean of the
    others in every later window.
    """
    last_lacking_ms = from_ms
    for begin_ms in range(from_ms, to_ms - WINDOW_MS, WINDOW_MS // 2):
        window = [
            record.upstream
            for record in records
            if record.kind is RecordKind.RUN
            and begin_ms <= record.at_ms < begin_ms + WINDOW_MS
        ]
        own = window.count(upstream)
        others_mean = (len(window) - own) / (upstreams - 1)
        if own < FULL_SHARE * others_mean:
            last_lacking_ms = begin_ms + WINDOW_MS
    if last_lacking_ms > to_ms - 2 * WINDOW_MS:
        return None
    return float(last_lacking_ms - from_ms)


def _figures(
    variant: str, result: LoadResult, records: list[Record], disturbed_ms: int
) -> dict[str, float]:
    upstream = "booking-1"
    ends_ms = disturbed_ms + int(AFTER_S * MS_PER_S)
    after = [record for record in records if record.at_ms >= disturbed_ms]
    overloads = sum(
        1
        for record in after
        if record.kind is RecordKind.OVERLOAD and record.upstream == upstream
    )
    counts = result.counts()
    figures = {
        f"{variant}_overloads": float(overloads),
        f"{variant}_p50_ms": result.answered_ms(50),
        f"{variant}_p99_ms": result.answered_ms(99),
        f"{variant}_not_answered_share": 1 - counts.answered / counts.sent,
        f"{variant}_wrong": float(counts.wrong),
    }
    took_ms = recovery_ms(after, upstream, 5, disturbed_ms, ends_ms)
    figures[f"{variant}_recovered"] = float(took_ms is not None)
    if took_ms is not None:
        figures[f"{variant}_full_share_after_ms"] = took_ms
    return figures


async def run(seed: int) -> Findings:
    """Disturb one upstream with each variant in turn."""
    topology = _topology(seed)
    slots = topology.services[0].slots * topology.nodes
    rate_per_s = LOAD * slots * MS_PER_S / SERVICE_TIME_MS
    figures = {}
    async with serve(topology) as deployment:
        await warm_up(deployment, READ, rate_per_s / 2, seed)
        for number, variant in enumerate(VARIANTS):
            result, disturbed_ms = await _run_variant(
                deployment, variant, rate_per_s, seed + number
            )
            records = deployment.records()
            figures |= _figures(variant, result, records, disturbed_ms)
    targets = []
    for variant in VARIANTS:
        targets.append(at_most(f"{variant}_overloads", 0))
        targets.append(at_least(f"{variant}_recovered", 1))
        targets.append(at_most(f"{variant}_wrong", 0))
    parameters = {
        "load": LOAD,
        "rate_per_s": rate_per_s,
        "service_time_ms": SERVICE_TIME_MS,
        "warm_up_ms": STAND_IN_WARM_UP_MS,
        "full_share": FULL_SHARE,
    }
    return Findings(parameters, figures, tuple(targets))


EXPERIMENT = Experiment(
    "cold_start", "Restart and silent cold start of an upstream under load.", run
)
