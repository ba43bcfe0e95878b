"""The registered members, with the log index at which each one last changed."""

import msgspec

from cicadawheel.configuration import Member
from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import Epoch, LogIndex, NodeId

REMOVAL_LIMIT = 10_000


class Removal(msgspec.Struct, frozen=True, array_like=True):
    """The removal of a node at a log index."""

    index: LogIndex
    node: NodeId


class MembersDelta(msgspec.Struct, frozen=True, array_like=True):
    """Changes to the table after a log index.

    If ``whole`` is set, ``changed`` is the full list of members, and any member that
    is not listed has been removed.
    """

    whole: bool
    changed: tuple[Member, ...]
    removed: tuple[NodeId, ...]


class MembersSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The content of a `MemberTable`."""

    members: list[Member]
    changed_at: dict[NodeId, LogIndex]
    removals: list[Removal]
    removals_from: LogIndex


class MemberTable:
    """The members by node, each with the epoch of its latest registration."""

    def __init__(self):
        self.members: dict[NodeId, Member] = {}
        self._changed_at: dict[NodeId, LogIndex] = {}
        self._removals: list[Removal] = []
        self._removals_from = LogIndex(0)

    def register(self, index: LogIndex, member: Member) -> Member:
        """Add or replace a member under a new epoch, and return it.

        Raises
        ------
        CommandRefusedError
            Another registered node holds the upstream name or the address, and
            keeps both until its lease expires.
        """
        for other in self.members.values():
            if other.node != member.node:
                _check_not_held(member, other)
        registered = msgspec.structs.replace(member, epoch=Epoch(index))
        self._put(index, registered)
        return registered

    def is_current(self, node: NodeId, epoch: Epoch) -> bool:
        """Return whether an epoch is that of a node's latest registration."""
        member = self.members.get(node)
        return member is not None and member.epoch == epoch

    def leave(self, index: LogIndex, node: NodeId, epoch: Epoch) -> bool:
        """Mark a member as leaving; return False if the epoch is not current."""
        if not self.is_current(node, epoch):
            return False
        if not self.members[node].leaving:
            leaving = msgspec.structs.replace(self.members[node], leaving=True)
            self._put(index, leaving)
        return True

    def expire(self, index: LogIndex, node: NodeId, epoch: Epoch) -> bool:
        """Remove a member; return False if the epoch is not current."""
        if not self.is_current(node, epoch):
            return False
        del self.members[node]
        del self._changed_at[node]
        self._removals.append(Removal(index, node))
        if len(self._removals) > REMOVAL_LIMIT:
            self._removals_from = self._removals.pop(0).index
        return True

    def delta_since(self, index: LogIndex) -> MembersDelta:
        """Return changes after an index, or all members if the history is too short."""
        if index < self._removals_from:
            return MembersDelta(True, tuple(self.members.values()), ())
        changed = tuple(
            member
            for node, member in self.members.items()
            if self._changed_at[node] > index
        )
        removed = {
            removal.node
            for removal in self._removals
            if removal.index > index and removal.node not in self.members
        }
        return MembersDelta(False, changed, tuple(sorted(removed)))

    def snapshot(self) -> MembersSnapshot:
        """Return a snapshot of the table."""
        return MembersSnapshot(
            list(self.members.values()),
            dict(self._changed_at),
            list(self._removals),
            self._removals_from,
        )

    def restore(self, snapshot: MembersSnapshot) -> None:
        """Replace the table with a snapshot."""
        self.members = {member.node: member for member in snapshot.members}
        self._changed_at = dict(snapshot.changed_at)
        self._removals = list(snapshot.removals)
        self._removals_from = snapshot.removals_from

    def _put(self, index: LogIndex, member: Member) -> None:
        self.members[member.node] = member
        self._changed_at[member.node] = index


def _check_not_held(member: Member, other: Member) -> None:
    held = ""
    if other.upstream == member.upstream:
        held = f"upstream {member.upstream}"
    elif (other.host, other.port) == (member.host, member.port):
        held = f"address {member.host}:{member.port}"
    if held:
        raise CommandRefusedError(
            f"{held} is held by node {other.node} with epoch {other.epoch}; "
            "it is free once that node's lease has run out",
            step="register",
            peer=member.node,
        )
