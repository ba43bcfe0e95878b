"""Runs one replica: opens its folder, bootstraps its membership, runs the engine."""

import asyncio
import itertools
import logging
import random
import secrets
from collections.abc import Callable
from typing import Protocol

from cicadawheel.control.command import AnyCommand, Outcome
from cicadawheel.control.log import StateMachine
from cicadawheel.control.raft import make_raft
from cicadawheel.control.raft.entry import SavedState
from cicadawheel.control.raft.leadership import RaftOptions
from cicadawheel.control.raft.membership import FolderId, Membership
from cicadawheel.control.raft.message import RaftMessage
from cicadawheel.control.replica.bootstrap import Bootstrap, BootstrapState
from cicadawheel.control.replica.change_notifier import ChangeNotifier
from cicadawheel.control.replica.engine import Engine
from cicadawheel.control.replica.message import Introduction, Join
from cicadawheel.control.replica.network import Network
from cicadawheel.control.storage import Files, Storage
from cicadawheel.control.storage.identity import Identity
from cicadawheel.errors import CicadawheelError, ReplicaRemovedError, StorageError
from cicadawheel.ids import LogIndex, ReplicaId
from cicadawheel.logs import log_event
from cicadawheel.settings import Address, ControlSettings, Settings
from cicadawheel.timer import MS_PER_S, TimerService
from cicadawheel.wire import Message
from cicadawheel.wire.stream import Identity as StreamIdentity

log = logging.getLogger(__name__)

TICKS_PER_HEARTBEAT = 5
RANDOM_ID_BYTES = 8
# Interval at which a replica that is not a member looks for others. It is well below
# the duration of an election.
DISCOVERY_INTERVAL_MS = 200.0
# An election with a lost vote takes as long, so that it isn't taken for being alone.
ALONE_TIMEOUTS = 3


class RunnerOwner(Protocol):
    """Receives the messages and events of a running replica."""

    def message_received(self, peer: ReplicaId, message: Message) -> None:
        """Process a message that isn't a Raft message."""

    def command_applied(
        self, index: LogIndex, command: AnyCommand, outcome: Outcome
    ) -> None:
        """Handle a command that this replica has applied."""

    def leader_changed(self) -> None:
        """Handle a change of the leader as known to this replica."""

    def leadership_changed(self, leads: bool) -> None:
        """Handle that this replica is the leader with the full state, or no longer."""


class ReplicaRunner:
    """Owns the data folder, the connections and the engine of one replica.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    machine : StateMachine
        The state machine that committed commands are applied to.
    timers : TimerService
        The time source.
    random : random.Random
        Randomises the election timeouts.
    open_files : callable
        Opens the data folder.
    owner : RunnerOwner
        Receives messages and events.
    """

    def __init__(
        self,
        settings: Settings,
        machine: StateMachine,
        timers: TimerService,
        random: random.Random,
        open_files: Callable[[str], Files],
        owner: RunnerOwner,
    ):
        self.replica = settings.replica
        self.control: ControlSettings = settings.control
        self.seeds = settings.control.seeds
        self.machine = machine
        self.timers = timers
        self.random = random
        self.open_files = open_files
        self.owner = owner
        self.leads = False
        self.changes = ChangeNotifier()
        self.bootstrap: Bootstrap | None = None
        self.engine: Engine | None = None
        self.group: asyncio.TaskGroup | None = None
        self.ignored_messages = 0
        """Raft messages of replicas whose folder isn't the expected one."""
        boot = secrets.token_hex(RANDOM_ID_BYTES)
        identity = StreamIdentity(self.replica, boot, settings.process.key.encode())
        self.network = Network(
            self.control.replica_address, identity, self, timers.clock
        )
        self._initial_state = machine.begin_snapshot().data()
        self.failure: StorageError | None = None
        self._leader: ReplicaId | None = None
        self._targets_membership: Membership | None = None
        self._is_removed = False
        self._join_attempts = itertools.count()
        self._leaderless_since_ms = timers.clock.now_ms()
        self._denied_by: set[ReplicaId] = set()
        """The replicas whose committed membership lacks this one."""

    async def run(self) -> None:
        """Run the replica until cancelled.

        Raises
        ------
        StorageError
            The data folder failed. Further calls raise the same error.
        ConnectionLostError
            The replica's address can't be listened on.
        """
        if self.failure is not None:
            raise self.failure
        try:
            await self._run_storage()
        except StorageError as error:
            self.failure = error
            log_event(log, "replica_failed", reason=str(error))
            raise

    def introduce(self) -> Introduction:
        """Return the introduction of this replica, with its memberships."""
        initial = tuple(one.replica for one in self.control.replicas)
        agreed = self.bootstrap.membership
        newest = agreed
        settled = False
        if self.engine is not None and self.engine.raft.membership.members:
            raft = self.engine.raft
            newest = raft.membership
            settled = raft.log.membership_index <= raft.commit_index
        return Introduction(
            self.bootstrap.folder, initial, agreed, newest, settled, repeats=True
        )

    def replica_introduced(self, peer: ReplicaId, introduction: Introduction) -> None:
        """Process the introduction of another replica."""
        before = (self.bootstrap.state, self.bootstrap.reason)
        # Only names that were given by host stay with their address.
        displaced = self.network.displaced if self.control.seeds else ()
        self.bootstrap.receive(peer, introduction, frozenset(displaced))
        if (self.bootstrap.state, self.bootstrap.reason) != before:
            self._log_bootstrap(peer)
        self._record_denial(peer, introduction)
        removed = self.replica in introduction.membership.removed
        if self.control.seeds and introduction.settled and removed:
            self._is_removed = True
        self.changes.notify()

    def replica_message(self, peer: ReplicaId, message: Message) -> None:
        """Process a message from another replica."""
        if not isinstance(message, RaftMessage):
            self.owner.message_received(peer, message)
        elif self.engine is None or not self._has_expected_folder(peer):
            self.ignored_messages += 1
        else:
            self.engine.receive(peer, message)

    def send(self, replica: ReplicaId, message: Message) -> bool:
        """Send a message to a replica; return False if it is dropped."""
        return self.network.send(replica, message)

    def command_applied(
        self, index: LogIndex, command: AnyCommand, outcome: Outcome
    ) -> None:
        """Notify the owner of an applied command."""
        self.owner.command_applied(index, command, outcome)

    def state_changed(self) -> None:
        """Update the leader and the targets, and wake waiters, after an engine step."""
        self._update_leader()
        self._update_leads()
        self._update_targets()
        self.changes.notify()

    async def _run_storage(self) -> None:
        folder = self.control.data_folder
        files = await asyncio.to_thread(self.open_files, folder)
        storage = Storage(files)
        try:
            saved = await asyncio.to_thread(storage.load)
            identity = await asyncio.to_thread(self._load_identity, storage, saved)
            self.bootstrap = self._make_bootstrap(identity, saved)
            self._log_bootstrap("")
            await self._run_tasks(storage, saved)
        finally:
            self.engine = None
            self._targets_membership = None
            self._update_leads()
            self.changes.notify()
            storage.close()

    async def _run_tasks(self, storage: Storage, saved: SavedState) -> None:
        try:
            async with asyncio.TaskGroup() as group:
                self.group = group
                group.create_task(self.network.run(self._set_initial_targets))
                group.create_task(self._run_engine(storage, saved))
                group.create_task(self._raise_if_removed())
                if self.control.seeds:
                    group.create_task(self._discover_replicas())
        except* CicadawheelError as errors:
            raise _first_error(errors) from None
        finally:
            self.group = None

    async def _run_engine(self, storage: Storage, saved: SavedState) -> None:
        bootstrap = self.bootstrap
        may_begin = (BootstrapState.FORMED, BootstrapState.JOINING)
        await self.changes.wait_for(lambda: bootstrap.state in may_begin)
        if bootstrap.membership != storage.identity.bootstrap:
            identity = Identity(self.replica, bootstrap.folder, bootstrap.membership)
            await asyncio.to_thread(storage.save_identity, identity)
            saved = _with_bootstrap(saved, bootstrap.membership)
        self._leaderless_since_ms = self.timers.clock.now_ms()
        self.engine = self._make_engine(storage, saved)
        tick_ms = self.control.heartbeat_ms / TICKS_PER_HEARTBEAT
        ticks = self.timers.every(tick_ms, self.engine.tick)
        try:
            await self.engine.run()
        finally:
            ticks.cancel()

    async def _raise_if_removed(self) -> None:
        await self.changes.wait_for(lambda: self._is_removed)
        raise ReplicaRemovedError(
            "this replica was removed by the others", step="member", peer=self.replica
        )

    async def _discover_replicas(self) -> None:
        """Ask to join whenever this replica is no member.

        It connects to the seeds then, and while it hears no leader: of the members that
        it knows, all may have been replaced.
        """
        own = self.control.replica_address
        while True:
            seeds = {Address(seed.host, own.port) for seed in self.seeds}
            is_outside = self._is_outside()
            looks = is_outside or self._is_left_alone()
            self.network.set_seed_addresses(seeds - {own} if looks else set())
            if is_outside:
                self._ask_to_join(own)
            await asyncio.sleep(DISCOVERY_INTERVAL_MS / MS_PER_S)

    def _is_outside(self) -> bool:
        """Return whether this replica is no member, as far as it can know.

        The entry that added it may be lost with the leader that sent it. Then its own
        log says that it is a member, and the others know nothing of it.
        """
        if self.engine is None:
            return False
        if self.engine.raft.membership.find(self.replica) is None:
            return True
        reachable = self.network.reachable()
        denied = not self._denied_by.isdisjoint(reachable)
        return denied and self._is_left_alone()

    def _is_left_alone(self) -> bool:
        """Return whether the log runs and no leader has been heard for a while."""
        if self.engine is None or self.engine.raft.leader is not None:
            return False
        leaderless_ms = self.timers.clock.now_ms() - self._leaderless_since_ms
        return leaderless_ms >= ALONE_TIMEOUTS * self.control.election_timeout_ms

    def _record_denial(self, peer: ReplicaId, introduction: Introduction) -> None:
        members = introduction.membership.members
        is_member = introduction.membership.find(self.replica) is not None
        if introduction.settled and members and not is_member:
            self._denied_by.add(peer)
        else:
            self._denied_by.discard(peer)

    def _ask_to_join(self, own: Address) -> None:
        reachable = self.network.reachable()
        if reachable:
            peer = reachable[next(self._join_attempts) % len(reachable)]
            self.network.send(peer, Join(self.replica, own.host, own.port))

    def _make_engine(self, storage: Storage, saved: SavedState) -> Engine:
        control = self.control
        options = RaftOptions(
            control.election_timeout_ms, control.heartbeat_ms, control.voter_target
        )
        clock = self.timers.clock
        raft = make_raft(self.replica, saved, options, self.random, clock.now_ms())
        snapshot = saved.snapshot
        self.machine.restore(snapshot.data if snapshot else self._initial_state)
        return Engine(
            raft, storage, self.machine, clock, control.snapshot_entries, self
        )

    def _load_identity(self, storage: Storage, saved: SavedState) -> Identity:
        identity = storage.identity
        if identity is None:
            self._check_unused(saved)
            folder = FolderId(secrets.token_hex(RANDOM_ID_BYTES))
            identity = Identity(self.replica, folder)
            storage.save_identity(identity)
        if identity.replica != self.replica:
            raise StorageError(
                f"data folder belongs to replica {identity.replica}; set that name "
                f"in [process] name, or use another folder",
                step="load",
                peer=self.control.data_folder,
            )
        return identity

    def _check_unused(self, saved: SavedState) -> None:
        if saved != SavedState():
            raise StorageError(
                "data folder holds a log but no identity file; add this replica again "
                "with an empty folder under a new replica id",
                step="load",
                peer=self.control.data_folder,
            )

    def _make_bootstrap(self, identity: Identity, saved: SavedState) -> Bootstrap:
        has_log = bool(saved.snapshot or saved.entries)
        return Bootstrap(
            self.replica,
            identity.folder,
            self.control.replicas,
            identity.bootstrap,
            has_log,
        )

    def _log_bootstrap(self, peer: str) -> None:
        log_event(
            log,
            "replica_bootstrap",
            state=self.bootstrap.state.value,
            folder=self.bootstrap.folder,
            peer=peer,
            reason=self.bootstrap.reason,
        )

    def _has_expected_folder(self, peer: ReplicaId) -> bool:
        """Return whether a peer has the folder recorded in the membership, if any."""
        member = self.engine.raft.membership.find(peer)
        return member is None or member.folder == self.network.folders.get(peer)

    def _set_initial_targets(self) -> None:
        targets = {
            one.replica: one.address
            for one in self.control.replicas
            if one.replica != self.replica
        }
        self.network.set_targets(targets)
        self._targets_membership = None

    def _update_targets(self) -> None:
        membership = self.engine.raft.membership
        if membership is self._targets_membership or not membership.members:
            return
        self._targets_membership = membership
        targets = {
            member.replica: Address(member.host, member.port)
            for member in membership.members
            if member.replica != self.replica
        }
        self.network.set_targets(targets)

    def _update_leader(self) -> None:
        leader = self.engine.raft.leader
        if leader != self._leader:
            self._leader = leader
            self._leaderless_since_ms = self.timers.clock.now_ms()
            self.owner.leader_changed()

    def _update_leads(self) -> None:
        leads = False
        if self.engine is not None and self.engine.raft.leadership is not None:
            raft = self.engine.raft
            leads = raft.applied_index >= raft.leadership.start_index
        if leads != self.leads:
            self.leads = leads
            self.owner.leadership_changed(leads)


def _with_bootstrap(saved: SavedState, bootstrap: Membership) -> SavedState:
    return SavedState(saved.hard_state, bootstrap, saved.snapshot, saved.entries)


def _first_error(group: BaseExceptionGroup) -> BaseException:
    error = group.exceptions[0]
    return _first_error(error) if isinstance(error, BaseExceptionGroup) else error
