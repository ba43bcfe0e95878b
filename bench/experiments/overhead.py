"""The latency that the system adds to a call, compared with plain relay hops.

There are three paths to an upstream with zero service time: direct, through the
entry on its own node, and through an entry on another node. The paths alternate in
short slices with echo servers behind the same number of plain relays.
"""

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

from bench.arrivals import PoissonArrivals
from bench.behaviour import Behaviour
from bench.calls import CallKind
from bench.echo import EchoLoad
from bench.experiment import Experiment, Findings, at_most
from bench.launcher import Deployment, wait_for
from bench.load import LoadPlan, run_load
from bench.load_result import LoadResult, percentile_ms
from bench.ports import free_port
from bench.process import Process, stop_all
from bench.progress import report
from bench.topology import ServiceSize, Topology, kushiro
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

TARGET_ADDED_MS = 0.33
RATES_PER_S = (77.0, 154.0, 308.0)
TARGET_RATE_PER_S = RATES_PER_S[0]
ROUNDS = 4
SLICE_MS = 3_000.0
WARM_UP_MS = 500.0
IDLE_S = 4.0
HOST = "127.0.0.1"
PATHS = ("direct", "entry_is_gate", "entry_to_gate")
READ = CallKind("read", "booking", path="/availability/x")


def _topology(seed: int) -> Topology:
    instant = Behaviour(service_time_ms=0.0, cold_concurrency=0)
    services = (
        ServiceSize("booking", 1, 10, behaviour=instant),
        ServiceSize("materials", 1, 10, behaviour=instant),
    )
    return Topology(
        name="overhead",
        data_centres=("kushiro-a",),
        services=services,
        answers=kushiro().answers,
        replicas=1,
        seed=seed,
    )


class _Echoes:
    """Echo servers behind zero, one and two relays."""

    def __init__(self, folder: Path):
        self.addresses: list[Address] = []
        self.processes: list[Process] = []
        for hops in range(len(PATHS)):
            port = free_port()
            arguments = ["bench", "echo", str(port)]
            if self.addresses:
                arguments += ["--target", str(self.addresses[-1])]
            self.addresses.append(Address(HOST, port))
            self.processes.append(Process(f"echo-{hops}", arguments, folder))

    async def start(self) -> None:
        """Start the processes and wait until they listen."""
        for process in self.processes:
            process.start()
        for address in self.addresses:
            await wait_for(lambda to=address: _listens(to), f"echo {address}", 10_000.0)


async def _listens(address: Address) -> bool:
    try:
        _, writer = await asyncio.open_connection(address.host, address.port)
    except OSError:
        return False
    writer.close()
    return True


class _Measurement:
    """The results of all slices at one rate."""

    def __init__(self, deployment: Deployment, echoes: _Echoes, rate_per_s: float):
        self.deployment = deployment
        self.rate_per_s = rate_per_s
        self.results = {path: LoadResult(path) for path in PATHS}
        self.echoes = [EchoLoad(address) for address in echoes.addresses]
        self.cpu_ms = dict.fromkeys(PATHS, 0.0)
        self.upstream_cpu_ms = dict.fromkeys(PATHS, 0.0)

    async def run_round(self, seed: int) -> None:
        """Run one slice of each path and of each echo."""
        arrivals = PoissonArrivals(self.rate_per_s)
        for path, echo in zip(PATHS, self.echoes, strict=True):
            await self._run_slice(path, seed)
            await echo.run(arrivals, SLICE_MS, WARM_UP_MS, seed)

    async def _run_slice(self, path: str, seed: int) -> None:
        own, other = self.deployment.nodes
        entry = {
            "direct": own.upstream_address,
            "entry_is_gate": own.caller,
            "entry_to_gate": other.caller,
        }[path]
        plan = LoadPlan(
            name=path,
            entries=(entry,),
            kinds=(READ,),
            arrivals=PoissonArrivals(self.rate_per_s),
            duration_ms=SLICE_MS,
            seed=seed,
            warm_up_ms=WARM_UP_MS,
            attempts=1,
        )
        nodes_s = own.node.cpu_s() + other.node.cpu_s()
        upstream_s = own.upstream.cpu_s()
        self.results[path].merge(await run_load(plan))
        nodes_s = own.node.cpu_s() + other.node.cpu_s() - nodes_s
        self.cpu_ms[path] += nodes_s * MS_PER_S
        self.upstream_cpu_ms[path] += (own.upstream.cpu_s() - upstream_s) * MS_PER_S

    def figures(self, idle_cpu_share: float) -> dict[str, float]:
        """Return the figures at this rate, with the rate as suffix of their names."""
        figures = {}
        for path in PATHS:
            result = self.results[path]
            figures[f"{path}_p50_ms"] = result.answered_ms(50)
            figures[f"{path}_p99_ms"] = result.answered_ms(99)
            idle_ms = result.duration_ms * idle_cpu_share
            calls = len(result.records)
            figures[f"{path}_nodes_cpu_ms"] = (self.cpu_ms[path] - idle_ms) / calls
            figures[f"{path}_upstream_cpu_ms"] = self.upstream_cpu_ms[path] / calls
            figures[f"{path}_not_answered"] = calls - result.counts().answered
        for hops, path in enumerate(PATHS[1:], start=1):
            for point in (50, 99):
                added_ms = (
                    figures[f"{path}_p{point}_ms"] - figures[f"direct_p{point}_ms"]
                )
                figures[f"{path}_added_p{point}_ms"] = added_ms
                floor_ms = self._echo_ms(hops, point) - self._echo_ms(0, point)
                figures[f"{path}_floor_added_p{point}_ms"] = floor_ms
                if floor_ms > 0:
                    figures[f"{path}_floor_ratio_p{point}"] = added_ms / floor_ms
        return {f"{name}_at_{self.rate_per_s:.0f}": figures[name] for name in figures}

    def _echo_ms(self, hops: int, point: float) -> float:
        return percentile_ms(self.echoes[hops].latency_us, point)


async def _idle_cpu_share(deployment: Deployment) -> float:
    nodes = [place.node for place in deployment.nodes]
    before_s = sum(node.cpu_s() for node in nodes)
    await asyncio.sleep(IDLE_S)
    return (sum(node.cpu_s() for node in nodes) - before_s) / IDLE_S


async def run(seed: int) -> Findings:
    """Measure every path at every rate."""
    figures: dict[str, float] = {}
    with TemporaryDirectory(prefix="cicadawheel-bench-") as name:
        folder = Path(name)
        echoes = _Echoes(folder)
        async with Deployment(_topology(seed), folder) as deployment:
            try:
                await echoes.start()
                outcome = await deployment.apply_answers()
                await deployment.wait_in_force(outcome.revision)
                figures = await _measure(deployment, echoes, seed)
            finally:
                await stop_all(echoes.processes)
    suffix = f"at_{TARGET_RATE_PER_S:.0f}"
    # The bound applies to the median too: 99 in 100 calls can't meet it if half of
    # them exceed it, and noise in the direct path's tail can't mask that.
    targets = [
        at_most(f"{path}_added_p{point}_ms_{suffix}", TARGET_ADDED_MS)
        for path in PATHS[1:]
        for point in (50, 99)
    ]
    targets += [
        at_most(f"{path}_not_answered_at_{rate:.0f}", 0)
        for path in PATHS
        for rate in RATES_PER_S
    ]
    parameters = {
        "rounds": ROUNDS,
        "slice_ms": SLICE_MS,
        "warm_up_ms": WARM_UP_MS,
        "rates_per_s": " ".join(f"{rate:.0f}" for rate in RATES_PER_S),
    }
    return Findings(parameters, figures, tuple(targets))


async def _measure(
    deployment: Deployment, echoes: _Echoes, seed: int
) -> dict[str, float]:
    idle_cpu_share = await _idle_cpu_share(deployment)
    figures = {"idle_node_cpu_share": idle_cpu_share / len(deployment.nodes)}
    measurements = [_Measurement(deployment, echoes, rate) for rate in RATES_PER_S]
    for turn in range(ROUNDS):
        for measurement in measurements:
            await measurement.run_round(seed * 100 + turn)
            report("round_done", turn=turn + 1, rate_per_s=measurement.rate_per_s)
    for measurement in measurements:
        figures |= measurement.figures(idle_cpu_share)
        for echo in measurement.echoes:
            echo.close()
    return figures


EXPERIMENT = Experiment(
    "overhead", "What a call costs directly, through one node and through two.", run
)
