"""The status of a replica as reported to operators."""

from enum import Enum

import msgspec

from cicadawheel.control.raft.core import Raft
from cicadawheel.control.raft.leadership import Leadership
from cicadawheel.control.raft.role import Role
from cicadawheel.control.replica.bootstrap import BootstrapState
from cicadawheel.ids import LogIndex, ReplicaId, Term


class RepairState(Enum):
    """Progress of the repair after a replica was lost or added.

    Only the leader knows it. ``WHOLE`` means that all replicas are voters, were heard
    from within the election timeout, and durably hold every committed entry. Relays
    aren't considered.
    """

    UNKNOWN = "unknown"
    CHANGING = "changing"
    LEARNING = "learning"
    SILENT = "replica silent"
    CATCHING_UP = "catching up"
    WHOLE = "whole"


class PeerStatus(msgspec.Struct, frozen=True):
    """Another replica as seen by the leader."""

    replica: ReplicaId
    address: str
    voter: bool
    match_index: LogIndex
    heard_ms: float


class ReplicaStatus(msgspec.Struct, frozen=True):
    """Status of a replica; only the leader knows ``peers`` and ``repair``."""

    replica: ReplicaId
    bootstrap: BootstrapState
    reason: str = ""
    role: Role = Role.FOLLOWER
    term: Term = Term(0)
    leader: ReplicaId | None = None
    commit_index: LogIndex = LogIndex(0)
    applied_index: LogIndex = LogIndex(0)
    snapshot_index: LogIndex = LogIndex(0)
    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    relays: tuple[ReplicaId, ...] = ()
    removed: tuple[ReplicaId, ...] = ()
    peers: tuple[PeerStatus, ...] = ()
    repair: RepairState = RepairState.UNKNOWN
    leaderless_ms: float = 0.0
    write_ms: float = 0.0
    dropped_messages: int = 0
    ignored_messages: int = 0


def describe_replica(
    raft: Raft, bootstrap: BootstrapState, reason: str, now_ms: float
) -> ReplicaStatus:
    """Return the status of a replica whose Raft state machine runs."""
    membership = raft.membership
    return ReplicaStatus(
        replica=raft.replica,
        bootstrap=bootstrap,
        reason=reason,
        role=raft.role,
        term=raft.term,
        leader=raft.leader,
        commit_index=raft.commit_index,
        applied_index=raft.applied_index,
        snapshot_index=raft.snapshot.index if raft.snapshot else LogIndex(0),
        voters=tuple(membership.voters()),
        learners=tuple(membership.learners()),
        relays=tuple(membership.relays()),
        removed=membership.removed,
        peers=_describe_peers(raft.leadership, now_ms),
        repair=find_repair_state(raft.leadership, now_ms),
    )


def find_repair_state(leadership: Leadership | None, now_ms: float) -> RepairState:
    """Return the repair state, which is unknown unless this replica leads."""
    if leadership is None or not leadership.is_ready():
        return RepairState.UNKNOWN
    if leadership.log.membership_index > leadership.commit_index:
        return RepairState.CHANGING
    if leadership.log.membership.joining():
        return RepairState.LEARNING
    relays = leadership.log.membership.relays()
    timeout_ms = leadership.options.election_timeout_ms
    peers = [
        peer for replica, peer in leadership.peers.items() if replica not in relays
    ]
    if not all(peer.is_active(now_ms, timeout_ms) for peer in peers):
        return RepairState.SILENT
    held = [leadership.log.persisted_index, *(peer.match_index for peer in peers)]
    if min(held) < leadership.commit_index:
        return RepairState.CATCHING_UP
    return RepairState.WHOLE


def _describe_peers(
    leadership: Leadership | None, now_ms: float
) -> tuple[PeerStatus, ...]:
    if leadership is None:
        return ()
    peers = []
    for member in leadership.log.membership.members:
        progress = leadership.peers.get(member.replica)
        if progress is None:
            continue
        status = PeerStatus(
            member.replica,
            f"{member.host}:{member.port}",
            member.voter,
            progress.match_index,
            now_ms - progress.heard_ms,
        )
        peers.append(status)
    return tuple(peers)
