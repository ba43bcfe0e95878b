"""Control replica processes that are killed or frozen under concurrent changes."""

import asyncio
import random
import resource
import shutil
import signal

import pytest

from bench.launcher import Deployment, wait_for
from bench.ports import free_port
from bench.process import Process, stop_all
from bench.topology import Topology
from cicadawheel.configuration import Configuration, DataCentreRule
from cicadawheel.control.command import ApplyConfiguration
from cicadawheel.errors import CicadawheelError
from cicadawheel.operator import (
    ConflictError,
    OperatorClient,
    ReplicaAction,
    ReplicaChange,
    new_operation_id,
)

TOPOLOGY = Topology(name="control", data_centres=("north", "south"), services=())


class History:
    """The changes that operators made, and the results that they received."""

    def __init__(self):
        self.done = []
        self.conflicts = 0
        self.stale_reads = []

    def newest(self):
        return max((revision for _, revision in self.done), default=0)

    def check(self, final_revision):
        """Check compare-and-set semantics, and that no acknowledged change was lost."""
        expected = [expected for expected, _ in self.done]
        revisions = [revision for _, revision in self.done]
        assert len(set(expected)) == len(expected), "two changes of one revision won"
        assert len(set(revisions)) == len(revisions)
        for before, after in zip(
            sorted(self.done), sorted(self.done)[1:], strict=False
        ):
            assert before[1] <= after[0], "a change was lost"
        assert final_revision >= self.newest()
        assert self.stale_reads == []


async def operate(deployment, history, seed):
    """Change the configuration at its latest revision repeatedly.

    Each operator contacts a different replica first.
    """
    rng = random.Random(seed)
    addresses = deployment.operator_addresses
    first = seed % len(addresses)
    operators = OperatorClient(addresses[first:] + addresses[:first])
    while True:
        try:
            acknowledged = history.newest()
            found = (await operators.configuration()).revision
            if found < acknowledged:
                history.stale_reads.append((found, acknowledged))
            name = rng.choice(["north", "south"])
            command = ApplyConfiguration(
                now_ms=0,
                operation=new_operation_id(),
                expected_revision=found,
                configuration=Configuration(data_centres={name: DataCentreRule(name)}),
            )
            outcome = await operators.send(command)
            history.done.append((found, outcome.revision))
        except ConflictError:
            history.conflicts += 1
        except CicadawheelError:
            continue


async def leader_of(deployment):
    """Return the process of the leader."""
    status = await deployment.operators.status()
    [place] = [one for one in deployment.replicas if one.name == status.leader]
    return place.process


async def wait_changes(history, count):
    wanted = len(history.done) + count

    async def reached():
        return len(history.done) >= wanted

    await wait_for(reached, f"{count} more changes", 20_000)


async def kill_leader(deployment, history):
    process = await leader_of(deployment)
    process.kill()
    await wait_changes(history, 10)
    process.start()


async def freeze_leader(deployment, history):
    process = await leader_of(deployment)
    process.send(signal.SIGSTOP)
    await wait_changes(history, 10)
    process.send(signal.SIGCONT)
    await wait_changes(history, 10)


async def fail_writes_of_leader(deployment, history):
    process = await leader_of(deployment)
    unlimited = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, unlimited[1]))
    await wait_changes(history, 20)
    others = [one for one in deployment.replicas if one.process is not process]
    status = await OperatorClient(tuple(one.operator for one in others)).status()
    assert status.leader in [one.name for one in others]
    process.kill()
    process.start()


async def kill_each(deployment, history):
    for place in deployment.replicas:
        place.process.kill()
        await wait_changes(history, 5)
        place.process.start()
        await wait_changes(history, 5)


async def kill_all(deployment, history):
    for place in deployment.replicas:
        place.process.kill()
    for place in deployment.replicas:
        place.process.start()


def make_replica(deployment, name):
    """Return the process of an additional replica, and its address."""
    like = deployment.replicas[0]
    address = f"127.0.0.1:{free_port()}"
    settings = (deployment.folder / f"{like.name}.ini").read_text()
    for old, new in (
        (f"name = {like.name}", f"name = {name}"),
        (f"replica_address = {like.replica}", f"replica_address = {address}"),
        (str(like.stream), f"127.0.0.1:{free_port()}"),
        (str(like.operator), f"127.0.0.1:{free_port()}"),
        (f"{like.name}-data", f"{name}-data"),
    ):
        assert old in settings
        settings = settings.replace(old, new)
    path = deployment.folder / f"{name}.ini"
    path.write_text(settings)
    arguments = ["cicadawheel", "control", str(path)]
    return Process(name, arguments, deployment.folder), address


def test_second_replica_loss_after_lost_disk_was_replaced():
    async def main():
        async with Deployment(TOPOLOGY) as deployment:
            history = History()
            writer = asyncio.ensure_future(operate(deployment, history, 1))
            await wait_changes(history, 20)
            leader = await leader_of(deployment)
            lost, kept = [p for p in deployment.replicas if p.name != leader.name]
            lost.process.kill()
            shutil.rmtree(deployment.folder / f"{lost.name}-data")
            fresh, address = make_replica(deployment, "control-4")
            fresh.start()
            operators = deployment.operators
            await operators.change_replicas(
                ReplicaChange(ReplicaAction.REMOVE, lost.name)
            )
            await operators.change_replicas(
                ReplicaChange(ReplicaAction.ADD, "control-4", address)
            )
            kept.process.kill()
            await wait_changes(history, 20)
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            history.check((await deployment.configuration()).revision)
            await stop_all([fresh])

    asyncio.run(main())


FAULTS = [kill_leader, freeze_leader, fail_writes_of_leader, kill_each, kill_all]


@pytest.mark.parametrize("fault", FAULTS)
def test_concurrent_operators_during_faults(fault):
    async def main():
        async with Deployment(TOPOLOGY) as deployment:
            history = History()
            writers = [
                asyncio.ensure_future(operate(deployment, history, seed))
                for seed in range(3)
            ]
            await wait_changes(history, 20)
            await fault(deployment, history)
            await wait_changes(history, 20)
            for writer in writers:
                writer.cancel()
            await asyncio.gather(*writers, return_exceptions=True)
            history.check((await deployment.configuration()).revision)
            assert history.conflicts > 0

    asyncio.run(main())
