"""The set of replicas, and the changes that may be made to it."""

from collections.abc import Callable
from typing import NewType

import msgspec

from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import ReplicaId

FolderId = NewType("FolderId", str)
"""Random id that is generated for a data folder when it is first opened."""


class ReplicaMember(msgspec.Struct, array_like=True, frozen=True):
    """One replica, with its stream address and the id of its data folder.

    A learner (``voter`` is false) receives the log but doesn't count towards a quorum.
    It is promoted to a voter once it has caught up, unless it is a relay, which stays
    a learner.
    """

    replica: ReplicaId
    host: str
    port: int
    folder: FolderId
    voter: bool = True
    relay: bool = False


class Membership(msgspec.Struct, array_like=True, frozen=True, tag="membership"):
    """The current replicas, and the removed ids, which can't be reused."""

    members: tuple[ReplicaMember, ...] = ()
    removed: tuple[ReplicaId, ...] = ()

    def find(self, replica: ReplicaId) -> ReplicaMember | None:
        """Return the member with an id, or None."""
        for member in self.members:
            if member.replica == replica:
                return member
        return None

    def voters(self) -> list[ReplicaId]:
        """Return the voting replicas."""
        return [member.replica for member in self.members if member.voter]

    def learners(self) -> list[ReplicaId]:
        """Return the non-voting replicas, including relays."""
        return [member.replica for member in self.members if not member.voter]

    def relays(self) -> list[ReplicaId]:
        """Return the learners that are never promoted to voters."""
        return [member.replica for member in self.members if member.relay]

    def joining(self) -> list[ReplicaId]:
        """Return the learners that are waiting to become voters."""
        relays = self.relays()
        return [learner for learner in self.learners() if learner not in relays]

    def is_voter(self, replica: ReplicaId) -> bool:
        """Return whether a replica is a voter."""
        member = self.find(replica)
        return member is not None and member.voter

    def has_quorum(self, replicas: set[ReplicaId]) -> bool:
        """Return whether a set of replicas includes a majority of the voters."""
        voters = self.voters()
        return 2 * sum(voter in replicas for voter in voters) > len(voters)

    def quorum_value(self, value_of: Callable[[ReplicaId], float]) -> float:
        """Return the highest value that a majority of the voters has reached."""
        values = sorted(map(value_of, self.voters()), reverse=True)
        return values[len(values) // 2]

    def with_learner(self, member: ReplicaMember) -> "Membership":
        """Return the membership with a learner added.

        Raises
        ------
        CommandRefusedError
            The id is in use, or belongs to a removed replica.
        """
        if self.find(member.replica) is not None:
            raise CommandRefusedError(
                "the replica is a member already", step="add", peer=member.replica
            )
        if member.replica in self.removed:
            raise CommandRefusedError(
                "the replica id was removed before; take a new id and an empty folder",
                step="add",
                peer=member.replica,
            )
        learner = msgspec.structs.replace(member, voter=False)
        return Membership((*self.members, learner), self.removed)

    def with_voter(self, replica: ReplicaId) -> "Membership":
        """Return the membership with a learner promoted to a voter."""
        members = tuple(
            msgspec.structs.replace(member, voter=True)
            if member.replica == replica
            else member
            for member in self.members
        )
        return Membership(members, self.removed)

    def replacing(self, lost: ReplicaId, learner: ReplicaId) -> "Membership":
        """Return the membership with a lost replica replaced by a learner.

        The lost replica must never take part again: its disk is gone. The learner
        becomes a voter if the lost replica was one. docs/design/replication.md explains
        why this is safe as a single change.
        """
        votes = self.is_voter(lost)
        members = tuple(
            msgspec.structs.replace(member, voter=member.voter or votes)
            if member.replica == learner
            else member
            for member in self.members
            if member.replica != lost
        )
        return Membership(members, (*self.removed, lost))

    def without(self, replica: ReplicaId) -> "Membership":
        """Return the membership with a replica removed; its id can't be reused.

        Raises
        ------
        CommandRefusedError
            The replica is no member, or is the only voter.
        """
        if self.find(replica) is None:
            raise CommandRefusedError(
                "the replica is no member", step="remove", peer=replica
            )
        if self.voters() == [replica]:
            raise CommandRefusedError(
                "the replica is the only voter", step="remove", peer=replica
            )
        members = tuple(one for one in self.members if one.replica != replica)
        return Membership(members, (*self.removed, replica))
