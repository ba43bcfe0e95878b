"""Recovery after a restart of all control replicas and after loss of the leader."""

import signal
import statistics
import time

from bench.control_only import Changer, control_only
from bench.experiment import Experiment, Findings, at_most
from bench.launcher import Deployment
from bench.progress import report

CHANGES = (500, 5_000)
RESTARTS = 3
LOSSES = 5
RESTART_TARGET_MS = 1_000.0
LOSS_TARGET_MS = 2_000.0


async def _make_changes(changer: Changer, count: int) -> None:
    for _ in range(count):
        await changer.change()
    report("changes_made", changes=count)


async def _restart_all(deployment: Deployment, changer: Changer) -> float:
    for place in deployment.replicas:
        place.process.kill()
    started_s = time.monotonic()
    for place in deployment.replicas:
        place.process.start()
    return await changer.change_soon(started_s)


async def _kill_leader(changer: Changer) -> float:
    leader = await changer.leader()
    started_s = time.monotonic()
    leader.process.kill()
    taken_ms = await changer.change_soon(started_s, without=leader.name)
    leader.process.start()
    return taken_ms


async def _freeze_leader(changer: Changer) -> float:
    leader = await changer.leader()
    started_s = time.monotonic()
    leader.process.send(signal.SIGSTOP)
    taken_ms = await changer.change_soon(started_s, without=leader.name)
    leader.process.send(signal.SIGCONT)
    return taken_ms


async def run(seed: int) -> Findings:
    """Measure restarts and leader losses with three replicas."""
    figures: dict[str, float] = {}
    targets = []
    async with Deployment(control_only(3, seed)) as deployment:
        changer = Changer(deployment)
        await changer.start()
        made = 0
        for count in CHANGES:
            await _make_changes(changer, count - made)
            made = count
            taken_ms = [
                await _restart_all(deployment, changer) for _ in range(RESTARTS)
            ]
            name = f"restart_after_{count}_changes"
            figures[f"{name}_median_ms"] = statistics.median(taken_ms)
            figures[f"{name}_max_ms"] = max(taken_ms)
            targets.append(at_most(f"{name}_max_ms", RESTART_TARGET_MS))
            report("restarted", changes=count, max_ms=max(taken_ms))
        for name, lose in (("killed", _kill_leader), ("frozen", _freeze_leader)):
            taken_ms = []
            for _ in range(LOSSES):
                taken_ms.append(await lose(changer))
                await changer.change_soon(time.monotonic())
            figures[f"leader_{name}_median_ms"] = statistics.median(taken_ms)
            figures[f"leader_{name}_max_ms"] = max(taken_ms)
            targets.append(at_most(f"leader_{name}_max_ms", LOSS_TARGET_MS))
            report("leader_lost", way=name, max_ms=max(taken_ms))
    parameters = {"replicas": 3, "restarts": RESTARTS, "losses": LOSSES}
    return Findings(parameters, figures, tuple(targets))


EXPERIMENT = Experiment(
    "recover", "Restart after many changes; the leader killed and frozen.", run
)
