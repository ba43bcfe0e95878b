"""Chooses automatic membership changes: promoting learners, replacing lost voters.

The choice is a pure function of the membership and of the leader's view of its peers,
so a new leader continues where the previous one stopped. docs/design/replication.md
explains why the changes are safe.
"""

from collections.abc import Callable

from cicadawheel.control.raft.membership import Membership, ReplicaMember
from cicadawheel.ids import ReplicaId

ReplicaPredicate = Callable[[ReplicaId], bool]


def next_membership(
    membership: Membership,
    voter_target: int,
    is_caught_up: ReplicaPredicate,
    is_lost: ReplicaPredicate,
) -> Membership | None:
    """Return the membership after the next change, or None if none is needed.

    Parameters
    ----------
    membership : Membership
        The committed membership.
    voter_target : int
        The wanted number of voters. With 0 every learner is promoted, and lost
        replicas are only removed by operators.
    is_caught_up : callable
        Whether a learner has the committed entries, but for the latest, and was heard
        from recently.
    is_lost : callable
        Whether a voter has been silent for long enough to be replaced by a learner.
    """
    voters = membership.voters()
    silent = list(filter(is_lost, voters))
    lost = silent[0] if silent else None
    for learner in filter(is_caught_up, membership.joining()):
        if not voter_target:
            return membership.with_voter(learner)
        replaced = _member_at_same_address(membership, learner)
        if replaced is not None:
            return membership.replacing(replaced.replica, learner)
        if len(voters) < voter_target:
            return membership.with_voter(learner)
        if len(voters) == voter_target and lost is not None:
            # A voter that is only cut off counts until the learner has its place,
            # unless a majority would need the learner meanwhile.
            if 2 * (len(voters) - len(silent)) > len(voters) + 1:
                return membership.with_voter(learner)
            return membership.without(lost)
    if voter_target and len(voters) > voter_target and lost is not None:
        return membership.without(lost)
    stale = _learner_without_address(membership) if voter_target else None
    return None if stale is None else membership.without(stale)


def _member_at_same_address(
    membership: Membership, learner: ReplicaId
) -> ReplicaMember | None:
    """Return another member with the learner's address, whose disk must be lost."""
    joined = membership.find(learner)
    for member in membership.members:
        same_address = (member.host, member.port) == (joined.host, joined.port)
        if same_address and member.replica != learner:
            return member
    return None


def _learner_without_address(membership: Membership) -> ReplicaId | None:
    """Return a learner whose address a later member has taken, or None.

    Members are in the order in which they were added, and the leader adds a replica
    only after it has met it at its address.
    """
    taken = set()
    for member in reversed(membership.members):
        address = (member.host, member.port)
        if address in taken and not member.voter:
            return member.replica
        taken.add(address)
    return None
