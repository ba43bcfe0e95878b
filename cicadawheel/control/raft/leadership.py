"""Leader state: replication, commit, read confirmation and membership changes."""

import msgspec

from cicadawheel.control.raft.entry import CommandData, LogEntry, NoOp, Snapshot
from cicadawheel.control.raft.log import RaftLog
from cicadawheel.control.raft.membership import Membership
from cicadawheel.control.raft.message import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from cicadawheel.control.raft.progress import Progress
from cicadawheel.control.raft.voters import next_membership
from cicadawheel.errors import CommandRefusedError, NotLeaderError
from cicadawheel.ids import LogIndex, ReplicaId, Term

APPEND_LIMIT_BYTES = 512 * 1024
CHUNK_LIMIT_BYTES = 256 * 1024
# A write may take an election timeout, and an entry waits for the write before its own.
CATCH_UP_TIMEOUTS = 2


class RaftOptions(msgspec.Struct, frozen=True):
    """Protocol timeouts, and the wanted number of voters.

    When there are ``voter_target`` voters and a learner is waiting, the learner takes
    the place of a voter that has not been heard from for ``lost_ms``. With a target of
    0 every learner is promoted.
    """

    election_timeout_ms: float
    heartbeat_ms: float
    voter_target: int = 0
    lost_ms: float = 5_000.0


class ReadReady(msgspec.Struct, frozen=True):
    """A confirmed read; it is linearizable once ``index`` is applied."""

    read: int
    index: LogIndex


class _PendingRead:
    def __init__(self, read: int):
        self.read = read
        self.index: LogIndex | None = None
        self.round = 0


class Leadership:
    """The volatile state of a leader during one term.

    Parameters
    ----------
    replica : ReplicaId
        The leader, which is this replica.
    term : Term
        The leader's term.
    log : RaftLog
        The leader's log; a no-op entry is appended on creation.
    commit_index : LogIndex
        The index of the last entry known to be committed.
    options : RaftOptions
        The protocol timeouts.
    now_ms : float
        The current time.
    """

    def __init__(
        self,
        replica: ReplicaId,
        term: Term,
        log: RaftLog,
        commit_index: LogIndex,
        options: RaftOptions,
        now_ms: float,
    ):
        self.replica = replica
        self.term = term
        self.log = log
        self.commit_index = commit_index
        self.options = options
        self.snapshot: Snapshot | None = None
        self.resigning = False
        self.peers: dict[ReplicaId, Progress] = {}
        self._reads_ready: list[ReadReady] = []
        self._reads: list[_PendingRead] = []
        self._round = 0
        self._update_peers(now_ms)
        self.start_index = self.append(NoOp())

    def append(self, payload: NoOp | CommandData | Membership) -> LogIndex:
        """Append an entry to the leader's own log and return its index."""
        index = LogIndex(self.log.last_index + 1)
        self.log.append([LogEntry(index, self.term, payload)])
        return index

    def is_ready(self) -> bool:
        """Return whether an entry of the leader's term is committed."""
        return self.commit_index >= self.start_index

    def find_successor(self, now_ms: float) -> ReplicaId | None:
        """Return an active voter with the full log, or None until all is committed."""
        last = self.log.last_index
        if min(self.commit_index, self.log.persisted_index) < last:
            return None
        for voter in self.log.membership.voters():
            progress = self.peers.get(voter)
            if progress is None or progress.match_index < last:
                continue
            if progress.is_active(now_ms, self.options.election_timeout_ms):
                return voter
        return None

    def has_quorum(self, now_ms: float) -> bool:
        """Return whether a majority was heard from within the election timeout."""
        heard_ms = self.log.membership.quorum_value(
            lambda replica: self._heard_ms(replica, now_ms)
        )
        return now_ms - heard_ms < self.options.election_timeout_ms

    def change_membership(self, membership: Membership, now_ms: float) -> LogIndex:
        """Append a single-server membership change and return its index.

        Raises
        ------
        NotLeaderError
            No entry of this term is committed yet.
        CommandRefusedError
            An earlier change isn't committed yet.
        """
        if not self.is_ready():
            raise NotLeaderError(
                "the leader hasn't committed an entry of its term yet",
                step="membership",
            )
        if self.log.membership_index > self.commit_index:
            raise CommandRefusedError(
                "an earlier change of the replicas isn't committed yet; try again",
                step="membership",
            )
        index = self.append(membership)
        self._update_peers(now_ms)
        return index

    def start_read(self, read: int) -> None:
        """Request a read index for a linearizable read."""
        self._reads.append(_PendingRead(read))

    def take_reads(self) -> list[ReadReady]:
        """Return the reads confirmed since the last call."""
        ready, self._reads_ready = self._reads_ready, []
        return ready

    def handle_append_reply(
        self, replica: ReplicaId, reply: AppendReply, now_ms: float
    ) -> None:
        """Process a follower's reply to an append request."""
        progress = self.peers.get(replica)
        if progress is None:
            return
        progress.heard_ms = now_ms
        progress.acked_round = max(progress.acked_round, reply.round)
        if reply.success:
            progress.record_match(reply.index)
        else:
            progress.record_rejection(reply.prev_index, reply.index)

    def handle_snapshot_reply(
        self, replica: ReplicaId, reply: SnapshotReply, now_ms: float
    ) -> None:
        """Process a follower's reply to a snapshot chunk."""
        progress = self.peers.get(replica)
        if progress is None:
            return
        progress.heard_ms = now_ms
        if progress.snapshot is None or reply.index != progress.snapshot.index:
            return
        progress.snapshot_offset_bytes = reply.offset_bytes
        complete = reply.offset_bytes >= len(progress.snapshot.data)
        progress.chunk_in_flight = complete

    def advance(self, now_ms: float) -> None:
        """Advance the commit index, automatic membership changes and pending reads."""
        index = LogIndex(self.log.membership.quorum_value(self._match_index))
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
        self._change_voters(now_ms)
        self._advance_reads()

    def collect_messages(
        self, now_ms: float
    ) -> list[tuple[ReplicaId, AppendRequest | SnapshotChunk]]:
        """Return the append requests, heartbeats and snapshot chunks that are due."""
        messages = []
        for replica, progress in self.peers.items():
            for message in self._messages_to(progress, now_ms):
                progress.sent_ms = now_ms
                messages.append((replica, message))
        return messages

    def _heard_ms(self, replica: ReplicaId, now_ms: float) -> float:
        return now_ms if replica == self.replica else self.peers[replica].heard_ms

    def _match_index(self, replica: ReplicaId) -> LogIndex:
        if replica == self.replica:
            return self.log.persisted_index
        return self.peers[replica].match_index

    def _acked_round(self, replica: ReplicaId) -> int:
        if replica == self.replica:
            return self._round
        return self.peers[replica].acked_round

    def _update_peers(self, now_ms: float) -> None:
        members = [member.replica for member in self.log.membership.members]
        self.peers = {
            replica: self.peers.get(replica)
            or Progress(LogIndex(self.log.last_index + 1), now_ms)
            for replica in members
            if replica != self.replica
        }

    def _change_voters(self, now_ms: float) -> None:
        committed = self.log.membership_index <= self.commit_index
        if self.resigning or not self.is_ready() or not committed:
            return
        changed = next_membership(
            self.log.membership,
            self.options.voter_target,
            lambda learner: self._is_caught_up(learner, now_ms),
            lambda voter: self._is_lost(voter, now_ms),
        )
        if changed is not None:
            self.append(changed)
            self._update_peers(now_ms)

    def _is_caught_up(self, learner: ReplicaId, now_ms: float) -> bool:
        progress = self.peers.get(learner)
        timeout_ms = self.options.election_timeout_ms
        if progress is None or not progress.is_active(now_ms, timeout_ms):
            return False
        limit_ms = CATCH_UP_TIMEOUTS * timeout_ms
        return progress.is_caught_up(self.commit_index, now_ms, limit_ms)

    def _is_lost(self, voter: ReplicaId, now_ms: float) -> bool:
        progress = self.peers.get(voter)
        return progress is not None and not progress.is_active(
            now_ms, self.options.lost_ms
        )

    def _advance_reads(self) -> None:
        if not self._reads or not self.is_ready():
            return
        self._begin_round()
        acked_round = self.log.membership.quorum_value(self._acked_round)
        ready = [read for read in self._reads if read.round <= acked_round]
        self._reads = [read for read in self._reads if read.round > acked_round]
        self._reads_ready += [ReadReady(read.read, read.index) for read in ready]

    def _begin_round(self) -> None:
        unassigned = [read for read in self._reads if read.index is None]
        if not unassigned:
            return
        self._round += 1
        for read in unassigned:
            read.index = self.commit_index
            read.round = self._round

    def _messages_to(self, progress: Progress, now_ms: float) -> list:
        active = progress.is_active(now_ms, self.options.election_timeout_ms)
        heartbeat_due = now_ms - progress.sent_ms >= self.options.heartbeat_ms
        if not active and heartbeat_due:
            progress.rewind()
        if progress.next_index <= self.log.base_index and progress.snapshot is None:
            progress.begin_snapshot(self.snapshot)
        if progress.snapshot is not None:
            return self._chunks_to(progress, heartbeat_due)
        messages = self._appends_to(progress) if active else []
        if messages or heartbeat_due or (active and self._has_unsent_state(progress)):
            messages = messages or [self._append_to(progress, ())]
        progress.sent_commit = self.commit_index if messages else progress.sent_commit
        progress.sent_round = self._round if messages else progress.sent_round
        return messages

    def _has_unsent_state(self, progress: Progress) -> bool:
        return (
            progress.sent_commit < self.commit_index
            or progress.sent_round < self._round
        )

    def _appends_to(self, progress: Progress) -> list[AppendRequest]:
        messages = []
        last = self.log.last_index
        while progress.next_index <= last and progress.has_window_space():
            entries = self.log.slice(progress.next_index, last, APPEND_LIMIT_BYTES)
            messages.append(self._append_to(progress, entries))
            progress.record_sent(entries[-1].index)
        return messages

    def _append_to(
        self, progress: Progress, entries: tuple[LogEntry, ...]
    ) -> AppendRequest:
        prev_index = LogIndex(progress.next_index - 1)
        return AppendRequest(
            self.term,
            prev_index,
            self.log.term_at(prev_index),
            entries,
            self.commit_index,
            self._round,
        )

    def _chunks_to(self, progress: Progress, retry_due: bool) -> list[SnapshotChunk]:
        if progress.chunk_in_flight and not retry_due:
            return []
        progress.chunk_in_flight = True
        snapshot = progress.snapshot
        start = progress.snapshot_offset_bytes
        chunk = SnapshotChunk(
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            start,
            len(snapshot.data),
            snapshot.data[start : start + CHUNK_LIMIT_BYTES],
        )
        return [chunk]
