"""Starts and stops a deployment of real processes on the loopback interface."""

import asyncio
import shutil
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from bench.places import Placement
from bench.process import POLL_MS, Process, ProcessEndedError, stop_all
from bench.record import Record, read_records
from bench.topology import FIRST_VERSION, Topology
from cicadawheel.answers import generate_configuration, read_answers
from cicadawheel.configuration import Configuration
from cicadawheel.control.command import ApplyConfiguration, OperatorCommand, Outcome
from cicadawheel.errors import CicadawheelError
from cicadawheel.ids import Revision
from cicadawheel.operator import ControlStatus, OperatorClient, new_operation_id
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

START_TIMEOUT_MS = 60_000.0
IN_FORCE_TIMEOUT_MS = 15_000.0
STATUS_POLL_MS = 100.0


async def wait_for(
    condition: Callable[[], Awaitable[bool]],
    what: str,
    timeout_ms: float,
    poll_ms: float = POLL_MS,
) -> None:
    """Wait until a condition holds; a `CicadawheelError` counts as not yet.

    Raises
    ------
    ProcessEndedError
        A process ended unexpectedly.
    TimeoutError
        The condition doesn't hold after ``timeout_ms``.
    """
    ends_ms = time.monotonic() * MS_PER_S + timeout_ms
    last = ""
    while True:
        try:
            if await condition():
                return
        except ProcessEndedError:
            raise
        except CicadawheelError as error:
            last = f": {error}"
        if time.monotonic() * MS_PER_S > ends_ms:
            raise TimeoutError(f"{what} not within {timeout_ms:.0f} ms{last}")
        await asyncio.sleep(poll_ms / MS_PER_S)


class Deployment:
    """The processes of a topology, used as an asynchronous context manager.

    Parameters
    ----------
    topology : Topology
        The topology to start.
    folder : Path or None
        The folder of settings, logs, data and records; None creates a temporary
        folder that is removed at the end.
    """

    def __init__(self, topology: Topology, folder: Path | None = None):
        self.topology = topology
        self._own_folder = folder is None
        self.folder = folder or Path(tempfile.mkdtemp(prefix="cicadawheel-bench-"))
        placement = Placement(topology, self.folder)
        self.replicas = placement.place_replicas()
        self.nodes = placement.place_nodes(self.replicas)
        self.operators = OperatorClient(self.operator_addresses)

    @property
    def operator_addresses(self) -> tuple[Address, ...]:
        """The operator addresses of the replicas."""
        return tuple(place.operator for place in self.replicas)

    @property
    def processes(self) -> list[Process]:
        """All processes: upstreams first, then nodes, then control."""
        upstreams = [place.upstream for place in self.nodes]
        nodes = [place.node for place in self.nodes]
        return [*upstreams, *nodes, *(place.process for place in self.replicas)]

    async def __aenter__(self) -> "Deployment":
        """Start all processes and wait until control lists all upstreams."""
        try:
            await self.start()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop all processes, upstreams first."""
        await stop_all([place.upstream for place in self.nodes])
        await stop_all(self.processes)
        if self._own_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def start(self) -> None:
        """Start control and the first version, and wait until all nodes are listed."""
        for place in self.replicas:
            place.process.start()
        await wait_for(self._control_answers, "control", START_TIMEOUT_MS)
        await self.start_version(FIRST_VERSION)

    async def start_version(self, version: str) -> None:
        """Start a version's nodes and upstreams, and wait until they are listed."""
        for place in self.nodes:
            if place.options.version == version:
                place.node.start()
                place.upstream.start()
        started = sum(1 for place in self.nodes if place.node.log_path.exists())
        await self.wait_registered(started)

    async def wait_registered(self, nodes: int) -> None:
        """Wait until control lists at least this many nodes that it has heard from."""

        async def listed() -> bool:
            self._check_running()
            status = await self.operators.status()
            return sum(1 for node in status.nodes if node.last_heard_ms >= 0) >= nodes

        await wait_for(
            listed, f"{nodes} nodes listed", START_TIMEOUT_MS, STATUS_POLL_MS
        )

    async def configuration(self) -> Configuration:
        """Return control's current configuration."""
        return await self.operators.configuration()

    async def operate(self, command: OperatorCommand) -> Outcome:
        """Send an operator's command and return its outcome."""
        return await self.operators.send(command)

    async def apply_answers(self) -> Outcome:
        """Apply the configuration generated from the topology's answers."""
        configuration = generate_configuration(read_answers(self.topology.answers))
        return await self.apply(configuration)

    async def apply(self, configuration: Configuration) -> Outcome:
        """Apply a configuration, based on the latest revision."""
        newest = await self.configuration()
        command = ApplyConfiguration(
            now_ms=0,
            operation=new_operation_id(),
            expected_revision=newest.revision,
            configuration=configuration,
        )
        return await self.operate(command)

    async def wait_in_force(
        self, revision: Revision, poll_ms: float = POLL_MS
    ) -> ControlStatus:
        """Wait until a revision is in force at every node."""
        return await self.operators.wait_in_force(
            revision, IN_FORCE_TIMEOUT_MS, poll_ms
        )

    def entries(self) -> tuple[Address, ...]:
        """Return the entries' addresses for callers."""
        return tuple(place.caller for place in self.nodes)

    def records(self) -> list[Record]:
        """Return the records of all upstreams so far."""
        return read_records(self.folder)

    async def _control_answers(self) -> bool:
        self._check_running()
        status = await self.operators.status()
        return status.leader is not None

    def _check_running(self) -> None:
        for place in self.replicas:
            place.process.check_running()
        for place in self.nodes:
            if place.node.log_path.exists():
                place.node.check_running()
                place.upstream.check_running()
