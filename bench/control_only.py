"""A deployment with only control replicas, and configuration changes in it."""

import asyncio
import time

from bench.launcher import Deployment, wait_for
from bench.process import POLL_MS
from bench.topology import Topology
from cicadawheel.configuration import DataCentreRule, DataCentreState
from cicadawheel.control.command import ApplyConfiguration, SetDataCentre
from cicadawheel.errors import CicadawheelError
from cicadawheel.ids import Revision
from cicadawheel.operator import OperatorClient, new_operation_id
from cicadawheel.timer import MS_PER_S

ROUND_TIMEOUT_MS = 150.0
SETTLE_TIMEOUT_MS = 15_000.0
DATA_CENTRES = ("north", "south")


def control_only(replicas: int, seed: int) -> Topology:
    """Return a topology with control replicas and no nodes."""
    return Topology(
        name=f"control-{replicas}",
        data_centres=DATA_CENTRES,
        services=(),
        replicas=replicas,
        seed=seed,
    )


class Changer:
    """Makes successive configuration changes, each based on the latest revision.

    Parameters
    ----------
    deployment : Deployment
        The deployment to change.
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.revision = Revision(0)
        self._out = False

    async def start(self) -> None:
        """Apply an initial configuration with two data centres."""
        await wait_for(self._apply, "a first change", SETTLE_TIMEOUT_MS)

    async def change(self) -> float:
        """Make one change and return its duration in ms."""
        command = self._next_command()
        started_s = time.monotonic()
        outcome = await self.deployment.operate(command)
        taken_ms = (time.monotonic() - started_s) * MS_PER_S
        self.revision = outcome.revision
        return taken_ms

    async def change_soon(self, started_s: float, without: str = "") -> float:
        """Retry one change until it succeeds; return the ms since ``started_s``.

        The replica named ``without`` gets no requests.
        """
        places = self.deployment.replicas
        asked = tuple(one.operator for one in places if one.name != without)
        operators = OperatorClient(asked, timeout_ms=ROUND_TIMEOUT_MS)
        command = self._next_command()
        async with asyncio.timeout(SETTLE_TIMEOUT_MS / MS_PER_S):
            while True:
                try:
                    outcome = await operators.send(command)
                    break
                except CicadawheelError:
                    await asyncio.sleep(POLL_MS / MS_PER_S)
        self.revision = outcome.revision
        return (time.monotonic() - started_s) * MS_PER_S

    async def leader(self):
        """Return the place of the leader."""
        found = []

        async def known() -> bool:
            status = await self.deployment.operators.status()
            found[:] = [
                one for one in self.deployment.replicas if one.name == status.leader
            ]
            return bool(found)

        await wait_for(known, "a leader", SETTLE_TIMEOUT_MS)
        return found[0]

    def _next_command(self) -> SetDataCentre:
        self._out = not self._out
        return SetDataCentre(
            now_ms=0,
            operation=new_operation_id(),
            expected_revision=self.revision,
            data_centre=DATA_CENTRES[1],
            state=DataCentreState.OUT if self._out else DataCentreState.IN,
            force=True,
        )

    async def _apply(self) -> bool:
        found = await self.deployment.configuration()
        rules = {name: DataCentreRule(name) for name in DATA_CENTRES}
        command = ApplyConfiguration(
            now_ms=0,
            operation=new_operation_id(),
            expected_revision=found.revision,
            configuration=found.__class__(data_centres=rules),
        )
        self.revision = (await self.deployment.operate(command)).revision
        return True
