"""The system under soak: a deployment, its proxied connections and replica faults."""

from pathlib import Path

import msgspec

from bench.launcher import Deployment
from bench.machine import FaultFile
from bench.places import ReplicaPlace
from bench.topology import Override, Topology, kushiro
from bench.ways import FaultLinks

REPLICAS = 5
BOOKING_SHARE = 0.6
"""The share of upstreams that serve bookings, as in Kushiro's deployment."""

LEASE_MS = 2_500
"""Short enough that a lost node leaves the members while a fault still lasts."""


class ReplicaMachine(msgspec.Struct, frozen=True):
    """A replica with injectable disk and clock faults."""

    replica: ReplicaPlace
    faults: FaultFile
    data_folder: Path


class SoakSite:
    """The processes of a soak, with a fault proxy on each connection between them.

    Parameters
    ----------
    deployment : Deployment
        A deployment that has not been started.
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.ways = FaultLinks(deployment)
        self.machines = [self._make_machine(one) for one in deployment.replicas]

    async def start(self) -> None:
        """Start the proxies and all processes, and apply the answers."""
        await self.ways.add_control_links()
        await self.ways.add_replica_links()
        await self.ways.add_upstream_proxies()
        await self.ways.add_peer_proxies()
        await self.deployment.start()
        outcome = await self.deployment.apply_answers()
        await self.deployment.wait_in_force(outcome.revision)

    async def close(self) -> None:
        """Stop all processes and close the proxies."""
        await self.deployment.__aexit__(None, None, None)
        await self.ways.close_proxies()

    def _make_machine(self, replica: ReplicaPlace) -> ReplicaMachine:
        folder = self.deployment.folder
        faults = FaultFile(folder / f"{replica.name}.faults")
        process = replica.process
        process.arguments = ["bench.machine", str(faults.path), *process.arguments[1:]]
        return ReplicaMachine(replica, faults, folder / f"{replica.name}-data")


def soak_topology(nodes: int, seed: int) -> Topology:
    """Return Kushiro's topology with the given number of nodes and upstreams."""
    usual = kushiro()
    booking = round(nodes * BOOKING_SHARE)
    sizes = {"booking": booking, "materials": nodes - booking}
    services = tuple(
        msgspec.structs.replace(size, upstreams=sizes[size.service])
        for size in usual.services
    )
    return msgspec.structs.replace(
        usual,
        services=services,
        seed=seed,
        replicas=REPLICAS,
        overrides=(Override("control", "lease_ms", str(LEASE_MS)),),
    )
