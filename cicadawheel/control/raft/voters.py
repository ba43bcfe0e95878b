"""Which learner becomes a voter next, and which lost voter makes way for one.

A pure function of the membership and of what the leader has heard, so that any leader
goes on where the one before stopped. See docs/design/replication.md for the argument.
"""

from collections.abc import Callable

from cicadawheel.control.raft.membership import Membership, ReplicaMember
from cicadawheel.ids import ReplicaId

Says = Callable[[ReplicaId], bool]


def next_membership(
    membership: Membership, voter_target: int, holds_log: Says, is_lost: Says
) -> Membership | None:
    """Return the next change of the membership, or None if nothing is to be done.

    Parameters
    ----------
    membership : Membership
        The committed membership.
    voter_target : int
        How many voters are wanted; 0 lets every learner vote, and leaves it to
        operators to remove lost replicas.
    holds_log : callable
        Whether a learner has all committed entries and is heard.
    is_lost : callable
        Whether a voter was silent for so long that a learner may take its place.
    """
    for learner in filter(holds_log, membership.joining()):
        if not voter_target:
            return membership.with_voter(learner)
        ghost = _former_tenant(membership, learner)
        if ghost is not None:
            return membership.replacing(ghost.replica, learner)
        voters = membership.voters()
        if len(voters) < voter_target:
            return membership.with_voter(learner)
        lost = next(filter(is_lost, voters), None)
        if lost is not None:
            return membership.without(lost)
    return None


def _former_tenant(membership: Membership, learner: ReplicaId) -> ReplicaMember | None:
    """Return a member that had the learner's address before, and so lost its disk."""
    joined = membership.find(learner)
    for member in membership.members:
        same_place = (member.host, member.port) == (joined.host, joined.port)
        if same_place and member.replica != learner:
            return member
    return None
