"""The cost of load probes between nodes, by fleet size.

Nodes export counters of their probes and probe bytes. In the phase without calls,
the payload bytes of the connections between nodes are measured as well.
"""

import asyncio
import re
import time

import msgspec

from bench.arrivals import PoissonArrivals
from bench.calls import CallKind
from bench.experiment import Experiment, Findings, at_most
from bench.launcher import Deployment
from bench.load import LoadPlan, run_load
from bench.progress import report
from bench.serving import serve
from bench.sockets import read_socket_bytes
from bench.topology import fleet
from cicadawheel.http.exchange import fetch
from cicadawheel.timer import MS_PER_S

SIZES = (5, 20, 50, 100)
LOADED_S = 10.0
QUIET_S = 10.0
CALLS_PER_NODE_S = 4.0
FLAT_RATIO = 1.1
READ = CallKind("calendar", "booking", path="/availability/x")
_PROBES = re.compile(rb"^cicadawheel_probes_total(?:{[^}]*})? (\S+)$", re.MULTILINE)
_BYTES = re.compile(rb"^cicadawheel_probe_bytes_total(?:{[^}]*})? (\S+)$", re.MULTILINE)


class ProbeCount(msgspec.Struct, frozen=True):
    """The probe counters of a node at one time."""

    probes: float
    size_bytes: float
    at_s: float


class SocketCount(msgspec.Struct, frozen=True):
    """The bytes that all nodes have sent to each other, and their CPU time."""

    sent_bytes: int
    cpu_s: float
    at_s: float


def parse_probe_count(metrics: bytes, at_s: float) -> ProbeCount:
    """Return the probe counters in a node's metrics."""
    probes = sum(float(value) for value in _PROBES.findall(metrics))
    size_bytes = sum(float(value) for value in _BYTES.findall(metrics))
    return ProbeCount(probes, size_bytes, at_s)


async def _count_probes(deployment: Deployment) -> list[ProbeCount]:
    counts = []
    for place in deployment.nodes:
        answer = await fetch(place.admin, "GET", "/metrics")
        counts.append(parse_probe_count(answer.body, time.monotonic()))
    return counts


def _count_sockets(deployment: Deployment) -> SocketCount:
    nodes = [place.node for place in deployment.nodes]
    ports = {place.peer.port for place in deployment.nodes}
    counted = read_socket_bytes({node.pid for node in nodes}, ports)
    sent_bytes = sum(each.sent for each in counted.values())
    cpu_s = sum(node.cpu_s() for node in nodes)
    return SocketCount(sent_bytes, cpu_s, time.monotonic())


async def _phase(
    deployment: Deployment, name: str, seconds: float, seed: int
) -> dict[str, float]:
    """Return the figures of one phase: under load or without calls."""
    probes_before = await _count_probes(deployment)
    before = _count_sockets(deployment)
    await _run_load_or_wait(deployment, name, seconds, seed)
    after = _count_sockets(deployment)
    pairs = list(zip(probes_before, await _count_probes(deployment), strict=True))
    probes = [(end.probes - at.probes) / (end.at_s - at.at_s) for at, end in pairs]
    sizes = [
        (end.size_bytes - at.size_bytes) / (end.at_s - at.at_s) for at, end in pairs
    ]
    node_s = (after.at_s - before.at_s) * len(pairs)
    return {
        f"{name}_probes_per_s_mean": sum(probes) / len(pairs),
        f"{name}_probes_per_s_max": max(probes),
        f"{name}_probe_bytes_per_s_mean": sum(sizes) / len(pairs),
        f"{name}_probe_bytes_per_s_max": max(sizes),
        f"{name}_peer_bytes_per_s_mean": (after.sent_bytes - before.sent_bytes)
        / node_s,
        f"{name}_node_cpu_share": (after.cpu_s - before.cpu_s) / node_s,
    }


async def _run_load_or_wait(
    deployment: Deployment, name: str, seconds: float, seed: int
) -> None:
    if name == "quiet":
        await asyncio.sleep(seconds)
        return
    plan = LoadPlan(
        name=name,
        entries=deployment.entries(),
        kinds=(READ,),
        arrivals=PoissonArrivals(CALLS_PER_NODE_S * len(deployment.nodes)),
        duration_ms=seconds * MS_PER_S,
        seed=seed,
    )
    await run_load(plan)


async def _measure(nodes: int, seed: int) -> dict[str, float]:
    topology = msgspec.structs.replace(fleet(nodes), seed=seed, replicas=1)
    async with serve(topology) as deployment:
        figures = await _phase(deployment, "loaded", LOADED_S, seed)
        figures |= await _phase(deployment, "quiet", QUIET_S, seed)
        budget = (await deployment.configuration()).measuring
    report("size_done", nodes=nodes, **figures)
    figures = {f"{name}_of_{nodes}": value for name, value in figures.items()}
    figures["budget_probes_per_s"] = budget.probes_per_s
    figures["budget_bytes_per_s"] = budget.bytes_per_s
    return figures


async def run(seed: int) -> Findings:
    """Measure all fleet sizes."""
    figures = {}
    for nodes in SIZES:
        figures |= await _measure(nodes, seed)
    targets = []
    for nodes in SIZES:
        for phase in ("loaded", "quiet"):
            probes = f"{phase}_probes_per_s_max_of_{nodes}"
            size = f"{phase}_probe_bytes_per_s_max_of_{nodes}"
            targets.append(at_most(probes, figures["budget_probes_per_s"]))
            targets.append(at_most(size, figures["budget_bytes_per_s"]))
        quiet = f"quiet_peer_bytes_per_s_mean_of_{nodes}"
        targets.append(at_most(quiet, figures["budget_bytes_per_s"]))
    for phase in ("loaded", "quiet"):
        name = f"{phase}_probe_bytes_per_s_mean_of"
        smallest = figures[f"{name}_{SIZES[0]}"]
        largest = figures[f"{name}_{SIZES[-1]}"]
        if smallest > 0:
            figures[f"{phase}_growth"] = largest / smallest
            targets.append(at_most(f"{phase}_growth", FLAT_RATIO))
    parameters = {
        "loaded_s": LOADED_S,
        "quiet_s": QUIET_S,
        "calls_per_node_s": CALLS_PER_NODE_S,
        "flat_ratio": FLAT_RATIO,
    }
    return Findings(parameters, figures, tuple(targets))


EXPERIMENT = Experiment(
    "measuring", "Cost of measuring against its budget, from 5 to 100 nodes.", run
)
