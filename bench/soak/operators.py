"""Two concurrent operators that keep changing and reading the configuration."""

import asyncio
import random

import msgspec

from bench.launcher import Deployment
from bench.pacing import unix_ms
from cicadawheel.control.command import ApplyConfiguration
from cicadawheel.errors import CicadawheelError
from cicadawheel.operator import OperatorClient, new_operation_id
from cicadawheel.timer import MS_PER_S

CHANGE_PAUSE_MS = 300.0
READ_PAUSE_MS = 150.0
READ_TIMEOUT_MS = 1_000.0
PROBES_PER_S = (5, 50)


class Acknowledged(msgspec.Struct, frozen=True):
    """A configuration change that control has acknowledged."""

    revision: int
    expected_revision: int
    at_ms: int


class Operators:
    """Changes and reads the configuration, and counts consistency violations.

    Parameters
    ----------
    deployment : Deployment
        The deployment whose control replicas are used.
    rng : random.Random
        Draws the changes and the replica to read from.
    """

    def __init__(self, deployment: Deployment, rng: random.Random):
        self.deployment = deployment
        self.acknowledged: list[Acknowledged] = []
        self.old_reads = 0
        self.races_won_twice = 0
        self.reads = 0
        self._rng = rng

    async def run(self) -> None:
        """Change and read the configuration until cancelled."""
        await asyncio.gather(self._change(), self._read())

    async def newest_is_kept(self) -> bool:
        """Return whether control still has the newest change it acknowledged."""
        newest = max((one.revision for one in self.acknowledged), default=0)
        return (await self.deployment.configuration()).revision >= newest

    async def _change(self) -> None:
        addresses = self.deployment.operator_addresses
        clients = [OperatorClient(addresses), OperatorClient(addresses[::-1])]
        while True:
            await asyncio.gather(*map(self._race, clients))
            self._count_races()
            await asyncio.sleep(CHANGE_PAUSE_MS / MS_PER_S)

    async def _race(self, client: OperatorClient) -> None:
        try:
            newest = await client.configuration()
            command = self._draw_change(newest)
            outcome = await client.send(command)
        except CicadawheelError:
            # One of two racing changes is expected to conflict. The answer may also
            # have been lost.
            return
        self.acknowledged.append(
            Acknowledged(outcome.revision, newest.revision, unix_ms())
        )

    def _draw_change(self, newest) -> ApplyConfiguration:
        probes_per_s = float(self._rng.randint(*PROBES_PER_S))
        measuring = msgspec.structs.replace(newest.measuring, probes_per_s=probes_per_s)
        return ApplyConfiguration(
            now_ms=0,
            operation=new_operation_id(),
            expected_revision=newest.revision,
            configuration=msgspec.structs.replace(newest, measuring=measuring),
        )

    def _count_races(self) -> None:
        two = self.acknowledged[-2:]
        if len(two) == 2 and two[0].expected_revision == two[1].expected_revision:
            self.races_won_twice += 1

    async def _read(self) -> None:
        while True:
            await asyncio.sleep(READ_PAUSE_MS / MS_PER_S)
            known = max((one.revision for one in self.acknowledged), default=0)
            address = self._rng.choice(self.deployment.operator_addresses)
            client = OperatorClient((address,), READ_TIMEOUT_MS)
            try:
                configuration = await client.configuration()
            except CicadawheelError:
                continue
            self.reads += 1
            self.old_reads += configuration.revision < known
