"""Election timeouts, vote counting, and the rules for granting votes."""

import random
from enum import Enum

from cicadawheel.control.raft.entry import NO_VOTE, HardState
from cicadawheel.control.raft.log import RaftLog
from cicadawheel.control.raft.message import VoteRequest
from cicadawheel.ids import ReplicaId, Term

FIRST_TIMEOUT_MIN_SHARE = 0.2
PRE_VOTE_RETRY_SHARES = (0.2, 0.5)
# The random spread of the timeouts stops growing after this many lost elections. A
# replica that lost elections during a partition then starts another one within five
# timeouts of the end of the partition.
SPREAD_ELECTIONS_LIMIT = 3


class VoteRefusal(Enum):
    """Why a vote or pre-vote was refused."""

    LEADS = "leads itself"
    WRITE_PENDING = "own vote not durable"
    OLD_TERM = "old term"
    LEADER_HEARD = "leader heard"
    VOTED = "voted"
    LOG_BEHIND = "candidate's log is behind"


class Election:
    """The election timeout of a replica, and the votes that it has received.

    Parameters
    ----------
    replica : ReplicaId
        The id of this replica.
    log : RaftLog
        The log of this replica.
    timeout_ms : float
        The base election timeout; a leader not heard from for this long may be
        replaced.
    random : random.Random
        Randomises the timeouts.
    now_ms : float
        The current time.
    """

    def __init__(
        self,
        replica: ReplicaId,
        log: RaftLog,
        timeout_ms: float,
        random: random.Random,
        now_ms: float,
    ):
        self.replica = replica
        self.log = log
        self.timeout_ms = timeout_ms
        self.random = random
        self._pre_votes: set[ReplicaId] = set()
        self._votes: set[ReplicaId] = set()
        self._undecided_term: Term | None = None
        self._leader_heard_ms = float("-inf")
        self._voted_ms = float("-inf")
        self._consecutive_elections = 0
        self._due_ms = now_ms
        if log.membership.voters() != [replica]:
            self._due_ms += random.uniform(FIRST_TIMEOUT_MIN_SHARE, 1.0) * timeout_ms

    def is_due(self, now_ms: float) -> bool:
        """Return whether the election timeout has expired."""
        return now_ms >= self._due_ms

    def restart_timeout(self, now_ms: float) -> None:
        """Restart the election timeout with a random addition.

        The random range grows with the number of lost elections, so that competing
        candidates time out further apart.
        """
        spread = 1.0 + min(self._consecutive_elections, SPREAD_ELECTIONS_LIMIT)
        share = self.random.uniform(1.0, 1.0 + spread)
        self._due_ms = now_ms + share * self.timeout_ms

    def leader_heard(self, now_ms: float) -> None:
        """Restart the timeout after a message from the leader."""
        self._consecutive_elections = 0
        self._undecided_term = None
        self._leader_heard_ms = now_ms
        self.restart_timeout(now_ms)

    def record_win(self) -> None:
        """Reset the count of elections after winning one."""
        self._consecutive_elections = 0
        self._undecided_term = None

    def record_vote(self, now_ms: float) -> None:
        """Restart the timeout after a durable vote: the candidate needs time to win."""
        self._voted_ms = now_ms
        self.restart_timeout(now_ms)

    def has_recent_leader(self, now_ms: float) -> bool:
        """Return whether the leader was heard from within the election timeout."""
        return now_ms - self._leader_heard_ms < self.timeout_ms

    def begin_pre_vote(self, now_ms: float) -> None:
        """Start a round of pre-votes, retried after part of a timeout."""
        self._pre_votes.clear()
        share = self.random.uniform(*PRE_VOTE_RETRY_SHARES)
        self._due_ms = now_ms + share * self.timeout_ms

    def begin_vote(self, term: Term, now_ms: float) -> None:
        """Start counting votes for a new election."""
        self._votes.clear()
        self._undecided_term = term
        self._consecutive_elections += 1
        self.restart_timeout(now_ms)

    def is_undecided(self, term: Term) -> bool:
        """Return whether a vote for this replica in a term may still count.

        It stood in that term since its start, and no leader of it is known. A vote may
        take longer than the election timeout. One from before a restart doesn't count:
        the replica may have led in that term.
        """
        return self._undecided_term == term

    def votes(self, pre: bool) -> set[ReplicaId]:
        """Return the voters that granted the last election or pre-vote."""
        return set(self._pre_votes if pre else self._votes)

    def add_vote(self, voter: ReplicaId, pre: bool) -> bool:
        """Record a vote or pre-vote and return whether a majority granted it."""
        votes = self._pre_votes if pre else self._votes
        votes.add(voter)
        return self.log.membership.has_quorum(votes)

    def make_request(self, term: Term, pre: bool) -> VoteRequest:
        """Return a vote request for a term."""
        return VoteRequest(term, self.log.last_index, self.log.last_term, pre)

    def check_pre_vote(
        self, request: VoteRequest, term: Term, now_ms: float
    ) -> VoteRefusal | None:
        """Return why to refuse a pre-vote, or None to grant it."""
        if request.term <= term:
            return VoteRefusal.OLD_TERM
        if self.has_recent_leader(now_ms):
            return VoteRefusal.LEADER_HEARD
        if now_ms - self._voted_ms < self.timeout_ms:
            return VoteRefusal.VOTED
        return None if self._is_up_to_date(request) else VoteRefusal.LOG_BEHIND

    def check_vote(
        self, candidate: ReplicaId, request: VoteRequest, hard_state: HardState
    ) -> VoteRefusal | None:
        """Return why to refuse a vote, or None to grant it."""
        if request.term != hard_state.term:
            return VoteRefusal.OLD_TERM
        if hard_state.vote not in (NO_VOTE, candidate):
            return VoteRefusal.VOTED
        return None if self._is_up_to_date(request) else VoteRefusal.LOG_BEHIND

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        ours = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= ours
