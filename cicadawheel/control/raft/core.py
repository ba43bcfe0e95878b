"""The Raft state machine of one replica: terms, elections and roles.

It does no input or output. The owner passes in received messages and the time. After
each step it sends the messages from `take_messages`, persists the batch from
`begin_write` and calls `end_write` when that is durable, and applies the items from
`take_committed`. Messages that depend on a write are held until it has ended.
"""

import random
from collections import Counter

from cicadawheel.control.raft.apply_lag import ApplyLag
from cicadawheel.control.raft.apply_queue import ApplyQueue
from cicadawheel.control.raft.durability import Durability, Outbound
from cicadawheel.control.raft.election import Election, VoteRefusal
from cicadawheel.control.raft.entry import (
    NO_VOTE,
    CommandData,
    HardState,
    LogEntry,
    SavedState,
    Snapshot,
    WriteBatch,
)
from cicadawheel.control.raft.follower import Follower
from cicadawheel.control.raft.leadership import Leadership, RaftOptions, ReadReady
from cicadawheel.control.raft.log import RaftLog
from cicadawheel.control.raft.membership import Membership
from cicadawheel.control.raft.message import (
    AppendReply,
    AppendRequest,
    RaftMessage,
    SnapshotChunk,
    SnapshotReply,
    TakeOver,
    VoteReply,
    VoteRequest,
    advances_term,
)
from cicadawheel.control.raft.role import Role, RoleChange
from cicadawheel.errors import NotLeaderError
from cicadawheel.ids import LogIndex, ReplicaId, Term

WRITE_STALL_TIMEOUTS = 4


class Raft:
    """One Raft replica; the module docstring describes how to drive it.

    Parameters
    ----------
    replica : ReplicaId
        The id of this replica.
    saved : SavedState
        The state loaded from storage.
    options : RaftOptions
        The protocol timeouts.
    random : random.Random
        Randomises the election timeouts.
    now_ms : float
        The current time.
    """

    def __init__(
        self,
        replica: ReplicaId,
        saved: SavedState,
        options: RaftOptions,
        random: random.Random,
        now_ms: float,
    ):
        self.replica = replica
        self.options = options
        self.log = RaftLog(saved)
        self.snapshot = saved.snapshot
        self.hard_state = saved.hard_state
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self.leadership: Leadership | None = None
        self.role_changes: list[RoleChange] = []
        self.vote_refusals: Counter[VoteRefusal] = Counter()
        """The votes and pre-votes that this replica has refused."""
        self._apply_queue = ApplyQueue(self.log)
        self._apply_lag = ApplyLag(now_ms)
        self._durability = Durability(saved)
        self._follower = Follower(self.log, self._apply_queue, self._durability)
        self._election = Election(
            replica, self.log, options.election_timeout_ms, random, now_ms
        )

    @property
    def term(self) -> Term:
        """The current term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self.log.membership

    @property
    def commit_index(self) -> LogIndex:
        """The index of the last entry known to be committed."""
        return self._apply_queue.commit_index

    @property
    def applied_index(self) -> LogIndex:
        """The index of the last entry returned by `take_committed`."""
        return self._apply_queue.applied_index

    @property
    def announced_index(self) -> LogIndex:
        """The newest entry known to be committed, whether or not it has arrived."""
        return max(self.commit_index, self._follower.announced_index)

    def apply_lag_ms(self, now_ms: float) -> float:
        """Return how long a committed entry has waited to be applied, 0 if none."""
        return self._apply_lag.value_ms(self.applied_index, now_ms)

    def votes(self) -> set[ReplicaId]:
        """Return the voters that granted this replica's election or pre-vote."""
        if self.role not in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return set()
        return self._election.votes(self.role is Role.PRE_CANDIDATE)

    def write_age_ms(self, now_ms: float) -> float:
        """Return how long the current write has taken, 0 if there is none."""
        return self._durability.write_age_ms(now_ms)

    def tick(self, now_ms: float) -> None:
        """Check the election timeout, the leader's quorum and a stalled disk."""
        self._apply_lag.observe(self.announced_index, self.applied_index, now_ms)
        stall_ms = WRITE_STALL_TIMEOUTS * self.options.election_timeout_ms
        stalled = self._durability.is_stalled(now_ms, stall_ms)
        if self.leadership is not None:
            if stalled:
                self._become_follower(self.term, None, "disk write stalled", now_ms)
            elif not self.leadership.has_quorum(now_ms):
                self._become_follower(self.term, None, "no majority heard", now_ms)
        elif self._is_vote_write_pending():
            # Otherwise a disk write slower than the election timeout would abort
            # every election.
            self._clear_silent_leader(now_ms)
            self._election.restart_timeout(now_ms)
        elif stalled:
            self._clear_silent_leader(now_ms)
        elif self._election.is_due(now_ms):
            self._handle_election_timeout(now_ms)

    def receive(self, peer: ReplicaId, message: RaftMessage, now_ms: float) -> None:
        """Process a message from another replica."""
        if advances_term(message, self.term):
            self._become_follower(message.term, None, "newer term", now_ms)
        match message:
            case VoteRequest():
                self._receive_vote_request(peer, message, now_ms)
            case VoteReply():
                self._receive_vote_reply(peer, message, now_ms)
            case AppendRequest():
                self._receive_append(peer, message, now_ms)
            case SnapshotChunk():
                self._receive_chunk(peer, message, now_ms)
            case AppendReply() | SnapshotReply():
                self._receive_progress(peer, message, now_ms)
            case TakeOver():
                self._receive_take_over(message, now_ms)

    def propose(self, data: bytes) -> LogIndex:
        """Append an encoded command and return its index.

        Raises
        ------
        NotLeaderError
            This replica isn't the leader; nothing was appended.
        """
        return self._require_leadership().append(CommandData(data))

    def change_membership(self, membership: Membership, now_ms: float) -> LogIndex:
        """Append a single-server membership change and return its index.

        Raises
        ------
        NotLeaderError
            This replica isn't the leader, or hasn't committed an entry of its term.
        CommandRefusedError
            An earlier change isn't committed yet.
        """
        return self._require_leadership().change_membership(membership, now_ms)

    def resign(self, now_ms: float) -> None:
        """Stop accepting proposals; transfer leadership once all are committed."""
        if self.leadership is not None:
            self.leadership.resigning = True
            self._advance(now_ms)

    def start_read(self, read: int) -> None:
        """Request a read index for a linearizable read; see `take_reads`.

        Raises
        ------
        NotLeaderError
            This replica isn't the leader.
        """
        self._require_leadership().start_read(read)

    def take_reads(self) -> list[ReadReady]:
        """Return the reads confirmed since the last call."""
        if self.leadership is None:
            return []
        return self.leadership.take_reads()

    def take_messages(self, now_ms: float) -> list[Outbound]:
        """Return the messages to send now."""
        if self.leadership is not None:
            self._advance(now_ms)
        if self.leadership is not None:
            for to, message in self.leadership.collect_messages(now_ms):
                self._durability.send(to, message)
        return self._durability.take_messages()

    def begin_write(self, now_ms: float) -> WriteBatch | None:
        """Return the next batch to persist, or None.

        At most one write is in progress at a time. `end_write` must be called when
        the batch is durable.
        """
        return self._durability.begin_write(self.hard_state, self.log, now_ms)

    def end_write(self, now_ms: float) -> None:
        """Record that the batch from `begin_write` is durable."""
        voted = self._is_vote_write_pending()
        self._durability.end_write(self.log)
        if voted and not self._is_vote_write_pending():
            self._election.record_vote(now_ms)
        durable = self._durability.hard_state.term == self.term
        if self.role is Role.CANDIDATE and durable:
            self._count_vote(self.replica, False, now_ms)
        elif self.leadership is not None:
            self._advance(now_ms)
        elif self.leader is not None:
            self._follower.acknowledge_durable(self.leader, self.term)

    def take_committed(self) -> list[LogEntry | Snapshot]:
        """Return the entries to apply and snapshots to restore next, in order."""
        return self._apply_queue.take()

    def compact(
        self, index: LogIndex, data: bytes, keep_entries: int
    ) -> Snapshot | None:
        """Compact the log and return a snapshot of the state at an applied entry.

        ``data`` is the encoded state after ``index``. Covered entries are dropped
        from memory, except for the last ``keep_entries``, which slow followers may
        still need. The owner keeps the entries on disk until the snapshot is durable.
        Returns None if a snapshot at least as recent has arrived from the leader.
        """
        if self.snapshot is not None and self.snapshot.index >= index:
            return None
        snapshot = Snapshot(
            index, self.log.term_at(index), self.log.membership_at(index), data
        )
        self.snapshot = snapshot
        self.log.compact(LogIndex(index - keep_entries))
        if self.leadership is not None:
            self.leadership.snapshot = snapshot
        return snapshot

    def _is_vote_write_pending(self) -> bool:
        """Return whether this term's vote, including one for itself, isn't durable."""
        voted = self.hard_state.vote != NO_VOTE
        return voted and self.hard_state != self._durability.hard_state

    def _require_leadership(self) -> Leadership:
        if self.leadership is None or self.leadership.resigning:
            raise NotLeaderError(
                "this replica isn't the leader",
                step="propose",
                peer=self.leader or "",
            )
        return self.leadership

    def _become_follower(
        self, term: Term, leader: ReplicaId | None, reason: str, now_ms: float
    ) -> None:
        if term > self.term:
            self.hard_state = HardState(term)
            self._follower.reset()
        changed = self.role is not Role.FOLLOWER or leader != self.leader
        self.role = Role.FOLLOWER
        self.leadership = None
        self.leader = leader
        self._election.restart_timeout(now_ms)
        if changed:
            self._record_role_change(reason)

    def _record_role_change(self, reason: str) -> None:
        self.role_changes.append(RoleChange(self.role, self.term, self.leader, reason))

    def _handle_election_timeout(self, now_ms: float) -> None:
        """Start a pre-vote, or on a learner only clear the leader."""
        if self.membership.is_voter(self.replica):
            self._begin_pre_vote(now_ms)
        elif self.leader is not None:
            self._become_follower(self.term, None, "no leader heard", now_ms)

    def _clear_silent_leader(self, now_ms: float) -> None:
        """Clear a leader that isn't heard, without starting an election."""
        if self.leader is not None and not self._election.has_recent_leader(now_ms):
            self._become_follower(self.term, None, "no leader heard", now_ms)

    def _begin_pre_vote(self, now_ms: float) -> None:
        again = self.role is Role.PRE_CANDIDATE
        self.role = Role.PRE_CANDIDATE
        self.leader = None
        if not again:
            self._record_role_change("no leader heard")
        self._election.begin_pre_vote(now_ms)
        request = self._election.make_request(Term(self.term + 1), True)
        for voter in self._other_voters():
            self._durability.send(voter, request)
        self._count_vote(self.replica, True, now_ms)

    def _begin_vote(self, now_ms: float) -> None:
        self.role = Role.CANDIDATE
        self.hard_state = HardState(Term(self.term + 1), self.replica)
        self._follower.reset()
        self._election.begin_vote(self.term, now_ms)
        request = self._election.make_request(self.term, False)
        for voter in self._other_voters():
            self._durability.send_after_write(voter, request)

    def _other_voters(self) -> list[ReplicaId]:
        return [one for one in self.membership.voters() if one != self.replica]

    def _count_vote(self, voter: ReplicaId, pre: bool, now_ms: float) -> None:
        if not self._election.add_vote(voter, pre):
            return
        if pre:
            self._begin_vote(now_ms)
        else:
            self._become_leader(now_ms)

    def _become_leader(self, now_ms: float) -> None:
        self.role = Role.LEADER
        self.leader = self.replica
        self._election.record_win()
        self.leadership = Leadership(
            self.replica, self.term, self.log, self.commit_index, self.options, now_ms
        )
        self.leadership.snapshot = self.snapshot
        self._record_role_change("elected")

    def _receive_vote_request(
        self, peer: ReplicaId, request: VoteRequest, now_ms: float
    ) -> None:
        if request.pre:
            refusal = self._check_pre_vote(request, now_ms)
            self._count_refusal(refusal)
            term = request.term if refusal is None else self.term
            self._durability.send(peer, VoteReply(term, refusal is None, True))
            return
        refusal = self._election.check_vote(peer, request, self.hard_state)
        self._count_refusal(refusal)
        if refusal is None:
            self.hard_state = HardState(self.term, peer)
            self._become_follower(self.term, None, "voted", now_ms)
        reply = VoteReply(self.term, refusal is None, False)
        self._durability.send_after_write(peer, reply)

    def _check_pre_vote(
        self, request: VoteRequest, now_ms: float
    ) -> VoteRefusal | None:
        if self.leadership is not None:
            return VoteRefusal.LEADS
        if self._is_vote_write_pending():
            return VoteRefusal.WRITE_PENDING
        return self._election.check_pre_vote(request, self.term, now_ms)

    def _count_refusal(self, refusal: VoteRefusal | None) -> None:
        if refusal is not None:
            self.vote_refusals[refusal] += 1

    def _receive_vote_reply(
        self, peer: ReplicaId, reply: VoteReply, now_ms: float
    ) -> None:
        if reply.pre:
            expected = self.role is Role.PRE_CANDIDATE and reply.term == self.term + 1
        else:
            stands = self.role in (Role.CANDIDATE, Role.PRE_CANDIDATE)
            undecided = stands and self._election.is_undecided(self.term)
            expected = undecided and reply.term == self.term
        if reply.granted and expected:
            self._count_vote(peer, reply.pre, now_ms)

    def _receive_progress(
        self, peer: ReplicaId, reply: AppendReply | SnapshotReply, now_ms: float
    ) -> None:
        if self.leadership is None or reply.term != self.term:
            return
        if isinstance(reply, AppendReply):
            self.leadership.handle_append_reply(peer, reply, now_ms)
            self._advance(now_ms)
        else:
            self.leadership.handle_snapshot_reply(peer, reply, now_ms)

    def _receive_take_over(self, message: TakeOver, now_ms: float) -> None:
        votes = self.membership.is_voter(self.replica)
        if message.term == self.term and self.role is Role.FOLLOWER and votes:
            self._begin_vote(now_ms)

    def _follow_leader(self, peer: ReplicaId, now_ms: float) -> None:
        if self.leader != peer or self.role is not Role.FOLLOWER:
            self._become_follower(self.term, peer, "leader heard", now_ms)
        self._election.leader_heard(now_ms)

    def _receive_append(
        self, peer: ReplicaId, request: AppendRequest, now_ms: float
    ) -> None:
        if request.term == self.term:
            self._follow_leader(peer, now_ms)
            self._follower.receive_append(peer, request)
        else:
            no_index = LogIndex(0)
            refusal = AppendReply(self.term, False, request.prev_index, no_index, 0)
            self._durability.send_after_term_write(peer, refusal)

    def _receive_chunk(
        self, peer: ReplicaId, chunk: SnapshotChunk, now_ms: float
    ) -> None:
        if chunk.term == self.term:
            self._follow_leader(peer, now_ms)
            snapshot = self._follower.receive_chunk(peer, chunk)
            self.snapshot = snapshot or self.snapshot
        else:
            refusal = SnapshotReply(self.term, chunk.index, 0)
            self._durability.send_after_term_write(peer, refusal)

    def _advance(self, now_ms: float) -> None:
        self.leadership.advance(now_ms)
        self._apply_queue.commit(self.leadership.commit_index)
        removed = not self.membership.is_voter(self.replica)
        if removed and self.log.membership_index <= self.commit_index:
            self._become_follower(self.term, None, "removed", now_ms)
        elif self.leadership.resigning:
            self._transfer_leadership(now_ms)

    def _transfer_leadership(self, now_ms: float) -> None:
        successor = self.leadership.find_successor(now_ms)
        if successor is not None:
            self._durability.send(successor, TakeOver(self.term))
            self._become_follower(self.term, None, "resigned", now_ms)


def make_raft(
    replica: ReplicaId,
    saved: SavedState,
    options: RaftOptions,
    random: random.Random,
    now_ms: float,
) -> Raft:
    """Return a replica that starts from the state loaded from storage."""
    return Raft(replica, saved, options, random, now_ms)
