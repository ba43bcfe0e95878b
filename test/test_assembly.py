"""Tests of replicas that find each other by seeds, and replace lost members."""

import asyncio
import errno
import functools
import threading

import pytest
from replicas import Replica, command

from bench.ports import free_port
from cicadawheel.control.raft.entry import HardState, LogEntry, WriteBatch
from cicadawheel.control.raft.membership import ReplicaMember
from cicadawheel.control.replica.message import Join
from cicadawheel.control.replica_naming import clear_folder, name_replica
from cicadawheel.control.storage import DiskFiles, Storage
from cicadawheel.control.storage.identity import Identity
from cicadawheel.control.storage.store import IDENTITY_NAME
from cicadawheel.control.storage.value import write_value
from cicadawheel.errors import ReplicaRemovedError, StorageError
from cicadawheel.settings import Address, load_settings

HOSTS = [f"127.0.0.{number}" for number in range(11, 17)]
FOLDER = "folder"
RECOVERY_S = 15.0
INI = """
[process]
name = {host}
data_centre = north
key = a key of sixteen characters
[control]
stream_address = {host}:{stream_port}
replica_address = {host}:{port}
operator_address = {host}:1
seeds = {seeds}
may_form = {may_form}
replica_losses = 2
data_folder = {folder}
election_timeout_ms = 200
heartbeat_ms = 40
"""


class LoopbackVms:
    """Replicas on loopback addresses that stand for VMs, all with the same ports."""

    def __init__(self, folder):
        self.folder = folder
        self.port = free_port()
        self.running = {}
        self.seeds = HOSTS[:3]

    def settings(self, host, may_form=True):
        path = self.folder / f"{host}.ini"
        seeds = ",".join(f"{seed}:9" for seed in self.seeds)
        text = INI.format(
            host=host,
            stream_port=self.port + 1,
            port=self.port,
            seeds=seeds,
            may_form=may_form,
            folder=self.folder / host,
        )
        path.write_text(text)
        return load_settings(path)

    def start(self, *hosts, may_form=True, files=DiskFiles):
        for host in hosts:
            settings = name_replica(self.settings(host, may_form))
            self.running[host] = Replica(settings, files)

    async def stop(self, *hosts):
        for host in hosts or list(self.running):
            await self.running.pop(host).stop()

    def lose_disk(self, host):
        clear_folder(self.settings(host))

    def leader(self):
        return next((one for one in self.running.values() if one.log.leads), None)

    def host_of_leader(self):
        return next(host for host, one in self.running.items() if one.log.leads)

    def raft(self, host):
        return self.running[host].log._runner.engine.raft

    async def until_votes(self, host):
        """Wait until the replica that runs at a host is a voter."""
        replica = self.running[host].log.replica
        async with asyncio.timeout(RECOVERY_S):
            while not any(
                one.log.leads and replica in one.log.status().voters
                for one in self.running.values()
            ):
                await asyncio.sleep(0.01)

    async def until_voters(self, *hosts):
        """Wait until the voters are exactly the replicas at these hosts."""

        def vote():
            leader = self.leader()
            if leader is None:
                return False
            membership = leader.log._runner.engine.raft.membership
            voting = [one.host for one in membership.members if one.voter]
            return sorted(voting) == sorted(hosts)

        async with asyncio.timeout(20):
            while not vote():
                await asyncio.sleep(0.01)


class PowerLostFiles(DiskFiles):
    """Files that lose power while the identity is being replaced."""

    def __init__(self, folder, power_lost):
        super().__init__(folder)
        self.power_lost = power_lost

    def rename(self, old, new):
        if new == IDENTITY_NAME and new in self.names():
            self.power_lost.wait(RECOVERY_S)
            raise OSError(errno.EIO, "power lost")
        super().rename(old, new)


@pytest.fixture
def run_on_vms(tmp_path):
    """Return a function that runs a coroutine function on a `LoopbackVms`."""

    def run(work):
        async def main():
            vms = LoopbackVms(tmp_path)
            try:
                await work(vms)
            finally:
                await vms.stop()

        asyncio.run(main())

    return run


def test_five_replicas_vote_with_three_seeds(run_on_vms):
    async def work(vms):
        vms.start(*HOSTS[:5])
        await vms.until_voters(*HOSTS[:5])
        leader = vms.leader()
        assert leader.log.has_all_voters()
        await leader.log.propose(command("a"))
        for replica in vms.running.values():
            await replica.until(lambda r=replica: r.machine.texts == ["a"])
        assert set(leader.log.hosts()) == set(HOSTS[:5])

    run_on_vms(work)


def test_two_vms_that_lose_their_disks_join_again(run_on_vms):
    async def work(vms):
        vms.start(*HOSTS[:5])
        await vms.until_voters(*HOSTS[:5])
        await vms.leader().log.propose(command("a"))
        await vms.stop(*HOSTS[1:3])
        for host in HOSTS[1:3]:
            vms.lose_disk(host)
        vms.start(*HOSTS[1:3], may_form=False)
        lost = [vms.running[host] for host in HOSTS[1:3]]
        for replica in lost:
            await replica.until(lambda r=replica: r.machine.texts == ["a"])
        await vms.until_voters(*HOSTS[:5])

    run_on_vms(work)


def test_lost_vm_is_replaced_by_one_at_another_address(run_on_vms):
    async def work(vms):
        vms.start(*HOSTS[:5])
        await vms.until_voters(*HOSTS[:5])
        await vms.leader().log.propose(command("a"))
        await vms.stop(HOSTS[1])
        vms.start(HOSTS[5], may_form=False)
        await vms.until_voters(HOSTS[0], *HOSTS[2:])
        fresh = vms.running[HOSTS[5]]
        await fresh.until(lambda: fresh.machine.texts == ["a"])

    run_on_vms(work)


def write_log(settings, entries, term):
    """Store the identity and the log of a replica that isn't running."""
    control = settings.control
    storage = Storage(DiskFiles(control.data_folder))
    storage.load()
    storage.save_identity(Identity(control.replica, FOLDER))
    storage.write(WriteBatch(HardState(term), entries=entries))
    storage.close()


def test_joining_replica_asks_again_when_the_entry_that_added_it_is_lost(run_on_vms):
    async def work(vms):
        vms.start(*HOSTS[:5])
        await vms.until_voters(*HOSTS[:5])
        leader = vms.host_of_leader()
        follower = next(host for host in HOSTS[:5] if host != leader)
        raft = vms.raft(leader)
        await vms.stop(follower)
        vms.lose_disk(follower)
        settings = name_replica(vms.settings(follower, may_form=False))
        joined = ReplicaMember(
            settings.replica, follower, vms.port, FOLDER, voter=False
        )
        index = raft.log.last_index + 1
        added = LogEntry(index, raft.term, raft.membership.with_learner(joined))
        entries = (*raft.log.slice(1, index - 1, 1_000_000), added)
        term = raft.term
        await vms.stop(leader)
        write_log(settings, entries, term)
        vms.start(follower, may_form=False)
        await vms.until_votes(follower)

    run_on_vms(work)


def test_removed_replica_finds_out_when_all_that_it_knew_were_replaced(run_on_vms):
    async def work(vms):
        vms.start(*HOSTS[:5])
        await vms.until_voters(*HOSTS[:5])
        removed = HOSTS[4]
        await vms.stop(removed)
        vms.start(HOSTS[5], may_form=False)
        await vms.until_voters(*HOSTS[:4], HOSTS[5])
        for hosts in (HOSTS[:2], HOSTS[2:4]):
            await vms.stop(*hosts)
            for host in hosts:
                vms.lose_disk(host)
            vms.start(*hosts, may_form=False)
            for host in hosts:
                await vms.until_votes(host)
        await vms.stop(HOSTS[5])
        vms.start(removed, may_form=False)
        with pytest.raises(ReplicaRemovedError):
            await asyncio.wait_for(vms.running[removed].task, RECOVERY_S)
        del vms.running[removed]

    run_on_vms(work)


def test_replica_learns_that_it_was_removed_while_its_streams_stay_open(run_on_vms):
    async def work(vms):
        vms.start(*HOSTS[:5])
        await vms.until_voters(*HOSTS[:5])
        removed = next(host for host in HOSTS[:5] if host != vms.host_of_leader())
        replica = vms.running[removed]
        runner = replica.log._runner
        runner.send = lambda peer, message: False
        runner.engine.receive = lambda peer, message: None
        vms.start(HOSTS[5], may_form=False)
        await vms.until_votes(HOSTS[5])
        with pytest.raises(ReplicaRemovedError):
            await asyncio.wait_for(replica.task, RECOVERY_S)
        del vms.running[removed]

    run_on_vms(work)


def test_vm_that_loses_its_disk_again_before_it_votes_leaves_no_learner(run_on_vms):
    async def work(vms):
        vms.start(*HOSTS[:5])
        await vms.until_voters(*HOSTS[:5])
        host = next(host for host in HOSTS[:5] if host != vms.host_of_leader())
        await vms.stop(host)
        vms.lose_disk(host)
        vms.start(host, may_form=False)
        fresh = vms.running[host].log
        fresh._runner.send = lambda peer, message: False
        leader = vms.leader()
        await leader.until(lambda: fresh.replica in leader.log.status().learners)
        await vms.stop(host)
        vms.lose_disk(host)
        vms.start(host, may_form=False)
        await vms.until_votes(host)
        await leader.until(lambda: not leader.log.status().learners)
        assert fresh.replica in leader.log.status().removed

    run_on_vms(work)


def test_member_that_asks_to_join_stays_what_it_is(run_on_vms):
    async def work(vms):
        vms.start(*HOSTS[:5])
        await vms.until_voters(*HOSTS[:5])
        leader = vms.leader()
        membership = vms.raft(vms.host_of_leader()).membership
        for member in membership.members:
            for replica in vms.running.values():
                join = Join(member.replica, member.host, member.port)
                replica.log.message_received(member.replica, join)
        await leader.log.propose(command("a"))
        for replica in vms.running.values():
            await replica.until(lambda r=replica: r.machine.texts == ["a"])
        assert vms.raft(vms.host_of_leader()).membership == membership

    run_on_vms(work)


@pytest.mark.parametrize("joined", [HOSTS[3:5], ()])
def test_replica_that_lost_the_agreement_forms_when_another_lost_its_disk(
    run_on_vms, joined
):
    async def work(vms):
        kept, wiped, unaware = HOSTS[:3]
        power_lost = threading.Event()
        vms.start(kept, wiped)
        vms.start(
            unaware, files=functools.partial(PowerLostFiles, power_lost=power_lost)
        )
        vms.start(*joined)
        await vms.until_voters(*HOSTS[:3], *joined)
        await vms.leader().log.propose(command("a"))
        power_lost.set()
        with pytest.raises(StorageError):
            await vms.running.pop(unaware).task
        await vms.stop(wiped)
        vms.lose_disk(wiped)
        vms.start(wiped, may_form=False)
        if joined:
            await vms.until_votes(wiped)
        vms.start(unaware, may_form=False)
        for host in (wiped, unaware):
            await vms.until_votes(host)
            replica = vms.running[host]
            await replica.until(lambda r=replica: r.machine.texts == ["a"])

    run_on_vms(work)


def test_replicas_that_may_not_form_do_not_elect_a_leader(run_on_vms):
    async def work(vms):
        vms.start(*HOSTS[:5], may_form=False)
        first = vms.running[HOSTS[0]]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await first.log.wait_until(lambda: vms.leader() is not None)
        assert not first.log.has_all_voters()

    run_on_vms(work)


def test_seed_is_named_after_its_host(tmp_path):
    vms = LoopbackVms(tmp_path)
    named = name_replica(vms.settings(HOSTS[0]))
    assert named.replica == HOSTS[0]
    assert [one.replica for one in named.control.replicas] == HOSTS[:3]
    assert named.control.replicas[1].address == Address(HOSTS[1], vms.port)


def test_empty_folder_that_may_not_form_gets_a_random_name(tmp_path):
    vms = LoopbackVms(tmp_path)
    first = name_replica(vms.settings(HOSTS[0], may_form=False)).replica
    second = name_replica(vms.settings(HOSTS[0], may_form=False)).replica
    assert len({first, second, HOSTS[0]}) == 3


def test_folder_with_an_identity_keeps_its_name_regardless_of_the_seeds(tmp_path):
    vms = LoopbackVms(tmp_path)
    files = DiskFiles(str(tmp_path / HOSTS[3]))
    write_value(files, IDENTITY_NAME, Identity("named", "f"))
    files.close()
    vms.seeds = HOSTS[3:6]
    assert name_replica(vms.settings(HOSTS[3])).replica == "named"


def test_files_without_an_identity_are_removed(tmp_path):
    vms = LoopbackVms(tmp_path)
    folder = tmp_path / HOSTS[0]
    folder.mkdir()
    (folder / "log-1").write_bytes(b"left over")
    name_replica(vms.settings(HOSTS[0]))
    assert not (folder / "log-1").exists()
