"""Replication over loopback connections, with real files."""

import asyncio
import errno
import shutil

import pytest
from replicas import Deployment, command, free_address

from bench.faultproxy import Direction, Faults
from cicadawheel.control.replica import replica_changes
from cicadawheel.control.replica.bootstrap import BootstrapState
from cicadawheel.control.replica.status import RepairState
from cicadawheel.control.storage import DiskFiles
from cicadawheel.errors import (
    CommandRefusedError,
    NoQuorumError,
    NotLeaderError,
    StorageError,
)
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S


@pytest.fixture
def run_trio(tmp_path):
    """Run a test coroutine with a deployment of three replicas, and stop them after."""

    def run(body, **options):
        async def main():
            deployment = Deployment(tmp_path, "a", "b", "c", **options)
            try:
                await body(deployment)
            finally:
                await deployment.close()

        asyncio.run(main())

    return run


def texts(count, start=0):
    return [str(number) for number in range(start, start + count)]


def test_command_proposed_at_any_replica_reaches_all(run_trio):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.elect()
        for name in "abc":
            outcome = await trio.running[name].log.propose(command(name))
            assert outcome.message == name
        await trio.wait_for_texts(["a", "b", "c"])

    run_trio(body)


def test_read_at_a_follower_sees_the_last_command(run_trio):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.propose(*texts(20))
        for replica in trio.running.values():
            await replica.log.confirm_read()
            assert replica.machine.texts == texts(20)

    run_trio(body)


def test_restart_of_all_replicas_after_many_changes(run_trio):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.propose_until_applied(*texts(300))
        await trio.propose_until_applied(*texts(300, 300))
        await trio.stop()
        trio.start("a", "b", "c")
        await trio.wait_for_texts_in_any_order(texts(600))
        assert (await trio.elect()).log.status().snapshot_index > 0

    run_trio(body, snapshot_entries=100)


def test_leader_loss(run_trio):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.propose("1")
        leader = await trio.elect()
        await trio.stop(leader.log.replica)
        await trio.propose("2")
        await trio.wait_for_texts(["1", "2"])

    run_trio(body)


def test_no_request_fails_while_leaders_resign(run_trio):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.elect()
        sent = []

        async def send(replica, name):
            for number in range(60):
                sent.append(f"{name}-{number}")
                await replica.log.propose(command(sent[-1]))

        senders = [
            asyncio.ensure_future(send(replica, name))
            for name, replica in trio.running.items()
        ]
        for _ in range(5):
            await (await trio.elect()).log.resign()
        await asyncio.gather(*senders)
        await trio.elect()
        found = trio.running["a"].machine
        await trio.running["a"].until(lambda: len(found.texts) == len(sent))
        assert sorted(found.texts) == sorted(sent)

    run_trio(body)


def test_without_majority_nothing_is_acknowledged(run_trio):
    async def body(trio):
        trio.start("a", "b", "c")
        leader = await trio.elect()
        for name in {"a", "b", "c"} - {leader.log.replica}:
            await trio.stop(name)
        with pytest.raises((NoQuorumError, NotLeaderError)):
            await leader.log.propose(command("1"))
        with pytest.raises((NoQuorumError, NotLeaderError)):
            await leader.log.confirm_read()
        assert leader.machine.texts == []

    run_trio(body)


def test_partitioned_leader_is_replaced_and_catches_up(run_trio):
    async def body(trio):
        await trio.start_proxies()
        trio.start("a", "b", "c")
        await trio.propose("1")
        old = await trio.elect()
        trio.cut_off(old.log.replica)
        read = asyncio.ensure_future(old.log.confirm_read())
        with pytest.raises(NoQuorumError):
            await old.log.propose(command("lost"))
        with pytest.raises((NoQuorumError, NotLeaderError)):
            await read
        assert not old.log.leads
        new = await trio.elect(excluding=[old.log.replica])
        for text in texts(200, 2):
            await new.log.propose(command(text))
        assert old.machine.texts == ["1"]
        trio.cut_off()
        await trio.wait_for_texts(["1", *texts(200, 2)])
        await old.log.confirm_read()

    run_trio(body)


def test_one_way_partition_between_two_replicas(run_trio):
    async def body(trio):
        await trio.start_proxies()
        trio.start("a", "b", "c")
        await trio.propose("1")
        leader = (await trio.elect()).log.replica
        other = next(name for name in "abc" if name != leader)
        trio.proxies[leader, other].set_faults(Faults(frozen=Direction.TO_TARGET))
        trio.proxies[other, leader].set_faults(Faults(frozen=Direction.FROM_TARGET))
        await trio.propose(*texts(50, 2))
        trio.cut_off()
        await trio.wait_for_texts(["1", *texts(50, 2)])

    run_trio(body)


def test_replica_with_lost_disk_is_refused_under_old_id(run_trio, tmp_path):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.propose("1")
        leader = await trio.elect()
        lost, kept = sorted({"a", "b", "c"} - {leader.log.replica})
        await trio.stop(lost, kept)
        shutil.rmtree(tmp_path / lost)
        trio.start(lost)
        wiped = trio.running[lost].log
        await wiped.wait_until(
            lambda: wiped.status().bootstrap is BootstrapState.REFUSED
        )
        with pytest.raises((NoQuorumError, NotLeaderError)):
            await leader.log.propose(command("2"))
        trio.start(kept)
        await trio.propose("3")

    run_trio(body)


def test_replica_without_leader_refuses_immediately_after_first_timeout(run_trio):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.propose("1")
        await trio.stop("b", "c")
        log = trio.running["a"].log
        with pytest.raises((NoQuorumError, NotLeaderError)):
            await log.propose(command("2"))
        await log.wait_until(lambda: log.leader is None)
        with pytest.raises(NotLeaderError):
            await log.propose(command("3"))
        async with asyncio.timeout(log.commit_timeout_ms / MS_PER_S / 2):
            with pytest.raises(NotLeaderError):
                await log.propose(command("4"))
        trio.start("b", "c")
        await trio.propose("5")

    run_trio(body)


def test_votes_from_unknown_folder_are_ignored(run_trio, tmp_path):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.propose("1")
        await trio.stop()
        shutil.rmtree(tmp_path / "b")
        trio.start("a")
        trio.initial = ()
        trio.start("b")
        with pytest.raises(NotLeaderError):
            await trio.running["a"].log.propose(command("2"))
        trio.initial = ("a", "b", "c")
        trio.start("c")
        await trio.propose("3")

    run_trio(body)


def test_lost_disk_comes_back_under_a_new_id(run_trio, tmp_path):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.propose(*texts(250))
        leader = await trio.elect()
        lost, kept = sorted({"a", "b", "c"} - {leader.log.replica})
        await trio.stop(lost)
        shutil.rmtree(tmp_path / lost)
        await trio.running[kept].log.remove_replica(lost)
        trio.start("d")
        await trio.running[kept].log.add_replica("d", trio.addresses["d"])
        await leader.until(lambda: leader.log.status().repair is RepairState.WHOLE)
        await trio.stop(kept)
        await trio.propose("after")
        await trio.wait_for_texts([*texts(250), "after"])
        with pytest.raises(CommandRefusedError):
            await leader.log.add_replica(lost, trio.addresses[lost])
        trio.start(lost)
        back = trio.running[lost].log
        await back.wait_until(lambda: back.status().bootstrap is BootstrapState.REFUSED)
        assert "this id was removed" in back.status().reason

    run_trio(body, snapshot_entries=100)


def test_full_disk_stops_the_replica_and_acknowledges_nothing(run_trio):
    class FullFiles(DiskFiles):
        full = False

        def sync(self, name):
            if self.full:
                raise OSError(errno.ENOSPC, "No space left on device")
            super().sync(name)

    async def body(trio):
        trio.start("a", "b", "c", files=FullFiles)
        await trio.propose("1")
        leader = await trio.elect()
        files = leader.log._runner.engine.storage.files
        files.full = True
        with pytest.raises(NoQuorumError):
            await leader.log.propose(command("2"))
        with pytest.raises(StorageError, match="No space left") as caught:
            await leader.task
        assert caught.value.peer == files.folder
        with pytest.raises(StorageError, match="No space left"):
            await leader.log.run()
        del trio.running[leader.log.replica]
        await trio.propose("3")
        trio.start(leader.log.replica)
        await trio.propose("4")
        found = trio.running[leader.log.replica].machine
        await trio.running[leader.log.replica].until(lambda: "4" in found.texts)
        await trio.wait_for_texts(found.texts)
        assert [text for text in found.texts if text != "2"] == ["1", "3", "4"]

    run_trio(body)


def test_replica_that_does_not_answer_is_not_added(run_trio, monkeypatch):
    monkeypatch.setattr(replica_changes, "CONNECT_TIMEOUT_MS", 300.0)

    async def body(trio):
        trio.start("a", "b", "c")
        leader = await trio.elect()
        for address in (free_address(), trio.addresses["a"]):
            with pytest.raises(CommandRefusedError, match="no such replica answers"):
                await leader.log.add_replica("d", address)
        assert leader.log.status().voters == ("a", "b", "c")
        assert "d" not in leader.log._runner.network._targets
        await trio.propose("1")

    run_trio(body)


def test_replica_with_the_data_of_another_is_not_dialled_on(run_trio, monkeypatch):
    async def connect(changer, request):
        address = Address(request.host, request.port)
        changer.network.add_target(request.replica, address)
        return changer.raft.membership.members[0].folder

    monkeypatch.setattr(replica_changes.ReplicaChanger, "_connect", connect)

    async def body(trio):
        trio.start("a", "b", "c")
        leader = await trio.elect()
        with pytest.raises(CommandRefusedError, match="that of another member"):
            await leader.log.add_replica("d", free_address())
        assert "d" not in leader.log._runner.network._targets

    run_trio(body)


def test_new_deployment_waits_for_all_its_replicas(run_trio):
    async def body(trio):
        trio.start("a", "b")
        log = trio.running["a"].log
        await log.wait_until(lambda: log.status().bootstrap is BootstrapState.WAITING)
        with pytest.raises(NotLeaderError):
            await log.propose(command("1"))
        trio.start("c")
        await trio.propose("2")
        await trio.wait_for_texts(["2"])

    run_trio(body)


def test_single_replica(tmp_path):
    async def main():
        single = Deployment(tmp_path, "a")
        single.start("a")
        await single.propose(*texts(10))
        await single.stop()
        single.start("a")
        await single.wait_for_texts(texts(10))
        await single.stop()

    asyncio.run(main())


def test_reports_reach_the_leader(run_trio):
    async def body(trio):
        trio.start("a", "b", "c")
        leader = await trio.elect()
        reports = asyncio.Queue()
        leader.log.on_report = lambda replica, data: reports.put_nowait((replica, data))
        for name, replica in trio.running.items():
            await replica.until(lambda r=replica: r.log.leader == leader.log.replica)
            replica.log.send_to_leader(name.encode())
            assert await reports.get() == (name, name.encode())

    run_trio(body)
