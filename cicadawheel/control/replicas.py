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


def describe_standing(own: ReplicaStatus) -> str:
    """Return why a replica does not take part in the log, or an empty string."""
    if own.bootstrap is BootstrapState.REFUSED:
        return f"{own.bootstrap.value}: {own.reason}"
    if own.bootstrap is BootstrapState.FORMED or _is_member(own):
        return own.reason
    text = own.bootstrap.value
    return f"{text}: {own.reason}" if own.reason else text


def describe_replicas(own: ReplicaStatus) -> tuple[ShownReplica, ...]:
    """Return all replicas known to the answering one, itself first.

    The list is empty if the answering replica is not a member.
    """
    if not _is_member(own):
        return ()
    role = _role_of(own.replica, own)
    behind = own.commit_index - own.applied_index
    itself = ShownReplica(own.replica, "", role, behind, 0)
    others = (
        _describe_peer(peer, own) for peer in own.peers if peer.replica != own.replica
    )
    return (itself, *others)


def _is_member(own: ReplicaStatus) -> bool:
    return own.replica in (*own.voters, *own.learners)


def _role_of(replica: ReplicaId, own: ReplicaStatus) -> ReplicaRole:
    if replica in own.voters:
        return ReplicaRole.VOTER
    return ReplicaRole.RELAY if replica in own.relays else ReplicaRole.LEARNER


def _describe_peer(peer: PeerStatus, own: ReplicaStatus) -> ShownReplica:
    return ShownReplica(
        replica=peer.replica,
        address=peer.address,
        role=_role_of(peer.replica, own),
        behind_entries=max(0, own.commit_index - peer.match_index),
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
    return Outcome(OutcomeState.DONE, revision, f"{change.action.value} is done")
