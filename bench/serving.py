"""Starts, configures and warms up a deployment."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from bench.arrivals import PoissonArrivals
from bench.calls import CallKind
from bench.launcher import Deployment
from bench.load import LoadPlan, run_load
from bench.load_result import LoadResult
from bench.progress import report
from bench.topology import Topology

WARM_UP_MS = 4_000.0


@asynccontextmanager
async def serve(topology: Topology) -> AsyncIterator[Deployment]:
    """Yield a deployment whose configuration is in force at every node."""
    async with Deployment(topology) as deployment:
        outcome = await deployment.apply_answers()
        await deployment.wait_in_force(outcome.revision)
        report("serving", topology=topology.name, nodes=topology.nodes)
        yield deployment


async def warm_up(
    deployment: Deployment, kind: CallKind, rate_per_s: float, seed: int
) -> LoadResult:
    """Send calls for ``WARM_UP_MS`` to warm up gates and upstreams."""
    plan = LoadPlan(
        name=f"warm-up-{deployment.topology.name}",
        entries=deployment.entries(),
        kinds=(kind,),
        arrivals=PoissonArrivals(rate_per_s),
        duration_ms=WARM_UP_MS,
        seed=seed,
    )
    return await run_load(plan)


def with_services(topology: Topology, *services: str) -> Topology:
    """Return a topology that has only the given services."""
    kept = tuple(size for size in topology.services if size.service in services)
    return msgspec.structs.replace(topology, services=kept)
