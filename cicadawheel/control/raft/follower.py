"""Follower side of replication: appends entries and installs snapshots."""

from cicadawheel.control.raft.apply_queue import ApplyQueue
from cicadawheel.control.raft.durability import Durability
from cicadawheel.control.raft.entry import LogEntry, Snapshot
from cicadawheel.control.raft.log import RaftLog
from cicadawheel.control.raft.message import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from cicadawheel.ids import LogIndex, ReplicaId, Term


class Follower:
    """Keeps the log consistent with the leader's log.

    Parameters
    ----------
    log : RaftLog
        The log of this replica.
    apply_queue : ApplyQueue
        Receives the commit index and installed snapshots.
    durability : Durability
        Sends the replies once the state that they report is durable.
    """

    def __init__(self, log: RaftLog, apply_queue: ApplyQueue, durability: Durability):
        self.log = log
        self.apply_queue = apply_queue
        self.durability = durability
        self.announced_index = LogIndex(0)
        """The newest entry that a leader has announced as committed."""
        self._verified_index = LogIndex(0)
        self._acknowledged_index = LogIndex(0)
        self._round = 0
        self._chunks = bytearray()
        self._chunks_source: tuple[Term, LogIndex] | None = None

    def reset(self) -> None:
        """Reset the match with the leader's log and any partial snapshot."""
        self._verified_index = LogIndex(0)
        self._acknowledged_index = LogIndex(0)
        self._round = 0
        self._chunks.clear()
        self._chunks_source = None

    def receive_append(self, leader: ReplicaId, request: AppendRequest) -> None:
        """Append the entries of a request to the log, and reply."""
        self._round = max(self._round, request.round)
        self.announced_index = max(self.announced_index, request.commit_index)
        term, prev_index = request.term, request.prev_index
        if not self._matches(request):
            hint = self._conflict_hint(prev_index)
            refusal = AppendReply(term, False, prev_index, hint, request.round)
            self.durability.send_after_term_write(leader, refusal)
            return
        self._append_entries(request.entries)
        last = LogIndex(prev_index + len(request.entries))
        self._verified_index = max(self._verified_index, last)
        committed = min(request.commit_index, self._verified_index)
        self.apply_queue.commit(LogIndex(committed))
        self._acknowledge(leader, term, prev_index)

    def receive_chunk(self, leader: ReplicaId, chunk: SnapshotChunk) -> Snapshot | None:
        """Store a snapshot chunk and reply; return the snapshot once complete."""
        self.announced_index = max(self.announced_index, chunk.index)
        commit_index = self.apply_queue.commit_index
        if chunk.index <= commit_index:
            index = LogIndex(min(commit_index, self.log.persisted_index))
            reply = AppendReply(chunk.term, True, chunk.index, index, 0)
            self.durability.send_after_term_write(leader, reply)
            return None
        self._add_chunk(chunk)
        size_bytes = len(self._chunks)
        reply = SnapshotReply(chunk.term, chunk.index, size_bytes)
        self.durability.send_after_term_write(leader, reply)
        if size_bytes < chunk.size_bytes:
            return None
        return self._install(chunk)

    def acknowledge_durable(self, leader: ReplicaId, term: Term) -> None:
        """Acknowledge entries that have become durable to the leader."""
        if self._durable_index() > self._acknowledged_index:
            self._acknowledge(leader, term, LogIndex(0))

    def _acknowledge(self, leader: ReplicaId, term: Term, prev_index: LogIndex) -> None:
        index = self._acknowledged_index = self._durable_index()
        reply = AppendReply(term, True, prev_index, index, self._round)
        self.durability.send_after_term_write(leader, reply)

    def _durable_index(self) -> LogIndex:
        return LogIndex(min(self._verified_index, self.log.persisted_index))

    def _matches(self, request: AppendRequest) -> bool:
        if request.prev_index < self.log.base_index:
            return True
        return self.log.term_at(request.prev_index) == request.prev_term

    def _conflict_hint(self, prev_index: LogIndex) -> LogIndex:
        term = self.log.term_at(prev_index)
        if term is None:
            return self.log.last_index
        return LogIndex(max(self.log.first_index_of_term(term) - 1, 0))

    def _append_entries(self, entries: tuple[LogEntry, ...]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self.log.base_index:
                continue
            if self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index:
                self.log.truncate(LogIndex(entry.index - 1))
            self.log.append(list(entries[position:]))
            return

    def _add_chunk(self, chunk: SnapshotChunk) -> None:
        if self._chunks_source != (chunk.term, chunk.index):
            self._chunks_source = (chunk.term, chunk.index)
            self._chunks.clear()
        if chunk.offset_bytes == len(self._chunks):
            self._chunks += chunk.data

    def _install(self, chunk: SnapshotChunk) -> Snapshot:
        snapshot = Snapshot(
            chunk.index, chunk.last_term, chunk.membership, bytes(self._chunks)
        )
        self._chunks.clear()
        self._chunks_source = None
        # Entries up to the snapshot that aren't durable are never written, and those
        # on disk in their place must not remain.
        matches = self.log.term_at(snapshot.index) == snapshot.term
        replaces_log = not matches or self.log.persisted_index < snapshot.index
        if replaces_log:
            self._verified_index = snapshot.index
            self.log.reset(snapshot.index, snapshot.term, snapshot.membership)
        else:
            self._verified_index = max(self._verified_index, snapshot.index)
            self.log.compact(snapshot.index)
        self.apply_queue.restore(snapshot)
        self.durability.add_snapshot(snapshot, replaces_log)
        return snapshot
