"""An in-memory cluster of `Raft` objects with simulated time, network and disks."""

import random
from collections import deque

import pytest

from cicadawheel.control.raft import make_raft
from cicadawheel.control.raft.entry import CommandData, SavedState, Snapshot, WriteBatch
from cicadawheel.control.raft.leadership import RaftOptions
from cicadawheel.control.raft.membership import Membership, ReplicaMember
from cicadawheel.control.raft.role import Role

OPTIONS = RaftOptions(election_timeout_ms=100.0, heartbeat_ms=20.0)


def members(*names):
    return Membership(tuple(ReplicaMember(name, "h", 1, f"f-{name}") for name in names))


class RaftCluster:
    """Replicas whose persistent state is a `SavedState` value."""

    def __init__(self, *names, seed=1, options=OPTIONS):
        self.options = options
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.saved = {name: SavedState(bootstrap=members(*names)) for name in names}
        self.rafts = {}
        self.applied = {name: [] for name in names}
        self.partitioned = set()
        self.loss_share = 0.0
        self.slow_disks = set()
        self.held_up = set()
        """Replicas whose event loop doesn't run; messages to them wait."""
        self.write_ms = (0.0, 0.0)
        self.durations_ms = {}
        self.write_ends_ms = {}
        self.writes = {}
        self.queue = deque()
        for name in names:
            self.start(name)

    def start(self, name):
        saved = self.saved.setdefault(name, SavedState())
        self.writes.pop(name, None)
        self.write_ends_ms.pop(name, None)
        self.applied[name] = [saved.snapshot.data] if saved.snapshot else []
        self.rafts[name] = make_raft(
            name, saved, self.options, self.random, self.now_ms
        )

    def stop(self, name):
        del self.rafts[name]

    def release(self, name):
        """Let a replica's event loop run again: it first reads what has arrived."""
        self.held_up.discard(name)
        for _ in range(len(self.queue)):
            sender, to, message = self.queue.popleft()
            if to == name:
                self.rafts[to].receive(sender, message, self.now_ms)
            else:
                self.queue.append((sender, to, message))

    def step(self):
        """Run one step of each replica, and deliver the messages that are queued."""
        for name, raft in list(self.rafts.items()):
            if name in self.held_up:
                continue
            self._write(name, raft)
            for outbound in raft.take_messages(self.now_ms):
                self.queue.append((name, outbound.to, outbound.message))
            for item in raft.take_committed():
                self._apply(name, item)
        for _ in range(len(self.queue)):
            sender, to, message = self.queue.popleft()
            if to not in self.rafts or {(sender, to), sender, to} & self.partitioned:
                continue
            if to in self.held_up:
                self.queue.append((sender, to, message))
                continue
            if self.random.random() >= self.loss_share:
                self.rafts[to].receive(sender, message, self.now_ms)

    def settle(self):
        for _ in range(12):
            self.step()

    def pass_time(self, ms):
        """Advance the time in steps of 5 ms."""
        for _ in range(int(ms / 5)):
            self.now_ms += 5
            for name, raft in list(self.rafts.items()):
                if name not in self.held_up:
                    raft.tick(self.now_ms)
            self.step()

    def elect(self):
        """Advance the time until a leader is ready, and return its name."""
        for _ in range(400):
            self.pass_time(5)
            leaders = [name for name in self.leaders() if self.rafts[name].leadership]
            if leaders and self.rafts[leaders[-1]].leadership.is_ready():
                self.settle()
                return leaders[-1]
        raise AssertionError("no leader was elected")

    def compact(self, name, state, keep_entries):
        raft = self.rafts[name]
        snapshot = raft.compact(raft.applied_index, state, keep_entries)
        self.saved[name] = persist(self.saved[name], WriteBatch(snapshot=snapshot))

    def leaders(self):
        """Return the leaders in order of their terms."""
        leading = [n for n, raft in self.rafts.items() if raft.role is Role.LEADER]
        return sorted(leading, key=lambda name: self.rafts[name].term)

    def _write(self, name, raft):
        batch = self.writes.pop(name, None) or raft.begin_write(self.now_ms)
        if batch is None:
            return
        if name in self.slow_disks or not self._is_written(name):
            self.writes[name] = batch
            return
        self.saved[name] = persist(self.saved[name], batch)
        raft.end_write(self.now_ms)

    def _is_written(self, name):
        """Return whether the simulated duration of the current write has passed."""
        ends_ms = self.write_ends_ms.get(name)
        if ends_ms is None:
            duration_ms = self.durations_ms.get(name, self.write_ms)
            ends_ms = self.now_ms + self.random.uniform(*duration_ms)
            self.write_ends_ms[name] = ends_ms
        if self.now_ms < ends_ms:
            return False
        del self.write_ends_ms[name]
        return True

    def _apply(self, name, item):
        if isinstance(item, Snapshot):
            self.applied[name] = [item.data]
        elif isinstance(item.payload, CommandData):
            self.applied[name].append(item.payload.data)


def persist(saved, batch):
    """Return the persistent state after a batch was written."""
    snapshot = batch.snapshot or saved.snapshot
    entries = () if batch.replaces_log else saved.entries
    if batch.entries:
        first = batch.entries[0].index
        entries = tuple(e for e in entries if e.index < first) + batch.entries
    if snapshot is not None:
        entries = tuple(entry for entry in entries if entry.index > snapshot.index)
    hard_state = batch.hard_state or saved.hard_state
    return SavedState(hard_state, saved.bootstrap, snapshot, entries)


@pytest.fixture
def trio():
    return RaftCluster("a", "b", "c")


def others(cluster, leader):
    return [name for name in cluster.rafts if name != leader]


def propose(cluster, leader, *commands):
    for command in commands:
        cluster.rafts[leader].propose(command)
    cluster.settle()


def learner(name):
    return ReplicaMember(name, "h", 1, f"f-{name}", voter=False)
