"""Evacuations while the disk of a replica stalls."""

import pytest
from processes import FROZEN, READ, THAWED, CallStream, make_topology, unix_ms

from bench.launcher import wait_for
from bench.machine import FaultFile, MachineFaults

EVACUATED_MS = 5_000
WATCHED_MS = 2_000
ATTACHED_MS = 10_000
OUT = "kushiro-b"


@pytest.fixture(scope="module")
def site(start_site):
    return start_site(make_topology(booking=6, replicas=5), add_faults)


async def add_faults(site):
    await site.add_control_links()
    site.disks = {}
    for place in site.replicas:
        disk = FaultFile(site.folder / f"{place.name}.faults")
        arguments = place.process.arguments[1:]
        place.process.arguments = ["bench.machine", str(disk.path), *arguments]
        site.disks[place.name] = disk


@pytest.fixture(autouse=True)
def restored_site(runner, site):
    yield

    async def restore():
        for disk in site.disks.values():
            disk.write(MachineFaults())
        await site.set_data_centre(OUT, "in")

    runner.run(restore())


async def attach_nodes(site, replica):
    """Make all nodes use one replica."""
    number = site.replicas.index(replica)
    others = [
        link
        for links in site.control_links.values()
        for link in [*links[:number], *links[number + 1 :]]
    ]
    for link in others:
        link.set_faults(FROZEN)

    async def attached():
        dumps = [await site.dump(place.admin) for place in site.nodes]
        return all(
            dump["control"] == replica.name and dump["control_connected"]
            for dump in dumps
        )

    await wait_for(attached, "all nodes at one replica", ATTACHED_MS)
    for link in others:
        link.set_faults(THAWED)


@pytest.mark.parametrize("role", ["follower", "leader"])
def test_evacuation_holds_at_nodes_of_a_replica_whose_disk_stalls(runner, site, role):
    # Cofio saw requests in an evacuated data centre for seconds on end.
    async def work():
        leader = await site.leader()
        follower = next(place for place in site.replicas if place is not leader)
        stalled = leader if role == "leader" else follower
        await attach_nodes(site, stalled)
        stream = CallStream(site, site.nodes, (READ,), width=6)
        site.disks[stalled.name].write(MachineFaults(stalled=True))
        out_ms = await site.set_data_centre(OUT, "out", force=True)
        from_ms, until_ms = out_ms + EVACUATED_MS, out_ms + EVACUATED_MS + WATCHED_MS
        await site.wait(lambda: unix_ms() > until_ms, "end of the observation period")
        await stream.end()
        late = [
            record
            for record in site.records()
            if record.data_centre == OUT and from_ms <= record.at_ms < until_ms
        ]
        assert late == []

    runner.run(work())
