"""Adds and removes replicas, one at a time. Runs on the leader."""

import asyncio
import logging
from collections.abc import Callable

from cicadawheel.control.raft.core import Raft
from cicadawheel.control.raft.membership import FolderId, ReplicaMember
from cicadawheel.control.replica.change_notifier import ChangeNotifier
from cicadawheel.control.replica.engine import Engine
from cicadawheel.control.replica.message import AddReplica, RemoveReplica
from cicadawheel.control.replica.network import Network
from cicadawheel.errors import CommandRefusedError, NoQuorumError
from cicadawheel.ids import LogIndex, ReplicaId
from cicadawheel.logs import log_event
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS = 5_000.0


class ReplicaChanger:
    """Changes the set of replicas.

    Parameters
    ----------
    engine : Engine
        The engine of the leader.
    network : Network
        The connections of the leader to other replicas.
    changes : ChangeNotifier
        Notifies of state changes.
    """

    def __init__(self, engine: Engine, network: Network, changes: ChangeNotifier):
        self.engine = engine
        self.network = network
        self.changes = changes

    @property
    def raft(self) -> Raft:
        """The Raft state machine of the leader."""
        return self.engine.raft

    async def add(self, request: AddReplica) -> LogIndex:
        """Add a learner, and return once it is a voter with the committed log.

        A relay stays a learner; for it, return once it has the committed log.

        Raises
        ------
        CommandRefusedError
            The id is in use or was removed, or another change is in progress.
        NotLeaderError, NoQuorumError
            The leader has changed; the replica may have been added.
        """
        replica = request.replica
        if self.raft.membership.find(replica) is None:
            await self._add_learner(request)
        await self._wait(lambda: self._is_caught_up(replica))
        log_event(log, "replica_added", replica=replica)
        return self.raft.commit_index

    async def remove(self, request: RemoveReplica) -> LogIndex:
        """Remove a replica permanently, and return once that is committed.

        Raises
        ------
        CommandRefusedError
            The replica isn't a member or is the only voter, or another change is in
            progress.
        NotLeaderError, NoQuorumError
            The leader has changed; the replica may have been removed.
        """
        membership = self.raft.membership
        if request.replica not in membership.removed:
            membership = membership.without(request.replica)
            await self.engine.change_membership(membership)
        await self._wait(self._is_settled)
        log_event(log, "replica_removed", replica=request.replica)
        return self.raft.commit_index

    async def _add_learner(self, request: AddReplica) -> None:
        member = ReplicaMember(
            request.replica, request.host, request.port, FolderId(""), voter=False
        )
        self.raft.membership.with_learner(member)
        try:
            await self._introduce(request)
        except Exception:
            if self.raft.membership.find(request.replica) is None:
                self.network.drop_target(request.replica)
            raise

    async def _introduce(self, request: AddReplica) -> None:
        """Connect to a replica, and add it as a learner with the folder it names."""
        try:
            folder = await self._connect(request)
        except TimeoutError:
            raise CommandRefusedError(
                f"no such replica answers at {request.host}:{request.port}",
                step="add",
                peer=request.replica,
            ) from None
        known = [one.folder for one in self.raft.membership.members]
        if folder in known:
            raise CommandRefusedError(
                "the replica's data folder is that of another member",
                step="add",
                peer=request.replica,
            )
        learner = ReplicaMember(
            request.replica,
            request.host,
            request.port,
            folder,
            voter=False,
            relay=request.relay,
        )
        membership = self.raft.membership.with_learner(learner)
        await self.engine.change_membership(membership)

    async def _connect(self, request: AddReplica) -> FolderId:
        address = Address(request.host, request.port)
        self.network.add_target(request.replica, address)
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
            await self._wait(lambda: self.network.is_connected(request.replica))
        return self.network.folders[request.replica]

    async def _wait(self, condition: Callable[[], bool]) -> None:
        term = self.raft.term
        await self.changes.wait_for(
            lambda: condition() or not self._leads() or self.raft.term != term
        )
        if not condition():
            raise NoQuorumError(
                "the leader has changed; check the status before retrying",
                step="membership",
            )

    def _leads(self) -> bool:
        return self.raft.leadership is not None

    def _is_settled(self) -> bool:
        return self.raft.log.membership_index <= self.raft.commit_index

    def _is_caught_up(self, replica: ReplicaId) -> bool:
        if not self._leads() or not self._is_settled():
            return False
        membership = self.raft.membership
        if replica in membership.joining() or membership.find(replica) is None:
            return False
        if replica == self.raft.replica:
            return True
        match_index = self.raft.leadership.peers[replica].match_index
        return match_index >= self.raft.commit_index
