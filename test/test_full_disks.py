"""Disks of replicas that are full for a while, one after the other."""

import asyncio
import contextlib
import errno
import random

import pytest
from replicas import LOST_LEADER, Deployment, DiskFiles, command

from cicadawheel.control import daemon as control_daemon
from cicadawheel.errors import StorageError, StorageFullError

ROUNDS = 9
CHANGES = 15


class FullFiles(DiskFiles):
    """A folder on a disk that is full while its name is in ``full``."""

    full = set()

    def append(self, name, data):
        if self.is_full():
            super().append(name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        super().append(name, data)

    def sync(self, name):
        if self.is_full():
            raise OSError(errno.ENOSPC, "No space left on device")
        super().sync(name)

    def is_full(self):
        return any(self.folder.endswith(f"/{name}") for name in self.full)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_changes_go_on_after_each_disk_was_full_in_turn(tmp_path, seed):
    # Another system refused all changes long after the last disk had room again.
    async def body():
        FullFiles.full = set()
        names = ("a", "b", "c")
        deployment = Deployment(tmp_path, *names, snapshot_entries=10)
        deployment.start(*names, files=FullFiles)
        chosen = random.Random(seed)
        done = ["first"]
        await deployment.propose("first")
        for round_number in range(ROUNDS):
            name = names[round_number % len(names)]
            if chosen.random() < 0.3:
                name = (await deployment.elect()).log.replica
            FullFiles.full = {name}
            others = [one for one in names if one != name]
            texts = [f"{round_number}-{number}" for number in range(CHANGES)]
            failed = deployment.running[name].task
            await propose_elsewhere(deployment, others, texts)
            with pytest.raises(StorageFullError):
                await failed
            del deployment.running[name]
            # Started again while there is no room, as `run_control` does.
            deployment.start(name, files=FullFiles)
            with pytest.raises(StorageFullError):
                await deployment.running[name].task
            del deployment.running[name]
            FullFiles.full = set()
            deployment.start(name, files=FullFiles)
            done += texts
            await wait_for_all(deployment, done)
        await deployment.close()

    asyncio.run(body())


def test_leader_is_found_while_the_task_of_the_first_replica_has_ended(tmp_path):
    # The test above waited at an ended replica, which never sees the next leader.
    async def body():
        FullFiles.full = set()
        deployment = Deployment(tmp_path, "a", "b", "c")
        deployment.start("a", "b", "c", files=FullFiles)
        await deployment.propose("first")
        FullFiles.full = {"a"}
        with contextlib.suppress(*LOST_LEADER):
            await deployment.running["b"].log.propose(command("second"))
        with pytest.raises(StorageFullError):
            await deployment.running["a"].task
        for name in ("b", "c"):
            await deployment.stop(name)
            deployment.start(name, files=FullFiles)
        assert list(deployment.running) == ["a", "b", "c"]
        assert deployment.leader() is None
        assert (await deployment.elect()).log.replica in ("b", "c")
        FullFiles.full = set()
        del deployment.running["a"]
        await deployment.close()

    asyncio.run(body())


async def propose_elsewhere(deployment, names, texts):
    """Propose commands until the replicas with room hold them all."""
    for text in texts:
        await deployment.propose_until_applied(text)
    for name in names:
        replica = deployment.running[name]
        await replica.until(lambda r=replica: set(texts) <= set(r.machine.texts))


async def wait_for_all(deployment, texts):
    """Wait until all replicas hold the same commands, these and no others.

    A command whose outcome was unknown may have been applied twice.
    """
    first, *others = deployment.running.values()
    await first.until(lambda: set(first.machine.texts) == set(texts))
    for replica in others:
        await replica.until(lambda r=replica: r.machine.texts == first.machine.texts)


def test_process_waits_for_room_and_goes_on(monkeypatch):
    ends = iter(
        [
            StorageFullError("full", step="write"),
            StorageFullError("full", step="open"),
            StorageError("broken", step="write"),
        ]
    )
    waits = []

    def run_daemon(*args):
        raise next(ends)

    monkeypatch.setattr(control_daemon, "run_daemon", run_daemon)
    monkeypatch.setattr(control_daemon, "name_replica", lambda settings: settings)
    monkeypatch.setattr(control_daemon.time, "sleep", waits.append)
    with pytest.raises(StorageError, match="broken"):
        control_daemon.run_control(type("Settings", (), {"replica": "a"})())
    assert len(waits) == 2
