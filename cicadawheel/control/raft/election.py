"""When a replica stands for election, who votes for it, and whom it votes for."""

import random

from cicadawheel.control.raft.entry import NO_VOTE, HardState
from cicadawheel.control.raft.log import RaftLog
from cicadawheel.control.raft.message import VoteRequest
from cicadawheel.ids import ReplicaId, Term

FIRST_SHARE = 0.2
RETRY_SHARES = (0.2, 0.5)
# After so many elections in vain the spread of the timeouts grows no more: a replica
# that has lost them to a partition stands again within five timeouts of its end.
STOOD_LIMIT = 3


class Election:
    """The election timeout of a replica, and the votes that it has got.

    Parameters
    ----------
    replica : ReplicaId
        The name of this replica.
    log : RaftLog
        Its log.
    timeout_ms : float
        A leader that is silent for this long may be replaced.
    random : random.Random
        Spreads the timeouts.
    now_ms : float
        The time.
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
        self._votes: set[ReplicaId] = set()
        self._leader_heard_ms = float("-inf")
        self._voted_ms = float("-inf")
        self._stood = 0
        self._due_ms = now_ms
        if log.membership.voters() != [replica]:
            self._due_ms += random.uniform(FIRST_SHARE, 1.0) * timeout_ms

    def is_due(self, now_ms: float) -> bool:
        """Return whether the leader, if there was one, was silent for too long."""
        return now_ms >= self._due_ms

    def put_off(self, now_ms: float) -> None:
        """Wait for a whole timeout again, and a random part of some more.

        Replicas that have stood in vain spread further apart.
        """
        spread = 1.0 + min(self._stood, STOOD_LIMIT)
        share = self.random.uniform(1.0, 1.0 + spread)
        self._due_ms = now_ms + share * self.timeout_ms

    def leader_heard(self, now_ms: float) -> None:
        """Put the election off: the leader is alive."""
        self._stood = 0
        self._leader_heard_ms = now_ms
        self.put_off(now_ms)

    def won(self) -> None:
        """Forget the elections in vain: this replica leads."""
        self._stood = 0

    def voted(self, now_ms: float) -> None:
        """Give the candidate that got the vote, now durable, time to win."""
        self._voted_ms = now_ms
        self.put_off(now_ms)

    def hears_leader(self, now_ms: float) -> bool:
        """Return whether the leader was heard within a timeout."""
        return now_ms - self._leader_heard_ms < self.timeout_ms

    def begin_pre_vote(self, now_ms: float) -> None:
        """Begin to count pre-votes; they may be asked for again soon."""
        self._votes.clear()
        share = self.random.uniform(*RETRY_SHARES)
        self._due_ms = now_ms + share * self.timeout_ms

    def begin_vote(self, now_ms: float) -> None:
        """Begin to count votes."""
        self._votes.clear()
        self._stood += 1
        self.put_off(now_ms)

    def add_vote(self, voter: ReplicaId) -> bool:
        """Count a vote; return whether a majority has voted for this replica."""
        self._votes.add(voter)
        return self.log.membership.has_quorum(self._votes)

    def make_request(self, term: Term, pre: bool) -> VoteRequest:
        """Return what asks for votes."""
        return VoteRequest(term, self.log.last_index, self.log.last_term, pre)

    def would_vote(self, request: VoteRequest, term: Term, now_ms: float) -> bool:
        """Return whether a pre-vote is granted."""
        if request.term <= term or self.hears_leader(now_ms):
            return False
        if now_ms - self._voted_ms < self.timeout_ms:
            return False
        return self._is_up_to_date(request)

    def may_vote(
        self, candidate: ReplicaId, request: VoteRequest, hard_state: HardState
    ) -> bool:
        """Return whether a vote is granted."""
        if request.term != hard_state.term:
            return False
        if hard_state.vote not in (NO_VOTE, candidate):
            return False
        return self._is_up_to_date(request)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        ours = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= ours
