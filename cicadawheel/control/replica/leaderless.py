"""The state of a replica that knows no leader, logged while that lasts.

One line has to tell these apart: no majority is reachable, votes are split or refused,
a write hangs, the replica isn't a voter, its folder can't be used, or its event loop
gets no processor time.
"""

import logging
from collections import Counter
from typing import Protocol

import msgspec

from cicadawheel.control.raft.core import Raft
from cicadawheel.control.raft.election import VoteRefusal
from cicadawheel.control.replica.network import Connectivity, Network
from cicadawheel.control.replica.runner import ReplicaRunner
from cicadawheel.ids import ReplicaId, Term
from cicadawheel.logs import log_event
from cicadawheel.timer import TimerService

log = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 100.0
LINE_INTERVAL_MS = 1_000.0
SETTLED_MS = 3_000.0
"""How long a leader must be known before the time without one counts from 0 again."""
ROLE_WITHOUT_LOG = "none"


class LeaderlessState(msgspec.Struct, frozen=True):
    """What a replica without a leader knows of the reasons.

    Parameters
    ----------
    role : str
        Its role in the log, ``learner``, ``outside`` if it isn't a member, or ``none``
        if its log doesn't run.
    standing : str
        Its bootstrap state, with the reason if there is one.
    term : int
        Its term.
    last_entry : str
        The term and index of the last entry of its log.
    voters : str
        For each voter: the age of its last message and of the first unanswered one to
        it, in milliseconds; or that it is ``closed``, or has another ``folder``.
    votes : str
        The votes received in the current election or pre-vote, and those needed.
    refused : str
        The votes that it refused since it has no leader, by reason.
    write_ms : float
        How long the current write to disk has taken, 0 if there is none.
    """

    role: str = ROLE_WITHOUT_LOG
    standing: str = ""
    term: Term = Term(0)
    last_entry: str = ""
    voters: str = ""
    votes: str = ""
    refused: str = ""
    write_ms: float = 0.0


class LeaderlessReplica(Protocol):
    """The replica that is watched."""

    @property
    def leader(self) -> ReplicaId | None:
        """The replica believed to be the leader, or None."""


class LeaderWatch:
    """Logs the state of a replica for each second in which it knows no leader.

    Leaders that are known for short times only don't end the count.

    Parameters
    ----------
    replica : LeaderlessReplica
        The replica that is watched.
    runner : ReplicaRunner
        Runs its log.
    timers : TimerService
        The time source.
    """

    def __init__(
        self, replica: LeaderlessReplica, runner: ReplicaRunner, timers: TimerService
    ):
        self._replica = replica
        self._runner = runner
        self._checked_at_ms = timers.clock.now_ms()
        self._leaderless_ms = 0.0
        self._unlogged_ms = 0.0
        self._known_ms = 0.0
        self._late_ms = 0.0
        self._refused_before: Counter[VoteRefusal] = Counter()
        self._dropped_before = 0
        self._ignored_before = 0
        timers.every(CHECK_INTERVAL_MS, self._check)

    def leaderless_ms(self, now_ms: float) -> float:
        """Return how long no leader has been known, 0 if one is."""
        if self._replica.leader is not None:
            return 0.0
        return self._leaderless_ms + now_ms - self._checked_at_ms

    def _check(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._checked_at_ms
        self._checked_at_ms = now_ms
        self._late_ms = max(self._late_ms, elapsed_ms - CHECK_INTERVAL_MS)
        if self._replica.leader is not None:
            self._known_ms += elapsed_ms
            if self._known_ms >= SETTLED_MS:
                self._restart()
            return
        self._known_ms = 0.0
        self._leaderless_ms += elapsed_ms
        self._unlogged_ms += elapsed_ms
        if self._unlogged_ms >= LINE_INTERVAL_MS:
            self._log_state(now_ms)

    def _restart(self) -> None:
        self._leaderless_ms = 0.0
        self._unlogged_ms = 0.0
        self._late_ms = 0.0
        engine = self._runner.engine
        refused = Counter() if engine is None else engine.raft.vote_refusals
        self._refused_before = refused.copy()
        self._dropped_before = self._runner.network.dropped_messages
        self._ignored_before = self._runner.ignored_messages

    def _log_state(self, now_ms: float) -> None:
        state = describe_leaderless(self._runner, self._refused_before, now_ms)
        network = self._runner.network
        log_event(
            log,
            "replica_without_leader",
            warning=True,
            leaderless_ms=round(self._leaderless_ms),
            **msgspec.structs.asdict(state),
            dropped=network.dropped_messages - self._dropped_before,
            ignored=self._runner.ignored_messages - self._ignored_before,
            late_ms=round(self._late_ms),
        )
        self._unlogged_ms = 0.0
        self._late_ms = 0.0


def describe_leaderless(
    runner: ReplicaRunner, refused_before: Counter[VoteRefusal], now_ms: float
) -> LeaderlessState:
    """Return what a replica knows of the reasons why it has no leader."""
    standing = _describe_standing(runner)
    if runner.engine is None:
        return LeaderlessState(standing=standing)
    raft = runner.engine.raft
    voters = raft.membership.voters()
    needed = len(voters) // 2 + 1
    refused = raft.vote_refusals - refused_before
    return LeaderlessState(
        role=_describe_role(raft),
        standing=standing,
        term=raft.term,
        last_entry=f"{raft.log.last_term}/{raft.log.last_index}",
        voters=",".join(
            f"{voter}:{_describe_voter(voter, raft, runner.network)}"
            for voter in voters
        ),
        votes=f"{len(raft.votes())}/{needed}",
        refused=",".join(
            f"{reason.value}:{count}" for reason, count in refused.items()
        ),
        write_ms=round(raft.write_age_ms(now_ms)),
    )


def _describe_standing(runner: ReplicaRunner) -> str:
    if runner.failure is not None:
        return f"failed: {runner.failure}"
    bootstrap = runner.bootstrap
    if bootstrap is None:
        return "loading"
    state = bootstrap.state.value
    return f"{state}: {bootstrap.reason}" if bootstrap.reason else state


def _describe_role(raft: Raft) -> str:
    if raft.membership.is_voter(raft.replica):
        return raft.role.value
    is_member = raft.membership.find(raft.replica) is not None
    return "learner" if is_member else "outside"


def _describe_voter(voter: ReplicaId, raft: Raft, network: Network) -> str:
    if voter == raft.replica:
        return "self"
    connection = network.describe_connection(voter)
    if not connection.open:
        return "closed"
    if connection.folder != raft.membership.find(voter).folder:
        return "folder"
    return _describe_ages(connection)


def _describe_ages(connection: Connectivity) -> str:
    heard = "-" if connection.heard_ms is None else round(connection.heard_ms)
    sent = "-" if connection.unanswered_ms is None else round(connection.unanswered_ms)
    return f"{heard}/{sent}"
