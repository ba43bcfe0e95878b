"""Tail latency by routing policy, under load that shifts every few milliseconds.

Each policy has its own deployment of Cofio's reminders. The deployments alternate
in short slices, so that noise on the host affects all policies alike. One upstream
is slow throughout, one returns to its cold state at the start of each slice, and all
load reports are delayed.
"""

from contextlib import AsyncExitStack

import msgspec

from bench.arrivals import ShiftingArrivals
from bench.behaviour import Behaviour
from bench.calls import CallKind
from bench.experiment import Experiment, Findings, at_most
from bench.launcher import Deployment
from bench.load import LoadPlan, run_load
from bench.load_result import LoadResult
from bench.progress import report
from bench.record import RecordKind, count_kind
from bench.serving import serve, warm_up, with_services
from bench.topology import Override, Topology, cofio

OWN_POLICY = "weighted-choices"
POLICIES = ("round-robin", "two-choices", OWN_POLICY)
LOADS = (0.6, 0.8, 0.9)
ROUNDS = 3
SLICE_MS = 6_000.0
UNTIMED_MS = 500.0
SHIFT_MS = 5.0
SERVICE_TIME_MS = 30.0
SERVICE_SIGMA = 0.4
MEAN_FACTOR = 1.083
SLOW_FACTOR = 3.0
REPORT_LAG_MS = 500.0
ROUND_ROBIN_RATIO = 0.5
TWO_CHOICES_RATIO = 0.8
READ = CallKind("dates", "reminders", path="/dates/today", deadline_ms=5_000.0)

NORMAL = Behaviour(
    service_time_ms=SERVICE_TIME_MS,
    service_sigma=SERVICE_SIGMA,
    report_lag_ms=REPORT_LAG_MS,
    warm_up_ms=2_000.0,
)
SLOW = msgspec.structs.replace(NORMAL, slow_factor=SLOW_FACTOR)


def _topology(policy: str, seed: int) -> Topology:
    topology = with_services(cofio(), "reminders")
    size = msgspec.structs.replace(topology.services[0], behaviour=NORMAL)
    return msgspec.structs.replace(
        topology,
        name=policy,
        services=(size,),
        replicas=1,
        seed=seed,
        overrides=(Override("entry", "policy", policy),),
    )


def capacity_per_s(topology: Topology) -> float:
    """Return the capacity of the upstreams.

    The slow one counts by its relative speed, the cold one not at all.
    """
    size = topology.services[0]
    slots = size.slots * (size.upstreams - 2 + 1 / SLOW_FACTOR)
    return slots / (SERVICE_TIME_MS * MEAN_FACTOR / 1_000.0)


async def _run_slice(
    deployment: Deployment, rate_per_s: float, seed: int
) -> LoadResult:
    await deployment.nodes[1].fall_back()
    plan = LoadPlan(
        name=deployment.topology.name,
        entries=deployment.entries(),
        kinds=(READ,),
        arrivals=ShiftingArrivals(rate_per_s, SHIFT_MS),
        duration_ms=SLICE_MS,
        seed=seed,
        warm_up_ms=UNTIMED_MS,
        attempts=1,
    )
    return await run_load(plan)


async def _measure(
    deployments: list[Deployment], seed: int
) -> dict[tuple[str, float], LoadResult]:
    results = {}
    capacity = capacity_per_s(deployments[0].topology)
    for deployment in deployments:
        await deployment.nodes[0].change(SLOW)
        await warm_up(deployment, READ, capacity * LOADS[0], seed)
    for turn in range(ROUNDS):
        for load in LOADS:
            for deployment in deployments:
                policy = deployment.topology.name
                slice_seed = seed * 100 + turn
                given = await _run_slice(deployment, capacity * load, slice_seed)
                results.setdefault((policy, load), LoadResult(policy)).merge(given)
            report("round_done", turn=turn + 1, load=load)
    return results


def _figures(results: dict[tuple[str, float], LoadResult]) -> dict[str, float]:
    figures = {}
    for (policy, load), result in results.items():
        name = f"{policy.replace('-', '_')}_at_{load * 100:.0f}"
        counts = result.counts()
        figures[f"{name}_p50_ms"] = result.answered_ms(50)
        figures[f"{name}_p99_ms"] = result.answered_ms(99)
        figures[f"{name}_not_answered_share"] = 1 - counts.answered / counts.sent
        figures[f"{name}_wrong"] = counts.wrong
    for load in LOADS:
        suffix = f"at_{load * 100:.0f}"
        own_ms = results[OWN_POLICY, load].answered_ms(99)
        for policy in POLICIES[:-1]:
            ratio = own_ms / results[policy, load].answered_ms(99)
            figures[f"p99_ratio_to_{policy.replace('-', '_')}_{suffix}"] = ratio
    return figures


async def run(seed: int) -> Findings:
    """Measure every policy at every load."""
    async with AsyncExitStack() as stack:
        deployments = [
            await stack.enter_async_context(serve(_topology(policy, seed)))
            for policy in POLICIES
        ]
        results = await _measure(deployments, seed)
        overloads = {
            f"{each.topology.name.replace('-', '_')}_overloads": float(
                count_kind(each.records(), RecordKind.OVERLOAD)
            )
            for each in deployments
        }
    targets = []
    for load in LOADS:
        suffix = f"at_{load * 100:.0f}"
        targets.append(at_most(f"p99_ratio_to_round_robin_{suffix}", ROUND_ROBIN_RATIO))
        targets.append(at_most(f"p99_ratio_to_two_choices_{suffix}", TWO_CHOICES_RATIO))
        targets.append(at_most(f"weighted_choices_{suffix}_wrong", 0))
    parameters = {
        "rounds": ROUNDS,
        "slice_ms": SLICE_MS,
        "shift_ms": SHIFT_MS,
        "service_time_ms": SERVICE_TIME_MS,
        "service_sigma": SERVICE_SIGMA,
        "slow_factor": SLOW_FACTOR,
        "report_lag_ms": REPORT_LAG_MS,
        "capacity_per_s": round(capacity_per_s(_topology(OWN_POLICY, seed)), 1),
    }
    return Findings(parameters, _figures(results) | overloads, tuple(targets))


EXPERIMENT = Experiment(
    "tail", "p99 under shifting load, by policy, with a slow and a cold upstream.", run
)
