"""Leases of nodes, and the configuration revision in force at each node.

Only the leader uses this table, which is kept in memory. A new leader grants every
member a full lease, so that no lease expires because of a change of leader.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from cicadawheel.configuration import Member
from cicadawheel.ids import Epoch, NodeId, Revision


class MissingReason(Enum):
    """Reason why a node is not known to have a revision in force."""

    SILENT = "silent"
    BEHIND = "behind"
    NOT_HEARD = "not heard since the leader began"


class MissingNode(msgspec.Struct, frozen=True):
    """A node that isn't known to have a revision in force.

    ``silent_ms`` is the time since its last renewal.
    """

    node: NodeId
    reason: MissingReason
    in_force: Revision
    silent_ms: float


class LeaseStatus(msgspec.Struct, frozen=True):
    """The revision in force at a node, and the time since its last renewal."""

    in_force: Revision
    silent_ms: float


class RenewalState(Enum):
    """The result of a renewal."""

    RENEWED = "renewed"
    FENCED = "fenced"


class NodeLoad(msgspec.Struct, array_like=True, frozen=True):
    """The load of an upstream, as last reported by its node's gate.

    ``limit`` is the gate's concurrency limit, which is below the number of slots
    during a cold start.
    """

    in_flight: int
    queued: int
    limit: int


class _Lease(msgspec.Struct):
    epoch: Epoch
    in_force: Revision
    heard: bool
    heard_at_ms: float
    load: NodeLoad | None = None


class LeaseTable:
    """The leases of all members.

    Times are from the leader's monotonic clock.

    Parameters
    ----------
    lease_ms : float
        Time without a renewal after which a lease expires.
    """

    def __init__(self, lease_ms: float):
        self.lease_ms = lease_ms
        self._leases: dict[NodeId, _Lease] = {}

    def reset(self, members: Iterable[Member], now_ms: float) -> None:
        """Grant every member a full lease, at a change of leadership."""
        self._leases = {}
        self.sync(members, now_ms)

    def sync(self, members: Iterable[Member], now_ms: float) -> None:
        """Add and remove leases to match the registered members and their epochs."""
        synced: dict[NodeId, _Lease] = {}
        for member in members:
            lease = self._leases.get(member.node)
            if lease is None or lease.epoch != member.epoch:
                load = None if lease is None else lease.load
                lease = _Lease(member.epoch, Revision(0), False, now_ms, load)
            synced[member.node] = lease
        self._leases = synced

    def renew(
        self,
        node: NodeId,
        epoch: Epoch,
        in_force: Revision,
        now_ms: float,
        load: NodeLoad | None = None,
    ) -> RenewalState:
        """Renew a node's lease, unless its epoch is no longer current.

        A fenced node has to register again.
        """
        lease = self._leases.get(node)
        if lease is None or lease.epoch != epoch:
            return RenewalState.FENCED
        lease.in_force = max(lease.in_force, in_force)
        lease.heard = True
        lease.load = load
        lease.heard_at_ms = max(lease.heard_at_ms, now_ms)
        return RenewalState.RENEWED

    def status(self, node: NodeId, now_ms: float) -> LeaseStatus | None:
        """Return the lease status of a node, or None if it is not a member."""
        lease = self._leases.get(node)
        if lease is None:
            return None
        return LeaseStatus(lease.in_force, now_ms - lease.heard_at_ms)

    def loads(self, now_ms: float) -> dict[NodeId, NodeLoad]:
        """Return the loads of the nodes whose leases have not expired."""
        return {
            node: lease.load
            for node, lease in self._leases.items()
            if lease.load is not None and now_ms - lease.heard_at_ms < self.lease_ms
        }

    def expired(self, now_ms: float) -> tuple[tuple[NodeId, Epoch], ...]:
        """Return the nodes whose leases have expired, for `ExpireMembers`."""
        return tuple(
            (node, lease.epoch)
            for node, lease in self._leases.items()
            if now_ms - lease.heard_at_ms >= self.lease_ms
        )

    def missing_nodes(
        self, revision: Revision, now_ms: float
    ) -> tuple[MissingNode, ...]:
        """Return the members not known to have a revision in force."""
        return tuple(
            MissingNode(
                node,
                self._missing_reason(lease, now_ms),
                lease.in_force,
                now_ms - lease.heard_at_ms,
            )
            for node, lease in sorted(self._leases.items())
            if lease.in_force < revision
        )

    def _missing_reason(self, lease: _Lease, now_ms: float) -> MissingReason:
        if not lease.heard:
            return MissingReason.NOT_HEARD
        if now_ms - lease.heard_at_ms >= self.lease_ms / 2:
            return MissingReason.SILENT
        return MissingReason.BEHIND


def make_lease_table(lease_ms: float) -> LeaseTable:
    """Return an empty lease table."""
    return LeaseTable(lease_ms)
