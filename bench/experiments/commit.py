"""Throughput and latency of changes and claims with three and five control replicas.

Replicas are separate processes with real files. Each claim is opened and then
finished, as for a call that must never repeat. The latency of a plain write and
fsync on the same disk is measured for comparison.
"""

import asyncio
import os
import random
import time
from contextlib import AsyncExitStack
from pathlib import Path

from hdrh.histogram import HdrHistogram

from bench.claimant import Claimant, ClaimError
from bench.control_only import Changer, control_only
from bench.experiment import Experiment, Findings, at_least
from bench.launcher import Deployment
from bench.load_result import make_histogram
from bench.places import DEPLOYMENT_KEY
from bench.progress import report
from cicadawheel.timer import MS_PER_S

REPLICAS = (3, 5)
CHANGES_MS = 5_000.0
CLAIMS_MS = 6_000.0
WORKERS = (1, 16, 64)
STEADY_PER_S = (100.0, 300.0)
SETTLE_MS = 2_000.0
SYNCS = 200
SYNC_BYTES = 512
DAY_CHANGES = 4_800
BURST_S = 600.0
TARGET_CALLS_PER_S = 200_000
CLAIM_SHARE = 0.01
SHARD_USE = 0.5
US_PER_MS = 1_000.0


def _measure_sync(folder: Path) -> HdrHistogram:
    histogram = make_histogram()
    handle = os.open(folder / "sync", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    try:
        for _ in range(SYNCS):
            started_s = time.monotonic()
            os.write(handle, bytes(SYNC_BYTES))
            os.fsync(handle)
            _record(histogram, started_s)
    finally:
        os.close(handle)
    return histogram


def _record(histogram: HdrHistogram, started_s: float) -> None:
    taken_us = (time.monotonic() - started_s) * MS_PER_S * US_PER_MS
    histogram.record_value(int(taken_us))


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / US_PER_MS


async def _measure_changes(changer: Changer) -> HdrHistogram:
    histogram = make_histogram()
    ends_s = time.monotonic() + CHANGES_MS / MS_PER_S
    while time.monotonic() < ends_s:
        taken_ms = await changer.change()
        histogram.record_value(int(taken_ms * US_PER_MS))
    return histogram


async def _claim(claimant: Claimant, opened: HdrHistogram, started_s: float) -> None:
    try:
        key = await claimant.open()
        _record(opened, started_s)
        await claimant.finish(key)
    except ClaimError as error:
        report("claim_failed", claimant=claimant.name, reason=error)


async def _measure_saturated(claimants: list[Claimant], workers: int) -> HdrHistogram:
    """Keep a fixed number of claims in progress at all times."""
    opened = make_histogram()
    ends_s = time.monotonic() + CLAIMS_MS / MS_PER_S

    async def work(number: int) -> None:
        claimant = claimants[number % len(claimants)]
        while time.monotonic() < ends_s:
            await _claim(claimant, opened, time.monotonic())

    async with asyncio.TaskGroup() as group:
        for number in range(workers):
            group.create_task(work(number))
    return opened


async def _measure_steady(
    claimants: list[Claimant], rate_per_s: float, rng: random.Random
) -> HdrHistogram:
    """Open claims as Poisson arrivals, each timed from its scheduled time."""
    opened = make_histogram()
    due_s = time.monotonic()
    ends_s = due_s + CLAIMS_MS / MS_PER_S
    async with asyncio.TaskGroup() as group:
        while due_s < ends_s:
            due_s += rng.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            claimant = rng.choice(claimants)
            group.create_task(_claim(claimant, opened, due_s))
    return opened


async def _measure_claims(
    deployment: Deployment, claimants: list[Claimant], leader: str, seed: int
) -> dict[str, float]:
    figures: dict[str, float] = {}
    rng = random.Random(seed)
    for rate_per_s in STEADY_PER_S:
        opened = await _measure_steady(claimants, rate_per_s, rng)
        name = f"claim_at_{rate_per_s:.0f}_per_s"
        figures[f"{name}_p50_ms"] = _percentile_ms(opened, 50)
        figures[f"{name}_p99_ms"] = _percentile_ms(opened, 99)
    for workers in WORKERS:
        before_s = _cpu_s(deployment)
        opened = await _measure_saturated(claimants, workers)
        count = opened.get_total_count()
        name = f"claims_by_{workers}"
        figures[f"{name}_per_s"] = count * MS_PER_S / CLAIMS_MS
        figures[f"{name}_p99_ms"] = _percentile_ms(opened, 99)
        report("claims_measured", workers=workers, per_s=figures[f"{name}_per_s"])
    used_s = {name: s - before_s[name] for name, s in _cpu_s(deployment).items()}
    followers_s = [s for name, s in used_s.items() if name != leader]
    figures["leader_cpu_per_claim_ms"] = used_s[leader] * MS_PER_S / count
    follower_s = sum(followers_s) / len(followers_s)
    figures["follower_cpu_per_claim_ms"] = follower_s * MS_PER_S / count
    return figures


def _cpu_s(deployment: Deployment) -> dict[str, float]:
    return {one.name: one.process.cpu_s() for one in deployment.replicas}


async def _measure(replicas: int, seed: int) -> dict[str, float]:
    async with AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            Deployment(control_only(replicas, seed))
        )
        sync = await asyncio.to_thread(_measure_sync, deployment.folder)
        changer = Changer(deployment)
        await changer.start()
        changes = await _measure_changes(changer)
        figures = {
            "sync_p50_ms": _percentile_ms(sync, 50),
            "sync_p99_ms": _percentile_ms(sync, 99),
            "changes_per_s": changes.get_total_count() * MS_PER_S / CHANGES_MS,
            "change_p50_ms": _percentile_ms(changes, 50),
            "change_p99_ms": _percentile_ms(changes, 99),
        }
        report("changes_measured", replicas=replicas, **figures)
        claimants = []
        for place in deployment.replicas:
            name = f"claimant-{place.name}"
            claimant = Claimant(name, place.stream, DEPLOYMENT_KEY.encode())
            await claimant.start()
            stack.callback(claimant.stop)
            claimants.append(claimant)
        await asyncio.sleep(SETTLE_MS / MS_PER_S)
        leader = (await changer.leader()).name
        figures |= await _measure_claims(deployment, claimants, leader, seed)
    return figures


def _shards(leader_cpu_per_claim_ms: float) -> float:
    """Return the shards needed if ``CLAIM_SHARE`` of the target's calls use claims.

    The leader of a shard may use ``SHARD_USE`` of a core.
    """
    claims_per_s = TARGET_CALLS_PER_S * CLAIM_SHARE
    return claims_per_s * leader_cpu_per_claim_ms / MS_PER_S / SHARD_USE


async def run(seed: int) -> Findings:
    """Measure with each number of replicas in turn."""
    figures: dict[str, float] = {}
    targets = []
    for replicas in REPLICAS:
        found = await _measure(replicas, seed)
        figures |= {f"{name}_of_{replicas}": value for name, value in found.items()}
        shards = _shards(found["leader_cpu_per_claim_ms"])
        figures[f"shards_per_percent_of_calls_of_{replicas}"] = shards
        targets.append(at_least(f"changes_per_s_of_{replicas}", DAY_CHANGES / BURST_S))
    parameters = {
        "changes_ms": CHANGES_MS,
        "claims_ms": CLAIMS_MS,
        "sync_bytes": SYNC_BYTES,
        "target_calls_per_s": TARGET_CALLS_PER_S,
        "claim_share": CLAIM_SHARE,
        "shard_use": SHARD_USE,
    }
    return Findings(parameters, figures, tuple(targets))


EXPERIMENT = Experiment(
    "commit", "Changes and claims acknowledged by three and five replicas.", run
)
