"""Injected faults of connections, disks and clocks, and rolling restarts."""

import asyncio
import random
import signal

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
from bench.places import NodePlace
from bench.process import Process
from bench.progress import report
from bench.soak.site import ReplicaMachine, SoakSite

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
CLOCK_STEPS_MS = (-60_000, -2_000, 2_000, 60_000)
SERIES_PAUSE_S = (0.1, 1.0)
SERIES_SIZE = 3
RESTART_S = 0.05
"""Downtime of each process in a rolling restart, as under a supervisor."""


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


class PowerLost(msgspec.Struct, frozen=True):
    """Cuts the power of replicas simultaneously, so that unsynced data is lost."""

    machines: tuple[ReplicaMachine, ...]
    rng: random.Random

    @property
    def place(self) -> str:
        """The name of the replica, or ``control-all`` for more than one."""
        if len(self.machines) > 1:
            return "control-all"
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
