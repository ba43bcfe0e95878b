"""A snapshot from the leader that arrives before older entries are durable."""

import random

import pytest
from crashing_files import CrashingFiles
from raft_shuttle import OPTIONS, members

from cicadawheel.control.raft.core import Raft
from cicadawheel.control.raft.entry import (
    CommandData,
    HardState,
    LogEntry,
    SavedState,
    WriteBatch,
)
from cicadawheel.control.raft.message import AppendReply, AppendRequest, SnapshotChunk
from cicadawheel.control.storage import Storage

MEMBERS = members("a", "b", "c")
STATE = b"state"


def entries(term, first, last):
    payload = CommandData(b"%d" % term)
    return tuple(LogEntry(index, term, payload) for index in range(first, last + 1))


class Replica:
    """A follower with a disk; its writes end when the test says so."""

    def __init__(self):
        self.files = CrashingFiles()
        self.storage = Storage(self.files)
        self.raft = None
        self.batch = None
        self.acknowledged = 0

    def start(self):
        saved = self.storage.load()
        saved = SavedState(saved.hard_state, MEMBERS, saved.snapshot, saved.entries)
        self.raft = Raft("b", saved, OPTIONS, random.Random(1), 0.0)

    def receive(self, message):
        self.raft.receive("a", message, 0.0)
        self.send()

    def begin_write(self):
        self.batch = self.raft.begin_write(0.0)

    def end_write(self):
        self.storage.write(self.batch)
        self.raft.end_write(0.0)
        self.send()

    def write_all(self):
        self.begin_write()
        while self.batch is not None:
            self.end_write()
            self.begin_write()

    def send(self):
        for outbound in self.raft.take_messages(0.0):
            message = outbound.message
            if isinstance(message, AppendReply) and message.success:
                self.acknowledged = max(self.acknowledged, message.index)


def append(term, first, last, prev_term):
    return AppendRequest(
        term, first - 1, prev_term, entries(term, first, last), commit_index=0, round=0
    )


def chunk(term, index):
    return SnapshotChunk(term, index, term, MEMBERS, 0, len(STATE), STATE)


@pytest.mark.parametrize(
    "stored",
    [
        pytest.param((), id="gap"),
        pytest.param(entries(1, 3, 9), id="older entries on disk"),
    ],
)
def test_acknowledged_entries_survive_a_restart_after_a_snapshot(stored):
    """The entries were forgotten, or the folder was taken for corrupt."""
    replica = Replica()
    replica.storage.write(WriteBatch(HardState(1), entries=entries(1, 1, 2) + stored))
    replica.start()
    replica.receive(append(2, 3, 2, prev_term=1))
    replica.begin_write()
    replica.receive(append(2, 3, 7, prev_term=1))
    replica.receive(chunk(2, 6))
    replica.end_write()
    replica.write_all()
    replica.receive(append(2, 7, 9, prev_term=2))
    replica.write_all()
    assert replica.acknowledged == 9
    replica.files.reboot()
    saved = Storage(replica.files).load()
    assert saved.snapshot.index == 6
    assert saved.entries == entries(2, 7, 9)
