"""Agreement of replicas with empty data folders on the initial membership.

A replica may vote only after it has learned the folder id of every replica in its
settings, and has stored these ids. A replica that lost its folder comes back with a
new id, which the replicas that stored the old one refuse. So a replica that lost its
votes and acknowledgements with its disk can't contradict them.

One that has lost its disk can't introduce itself any more. It isn't waited for if
another replica has stored an agreement with this one's folder:
docs/design/replication.md explains why that is as safe.
"""

from enum import Enum

from cicadawheel.control.raft.membership import FolderId, Membership, ReplicaMember
from cicadawheel.control.replica.message import Introduction
from cicadawheel.ids import ReplicaId
from cicadawheel.settings import ReplicaAddress


class BootstrapState(Enum):
    """Whether a replica may take part in consensus."""

    WAITING = "waiting for the other replicas"
    FORMED = "formed"
    JOINING = "waiting to be added"
    REFUSED = "refused"


class Bootstrap:
    """Agreement on the initial membership, as seen by one replica.

    Parameters
    ----------
    replica : ReplicaId
        The id of this replica.
    folder : FolderId
        The id of its data folder.
    initial : tuple of ReplicaAddress
        The replicas that a new deployment starts with.
    bootstrap : Membership
        The initial membership from an earlier agreement, or an empty one.
    has_log : bool
        Whether the folder already holds a log.
    """

    def __init__(
        self,
        replica: ReplicaId,
        folder: FolderId,
        initial: tuple[ReplicaAddress, ...],
        bootstrap: Membership,
        has_log: bool,
    ):
        self.replica = replica
        self.folder = folder
        self.initial = initial
        self.membership = bootstrap
        self.reason = ""
        self._folders: dict[ReplicaId, FolderId] = {replica: folder}
        self._agreed = Membership()
        self.state = self._initial_bootstrap_state(has_log)
        self._try_form()

    def receive(
        self,
        peer: ReplicaId,
        introduction: Introduction,
        displaced: frozenset[ReplicaId] = frozenset(),
    ) -> None:
        """Process the introduction of another replica.

        A removal of this replica counts once it is committed, as a refused replica
        stays refused.

        ``displaced`` are the replicas whose disks are lost, as another one has their
        address.
        """
        reason = self._rejection_reason(peer, introduction)
        self.reason = reason or self.reason
        if reason and self.state is not BootstrapState.FORMED:
            self.state = BootstrapState.REFUSED
        if self.state is not BootstrapState.WAITING:
            return
        if self._is_removed_in(introduction):
            return
        if introduction.membership.members:
            if introduction.bootstrap.find(self.replica) is None:
                self.state = BootstrapState.JOINING
                return
            self._agreed = introduction.bootstrap
        elif set(introduction.initial) != self._initial_ids():
            self.reason = f"replica {peer} has other initial replicas in its settings"
            return
        self._folders[peer] = introduction.folder
        self._try_form()
        self._try_adopt(displaced)

    def _initial_bootstrap_state(self, has_log: bool) -> BootstrapState:
        if self.membership.members:
            return BootstrapState.FORMED
        if has_log or self.replica not in self._initial_ids():
            return BootstrapState.JOINING
        return BootstrapState.WAITING

    def _initial_ids(self) -> set[ReplicaId]:
        return {one.replica for one in self.initial}

    def _rejection_reason(self, peer: ReplicaId, introduction: Introduction) -> str:
        remedy = "start with an empty folder under a new id and add that"
        if introduction.settled and self._is_removed_in(introduction):
            return f"replica {peer} knows that this id was removed; {remedy}"
        for membership in (introduction.membership, introduction.bootstrap):
            member = membership.find(self.replica)
            if member is not None and member.folder != self.folder:
                return f"replica {peer} knows this id with another folder; {remedy}"
        return ""

    def _is_removed_in(self, introduction: Introduction) -> bool:
        return self.replica in introduction.membership.removed

    def _try_form(self) -> None:
        if self.state is not BootstrapState.WAITING:
            return
        if not self._initial_ids() <= set(self._folders):
            return
        members = [
            ReplicaMember(
                one.replica,
                one.address.host,
                one.address.port,
                self._folders[one.replica],
            )
            for one in sorted(self.initial, key=lambda one: one.replica)
        ]
        self.membership = Membership(tuple(members))
        self.reason = ""
        self.state = BootstrapState.FORMED

    def _try_adopt(self, displaced: frozenset[ReplicaId]) -> None:
        """Adopt the agreement of others if the rest of them have lost their disks."""
        missing = self._initial_ids() - set(self._folders)
        is_waiting = self.state is BootstrapState.WAITING
        if is_waiting and self._agreed.members and missing <= displaced:
            self.membership = self._agreed
            self.reason = ""
            self.state = BootstrapState.FORMED
