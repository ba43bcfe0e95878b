"""Injected faults of connections, disks and clocks, and rolling restarts."""

import asyncio
import random
import signal
from collections.abc import Callable

import msgspec

from bench.disturbances import (
    Disturbance,
    FallenBack,
    Frozen,
    Killed,
    Slowed,
    Stopped,
    TakenOut,
)
from bench.faultproxy import Direction, FaultProxy, Faults
from bench.history import OutPeriod
from bench.machine import MachineFaults, lose_power
from bench.pacing import unix_ms
from bench.places import NodePlace
from bench.process import Process
from bench.progress import report
from bench.soak.promises import ALL_REPLICAS
from bench.soak.site import ReplicaMachine, SoakSite
from cicadawheel.configuration import DataCentreState
from cicadawheel.control.command import ANY_REVISION, SetDataCentre
from cicadawheel.errors import CicadawheelError
from cicadawheel.ids import DataCentreName
from cicadawheel.operator import new_operation_id

NO_CONNECTION_FAULTS = Faults()
NO_MACHINE_FAULTS = MachineFaults()
CONNECTION_FAULTS = (
    Faults(delay_ms=30.0, jitter_ms=60.0),
    Faults(frozen=Direction.TO_TARGET),
    Faults(frozen=Direction.FROM_TARGET),
    Faults(frozen=Direction.BOTH),
    Faults(refuse=True),
)
DISK_FAULTS = (MachineFaults(sync_delay_ms=200.0), MachineFaults(full=True))
STALLED_DISK = MachineFaults(stalled=True)
SILENT_SHARE = 0.5
"""The share of silenced connections, both in a fault and among the faults drawn."""
LONG_FAULT_S = 18.0
"""Added to the duration of stalled disks and evacuations, which then outlasts the bound
that `bench.soak.promises` allows for evacuations beside disturbed replicas."""
LONG_SHARE = 0.85
"""The share of long faults in the draws; those at a place that has one are skipped."""
LONG_OUT_SHARE = 0.3
"""The share of evacuations in the long faults; they should find disks that stall."""
CLOCK_STEPS_MS = (-60_000, -2_000, 2_000, 60_000)
SERIES_PAUSE_S = (0.1, 1.0)
SERIES_SIZE = 3
RESTART_S = 0.05
"""Downtime of each process in a rolling restart, as under a supervisor."""


DrawFault = Callable[[SoakSite, list[OutPeriod], random.Random], Disturbance]
"""Returns a random fault."""


class WaysFaulted(msgspec.Struct, frozen=True):
    """Delays, freezes in one or both directions, or refuses a process's connections.

    Open connections are reset before new ones are refused.
    """

    place: str
    proxies: tuple[FaultProxy, ...]
    faults: Faults

    async def run(self, lasts_s: float) -> None:
        """Inject the faults, wait ``lasts_s``, then clear them."""
        for proxy in self.proxies:
            proxy.set_faults(self.faults)
            if self.faults.refuse:
                proxy.cut()
        await asyncio.sleep(lasts_s)
        for proxy in self.proxies:
            proxy.set_faults(NO_CONNECTION_FAULTS)


class WaysSilenced(msgspec.Struct, frozen=True):
    """Silences some of the open connections for good, without a reset."""

    proxies: tuple[FaultProxy, ...]

    @property
    def place(self) -> str:
        """The name of all replicas: machines everywhere may lose connections."""
        return ALL_REPLICAS

    async def run(self, lasts_s: float) -> None:
        """Silence the connections; new ones work at once, ``lasts_s`` is unused."""
        for proxy in self.proxies:
            proxy.silence()


class MachineFaulted(msgspec.Struct, frozen=True):
    """Makes a replica's disk slow or full, or steps its clock forth and back."""

    machine: ReplicaMachine
    faults: MachineFaults

    @property
    def place(self) -> str:
        """The name of the replica."""
        return self.machine.replica.name

    async def run(self, lasts_s: float) -> None:
        """Inject the faults, wait ``lasts_s``, then clear them."""
        self.machine.faults.write(self.faults)
        await asyncio.sleep(lasts_s)
        self.machine.faults.write(NO_MACHINE_FAULTS)


class DiskStalled(MachineFaulted, frozen=True):
    """No sync of a replica's disk ends for a long time."""

    async def run(self, lasts_s: float) -> None:
        """Stall the disk for `LONG_FAULT_S` more than ``lasts_s``."""
        await super().run(lasts_s + LONG_FAULT_S)


class LongOut(TakenOut, frozen=True):
    """A data centre is taken out for a long time, and back in."""

    async def run(self, lasts_s: float) -> None:
        """Take the data centre out for `LONG_FAULT_S` more than ``lasts_s``."""
        await self._order(DataCentreState.OUT)
        out_ms = unix_ms()
        await asyncio.sleep(lasts_s + LONG_FAULT_S)
        lost = await self._is_lost()
        back_ms = unix_ms()
        self.periods.append(OutPeriod(self.data_centre, out_ms, back_ms, lost))
        await self._order(DataCentreState.IN)

    async def _order(self, state: DataCentreState) -> None:
        """Send an order that no other operator's change makes void."""
        command = SetDataCentre(
            now_ms=0,
            operation=new_operation_id(),
            expected_revision=ANY_REVISION,
            data_centre=DataCentreName(self.data_centre),
            state=state,
            force=True,
        )
        await self.deployment.operate(command)

    async def _is_lost(self) -> bool:
        try:
            newest = await self.deployment.configuration()
        except CicadawheelError as error:
            report("soak_control_silent", reason=error)
            return False
        return newest.takes_new_work(DataCentreName(self.data_centre))


class PowerLost(msgspec.Struct, frozen=True):
    """Cuts the power of replicas simultaneously, so that unsynced data is lost."""

    machines: tuple[ReplicaMachine, ...]
    rng: random.Random

    @property
    def place(self) -> str:
        """The name of the replica, or `ALL_REPLICAS` for more than one."""
        if len(self.machines) > 1:
            return ALL_REPLICAS
        return self.machines[0].replica.name

    async def run(self, lasts_s: float) -> None:
        """Kill the replicas, discard unsynced data, wait ``lasts_s``, then restart."""
        processes = [machine.replica.process for machine in self.machines]
        for process in processes:
            process.send(signal.SIGKILL)
        for process in processes:
            await process.wait_ended()
        for machine in self.machines:
            gone_bytes = lose_power(machine.data_folder, machine.faults, self.rng)
            report("unsynced_lost", place=machine.replica.name, size_bytes=gone_bytes)
        await asyncio.sleep(lasts_s)
        for process in processes:
            process.start()


class Rolled(msgspec.Struct, frozen=True):
    """Restarts nodes one after another; the restarts may overlap."""

    processes: tuple[Process, ...]
    pauses_s: tuple[float, ...]

    @property
    def place(self) -> str:
        """One name for all rolling restarts, so that only one runs at a time."""
        return "series"

    async def run(self, lasts_s: float) -> None:
        """Restart each without waiting for the previous one; ``lasts_s`` is unused."""
        stopped = []
        for process, pause_s in zip(self.processes, self.pauses_s, strict=True):
            one = Stopped(process).run(RESTART_S)
            stopped.append(asyncio.ensure_future(one))
            await asyncio.sleep(pause_s)
        await asyncio.gather(*stopped)


def draw_fault(
    site: SoakSite, periods: list[OutPeriod], rng: random.Random
) -> Disturbance:
    """Return a random fault at a random process, replica or data centre."""
    node = rng.choice(site.deployment.nodes)
    machine = rng.choice(site.machines)
    data_centre = rng.choice(site.deployment.topology.data_centres)
    series = rng.sample(site.deployment.nodes, SERIES_SIZE)
    control = machine.replica.process
    makers = (
        lambda: Killed(rng.choice((node.upstream, node.node, control))),
        lambda: Stopped(rng.choice((node.upstream, node.node, control))),
        lambda: Frozen(rng.choice((node.upstream, node.node, control))),
        lambda: rng.choice((FallenBack, Slowed))(node),
        lambda: TakenOut(site.deployment, data_centre, periods),
        lambda: _draw_connection_fault(site, node, machine, rng),
        lambda: _draw_connection_fault(site, node, machine, rng),
        lambda: MachineFaulted(machine, rng.choice(DISK_FAULTS)),
        lambda: MachineFaulted(
            machine, MachineFaults(clock_step_ms=rng.choice(CLOCK_STEPS_MS))
        ),
        lambda: PowerLost((machine,), rng),
        lambda: PowerLost(tuple(site.machines), rng),
        lambda: Rolled(
            tuple(place.node for place in series),
            tuple(rng.uniform(*SERIES_PAUSE_S) for _ in series),
        ),
    )
    return rng.choice(makers)()


def draw_long_fault(
    site: SoakSite, periods: list[OutPeriod], rng: random.Random
) -> Disturbance:
    """Return a random fault, mostly one that lasts long."""
    if rng.random() >= LONG_SHARE:
        return draw_fault(site, periods, rng)
    data_centre = rng.choice(site.deployment.topology.data_centres)
    if rng.random() < LONG_OUT_SHARE:
        return LongOut(site.deployment, data_centre, periods)
    return DiskStalled(rng.choice(site.machines), STALLED_DISK)


def draw_silent_fault(
    site: SoakSite, periods: list[OutPeriod], rng: random.Random
) -> Disturbance:
    """Return a random fault, often one that silences connections between processes."""
    if rng.random() >= SILENT_SHARE:
        return draw_fault(site, periods, rng)
    ways = site.ways
    proxies = [*ways.replica_links.values(), *ways.peer_proxies.values()]
    for links in ways.control_links.values():
        proxies += links
    return WaysSilenced(
        tuple(proxy for proxy in proxies if rng.random() < SILENT_SHARE)
    )


def _draw_connection_fault(
    site: SoakSite, node: NodePlace, machine: ReplicaMachine, rng: random.Random
) -> WaysFaulted:
    ways, replica = site.ways, machine.replica.name
    between = tuple(
        way for names, way in ways.replica_links.items() if replica in names
    )
    choices = (
        (node.upstream.name, (ways.upstream_proxies[node.name],)),
        (node.name, (ways.peer_proxies[node.name],)),
        (node.name, tuple(ways.control_links[node.name])),
        (replica, between),
    )
    place, proxies = rng.choice(choices)
    return WaysFaulted(place, proxies, rng.choice(CONNECTION_FAULTS))
