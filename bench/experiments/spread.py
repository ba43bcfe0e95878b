"""How fast a change is in force on all nodes, and the idle cost of a node.

The cost is measured on nodes without calls: CPU time, memory, and the payload bytes
of their connections.
"""

import asyncio
import time
from pathlib import Path

import msgspec

from bench.experiment import Experiment, Findings, at_most
from bench.launcher import Deployment
from bench.progress import report
from bench.serving import serve
from bench.sockets import read_socket_bytes
from bench.topology import fleet
from cicadawheel.errors import CicadawheelError
from cicadawheel.timer import MS_PER_S

SIZES = (10, 50, 200)
CHANGES = 5
QUIET_S = 10.0
POLL_MS = 50.0
IN_FORCE_MS = 5_000.0
BYTES_PER_S = 3_000.0
CPU_SHARE = 0.015
MEMORY_BYTES = 128 * 1024 * 1024
PAGE_BYTES = 4_096
RESIDENT_FIELD = 1


def _resident_bytes(pid: int) -> int:
    statm = Path(f"/proc/{pid}/statm").read_text()
    return int(statm.split()[RESIDENT_FIELD]) * PAGE_BYTES


async def _change(deployment: Deployment, turn: int) -> float:
    """Apply a change; return the time from acknowledgement until it is in force."""
    newest = await deployment.configuration()
    service = newest.services["booking"]
    changed = msgspec.structs.replace(service, deadline_ms=2_000.0 + turn)
    services = newest.services | {"booking": changed}
    configuration = msgspec.structs.replace(newest, services=services)
    outcome = await deployment.apply(configuration)
    acknowledged_s = time.monotonic()
    await deployment.wait_in_force(outcome.revision, POLL_MS)
    return (time.monotonic() - acknowledged_s) * MS_PER_S


async def _quiet_cost(deployment: Deployment) -> dict[str, float]:
    """Return the idle cost of the nodes and of the busiest replica."""
    nodes = [place.node for place in deployment.nodes]
    replicas = [place.process for place in deployment.replicas]
    pids = {process.pid for process in nodes}
    bytes_before = read_socket_bytes(pids)
    cpu_before_s = {process.pid: process.cpu_s() for process in nodes + replicas}
    await asyncio.sleep(QUIET_S)
    bytes_after = read_socket_bytes(pids)
    sent = [bytes_after[pid].sent - bytes_before[pid].sent for pid in pids]
    totals = [bytes_after[pid].total - bytes_before[pid].total for pid in pids]
    used_s = {
        each.pid: each.cpu_s() - cpu_before_s[each.pid] for each in nodes + replicas
    }
    node_s = [used_s[pid] for pid in pids]
    resident = [_resident_bytes(pid) for pid in pids]
    return {
        "node_sent_bytes_per_s": sum(sent) / len(pids) / QUIET_S,
        "node_bytes_per_s": sum(totals) / len(pids) / QUIET_S,
        "node_bytes_per_s_max": max(totals) / QUIET_S,
        "node_cpu_share": sum(node_s) / len(pids) / QUIET_S,
        "node_cpu_share_max": max(node_s) / QUIET_S,
        "node_resident_bytes_max": max(resident),
        "replica_cpu_share_max": max(used_s[each.pid] for each in replicas) / QUIET_S,
    }


async def _measure(nodes: int, seed: int) -> dict[str, float]:
    topology = msgspec.structs.replace(fleet(nodes), seed=seed)
    async with serve(topology) as deployment:
        figures = await _quiet_cost(deployment)
        spread_ms = [await _change(deployment, turn) for turn in range(CHANGES)]
    figures["in_force_ms_median"] = sorted(spread_ms)[CHANGES // 2]
    figures["in_force_ms_max"] = max(spread_ms)
    report("size_done", nodes=nodes, **figures)
    return {f"{name}_of_{nodes}": value for name, value in figures.items()}


async def run(seed: int) -> Findings:
    """Measure all fleet sizes; one that fails has no figures and misses its targets."""
    figures = {}
    targets = []
    failed: list[int] = []
    for nodes in SIZES:
        try:
            figures |= await _measure(nodes, seed)
        except (CicadawheelError, TimeoutError) as error:
            failed.append(nodes)
            report("size_failed", nodes=nodes, reason=error)
        targets += [
            at_most(f"in_force_ms_max_of_{nodes}", IN_FORCE_MS),
            at_most(f"node_bytes_per_s_max_of_{nodes}", BYTES_PER_S),
            at_most(f"node_cpu_share_of_{nodes}", CPU_SHARE),
            at_most(f"node_resident_bytes_max_of_{nodes}", MEMORY_BYTES),
        ]
    parameters = {
        "changes": CHANGES,
        "quiet_s": QUIET_S,
        "poll_ms": POLL_MS,
        "replicas": fleet(1).replicas,
        "failed_sizes": " ".join(map(str, failed)),
    }
    return Findings(parameters, figures, tuple(targets))


EXPERIMENT = Experiment(
    "spread", "Time to be in force everywhere, and the cost of a quiet node.", run
)
