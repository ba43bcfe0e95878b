"""Operator view of the control replicas, and changes to their membership."""

from cicadawheel.control.command import Outcome, OutcomeState
from cicadawheel.control.replica.bootstrap import BootstrapState
from cicadawheel.control.replica.status import PeerStatus, ReplicaStatus
from cicadawheel.control.replication import ReplicatedLog
from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import ReplicaId, Revision
from cicadawheel.operator import ReplicaAction, ReplicaChange, ReplicaRole
from cicadawheel.operator import ReplicaStatus as ShownReplica
from cicadawheel.settings import parse_address


def describe_standing(own_status: ReplicaStatus) -> str:
    """Return why a replica does not take part in the log, or an empty string."""
    if own_status.bootstrap is BootstrapState.REFUSED:
        return f"{own_status.bootstrap.value}: {own_status.reason}"
    if own_status.bootstrap is BootstrapState.FORMED or _is_member(own_status):
        return own_status.reason
    text = own_status.bootstrap.value
    return f"{text}: {own_status.reason}" if own_status.reason else text


def describe_replicas(own_status: ReplicaStatus) -> tuple[ShownReplica, ...]:
    """Return all replicas known to the answering one, itself first.

    The list is empty if the answering replica is not a member.
    """
    if not _is_member(own_status):
        return ()
    role = _role_of(own_status.replica, own_status)
    behind = own_status.commit_index - own_status.applied_index
    itself = ShownReplica(own_status.replica, "", role, behind, 0)
    others = (
        _describe_peer(peer, own_status)
        for peer in own_status.peers
        if peer.replica != own_status.replica
    )
    return (itself, *others)


def _is_member(own_status: ReplicaStatus) -> bool:
    return own_status.replica in (*own_status.voters, *own_status.learners)


def _role_of(replica: ReplicaId, own_status: ReplicaStatus) -> ReplicaRole:
    if replica in own_status.voters:
        return ReplicaRole.VOTER
    return ReplicaRole.RELAY if replica in own_status.relays else ReplicaRole.LEARNER


def _describe_peer(peer: PeerStatus, own_status: ReplicaStatus) -> ShownReplica:
    return ShownReplica(
        replica=peer.replica,
        address=peer.address,
        role=_role_of(peer.replica, own_status),
        behind_entries=max(0, own_status.commit_index - peer.match_index),
        last_heard_ms=int(peer.heard_ms),
    )


async def change_replicas(
    log: ReplicatedLog | None, change: ReplicaChange, revision: Revision
) -> Outcome:
    """Add or remove a replica and return the outcome.

    Raises
    ------
    NoQuorumError, NotLeaderError
        No majority has confirmed the change.
    """
    if log is None:
        message = "this replica keeps its state in memory only: set data_folder"
        return Outcome(OutcomeState.REFUSED, revision, message)
    try:
        if change.action is ReplicaAction.ADD:
            address = parse_address(change.address)
            await log.add_replica(change.replica, address, change.relay)
        else:
            await log.remove_replica(change.replica)
    except ValueError as error:
        return Outcome(OutcomeState.REFUSED, revision, str(error))
    except CommandRefusedError as error:
        return Outcome(OutcomeState.REFUSED, revision, error.message)
    return Outcome(OutcomeState.DONE, revision, f"{change.action.value} completed")
