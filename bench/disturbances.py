"""Failures injected into a running deployment, each reverted after a given time."""

import asyncio
import random
import signal
import time
from collections.abc import Callable
from typing import Protocol

import msgspec

from bench.history import OutPeriod
from bench.launcher import Deployment
from bench.places import NodePlace
from bench.process import Process
from bench.progress import report
from cicadawheel.configuration import DataCentreState
from cicadawheel.control.command import SetDataCentre
from cicadawheel.errors import CicadawheelError
from cicadawheel.ids import DataCentreName
from cicadawheel.operator import new_operation_id
from cicadawheel.timer import MS_PER_S

DRAIN_TIMEOUT_MS = 40_000.0
SLOW_FACTOR = 10.0


class Disturbance(Protocol):
    """A temporary failure of one part of the deployment."""

    @property
    def place(self) -> str:
        """The affected part; it has at most one disturbance at a time."""

    async def run(self, lasts_s: float) -> None:
        """Inject the failure, wait, and revert it."""


class Killed(msgspec.Struct, frozen=True):
    """A process is killed with SIGKILL and restarted."""

    process: Process

    @property
    def place(self) -> str:
        """The name of the process."""
        return self.process.name

    async def run(self, lasts_s: float) -> None:
        """Kill the process, wait, and restart it."""
        self.process.send(signal.SIGKILL)
        await self.process.wait_ended()
        await asyncio.sleep(lasts_s)
        self.process.start()


class Stopped(msgspec.Struct, frozen=True):
    """A process is shut down gracefully with SIGTERM and restarted."""

    process: Process

    @property
    def place(self) -> str:
        """The name of the process."""
        return self.process.name

    async def run(self, lasts_s: float) -> None:
        """Stop the process, wait until it has drained, and restart it."""
        self.process.send(signal.SIGTERM)
        await self.process.wait_ended(DRAIN_TIMEOUT_MS)
        await asyncio.sleep(lasts_s)
        self.process.start()


class Frozen(msgspec.Struct, frozen=True):
    """A process is suspended with SIGSTOP, with its connections open, and resumed."""

    process: Process

    @property
    def place(self) -> str:
        """The name of the process."""
        return self.process.name

    async def run(self, lasts_s: float) -> None:
        """Suspend the process, wait, and resume it."""
        self.process.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(lasts_s)
        finally:
            self.process.send(signal.SIGCONT)


class FallenBack(msgspec.Struct, frozen=True):
    """An upstream restarts its cold start without announcing it."""

    node: NodePlace

    @property
    def place(self) -> str:
        """The name of the upstream."""
        return self.node.upstream.name

    async def run(self, lasts_s: float) -> None:
        """Restart the cold start and wait."""
        await self.node.fall_back()
        await asyncio.sleep(lasts_s)


class Slowed(msgspec.Struct, frozen=True):
    """An upstream's service time rises suddenly and later returns to normal."""

    node: NodePlace

    @property
    def place(self) -> str:
        """The name of the upstream."""
        return self.node.upstream.name

    async def run(self, lasts_s: float) -> None:
        """Slow the upstream down, wait, and restore its behaviour."""
        usual = self.node.options.behaviour
        slow = msgspec.structs.replace(usual, slow_factor=SLOW_FACTOR)
        await self.node.change(slow)
        await asyncio.sleep(lasts_s)
        await self.node.change(usual)


class TakenOut(msgspec.Struct, frozen=True):
    """A data centre is taken out by command and brought back in."""

    deployment: Deployment
    data_centre: str
    periods: list[OutPeriod]

    @property
    def place(self) -> str:
        """One name for all data centres, so that only one is out at a time."""
        return "data centres"

    async def run(self, lasts_s: float) -> None:
        """Take the data centre out, wait, and bring it back in."""
        await set_data_centre(self.deployment, self.data_centre, DataCentreState.OUT)
        out_ms = int(time.time() * MS_PER_S)
        await asyncio.sleep(lasts_s)
        back_ms = int(time.time() * MS_PER_S)
        self.periods.append(OutPeriod(self.data_centre, out_ms, back_ms))
        await set_data_centre(self.deployment, self.data_centre, DataCentreState.IN)


async def set_data_centre(
    deployment: Deployment, name: str, state: DataCentreState
) -> int:
    """Set a data centre's state and return the revision of the change."""
    newest = await deployment.configuration()
    command = SetDataCentre(
        now_ms=0,
        operation=new_operation_id(),
        expected_revision=newest.revision,
        data_centre=DataCentreName(name),
        state=state,
    )
    outcome = await deployment.operate(command)
    return outcome.revision


def draw_disturbance(
    deployment: Deployment, periods: list[OutPeriod], rng: random.Random
) -> Disturbance:
    """Return a random disturbance of a random part of the deployment."""
    node = rng.choice(deployment.nodes)
    replica = rng.choice(deployment.replicas)
    data_centre = rng.choice(deployment.topology.data_centres)
    makers: list[Callable[[], Disturbance]] = [
        lambda: Killed(node.upstream),
        lambda: Killed(node.node),
        lambda: Killed(replica.process),
        lambda: Stopped(node.upstream),
        lambda: Stopped(node.node),
        lambda: Frozen(node.upstream),
        lambda: Frozen(node.node),
        lambda: Frozen(replica.process),
        lambda: FallenBack(node),
        lambda: Slowed(node),
        lambda: TakenOut(deployment, data_centre, periods),
    ]
    return rng.choice(makers)()


async def run_disturbance(disturbance: Disturbance, lasts_s: float) -> bool:
    """Run a disturbance; return False if an error, as by another one, ended it."""
    try:
        await disturbance.run(lasts_s)
    except (CicadawheelError, TimeoutError) as error:
        kind = type(disturbance).__name__
        report("disturbance_ended", kind=kind, place=disturbance.place, reason=error)
        return False
    return True
