"""The registered members, with the log index at which each one last changed."""

from collections import OrderedDict

import msgspec

from cicadawheel.configuration import Member
from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import BootId, Epoch, LogIndex, NodeId, UpstreamId

REMOVAL_LIMIT = 10_000
DEPARTURE_LIMIT = 10_000
"""Number of nodes whose last departed upstream is remembered."""

NO_BOOT = BootId("")


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


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """A boot of an upstream that has left for good."""

    upstream: UpstreamId
    boot: BootId


class MembersSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The content of a `MemberTable`."""

    members: list[Member]
    changed_at: dict[NodeId, LogIndex]
    removals: list[Removal]
    removals_from: LogIndex
    departures: dict[NodeId, Departure] = {}


class MemberTable:
    """The members by node, each with the epoch of its latest registration."""

    def __init__(self):
        self.members: dict[NodeId, Member] = {}
        self._changed_at: dict[NodeId, LogIndex] = {}
        self._removals: list[Removal] = []
        self._removals_from = LogIndex(0)
        self._departures: OrderedDict[NodeId, Departure] = OrderedDict()

    def register(
        self, index: LogIndex, member: Member, boot: BootId = NO_BOOT
    ) -> Member:
        """Add or replace a member under a new epoch, and return it.

        A boot that has departed from the node stays so, whatever the node, which may
        have restarted since, was told late.

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
        departure = Departure(member.upstream, boot)
        if member.departed_boot:
            self._record_departure(member)
        elif self._departures.get(member.node) == departure:
            registered = msgspec.structs.replace(
                registered, leaving=True, departed_boot=boot
            )
        self._put(index, registered)
        return registered

    def _record_departure(self, member: Member) -> None:
        self._departures[member.node] = Departure(member.upstream, member.departed_boot)
        self._departures.move_to_end(member.node)
        if len(self._departures) > DEPARTURE_LIMIT:
            self._departures.popitem(last=False)

    def is_current(self, node: NodeId, epoch: Epoch) -> bool:
        """Return whether an epoch is that of a node's latest registration."""
        member = self.members.get(node)
        return member is not None and member.epoch == epoch

    def leave(
        self,
        index: LogIndex,
        node: NodeId,
        epoch: Epoch,
        departed_boot: BootId = NO_BOOT,
    ) -> bool:
        """Mark a member as leaving; return False if the epoch is not current.

        ``departed_boot`` is the boot of its upstream if that has left for good.
        """
        if not self.is_current(node, epoch):
            return False
        member = self.members[node]
        leaving = msgspec.structs.replace(
            member, leaving=True, departed_boot=departed_boot or member.departed_boot
        )
        if leaving.departed_boot:
            self._record_departure(leaving)
        if leaving != member:
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
            dict(self._departures),
        )

    def restore(self, snapshot: MembersSnapshot) -> None:
        """Replace the table with a snapshot."""
        self.members = {member.node: member for member in snapshot.members}
        self._changed_at = dict(snapshot.changed_at)
        self._removals = list(snapshot.removals)
        self._removals_from = snapshot.removals_from
        self._departures = OrderedDict(snapshot.departures)

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
