"""Drives the Raft state machine: persists batches, sends messages, applies entries."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from cicadawheel.control.command import AnyCommand, Outcome
from cicadawheel.control.log import SnapshotEncoding, StateMachine
from cicadawheel.control.raft.core import Raft
from cicadawheel.control.raft.entry import CommandData, LogEntry, Snapshot, WriteBatch
from cicadawheel.control.raft.membership import Membership
from cicadawheel.control.raft.message import RaftMessage
from cicadawheel.control.replica.waiters import Applied, Waiters
from cicadawheel.control.storage import Storage
from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import LogIndex, ReplicaId
from cicadawheel.logs import log_event
from cicadawheel.timer import Clock
from cicadawheel.wire import Message

log = logging.getLogger(__name__)

COMMAND_LIMIT_BYTES = 3 * 1024 * 1024
RETAINED_SHARE = 0.5

_command_decoder = msgspec.msgpack.Decoder(AnyCommand)


class EngineOwner(Protocol):
    """Receives the messages and events of an engine."""

    def send(self, replica: ReplicaId, message: Message) -> bool:
        """Send a message to a replica."""

    def command_applied(
        self, index: LogIndex, command: AnyCommand, outcome: Outcome
    ) -> None:
        """Handle a command that this replica has applied."""

    def state_changed(self) -> None:
        """Handle a step of the engine, after which any state may have changed."""


class Engine:
    """Runs the Raft state machine of one replica.

    Parameters
    ----------
    raft : Raft
        The Raft state machine.
    storage : Storage
        Persists the write batches and snapshots.
    machine : StateMachine
        The state machine that committed commands are applied to.
    clock : Clock
        The time source.
    snapshot_entries : int
        The minimum number of entries applied between snapshots.
    owner : EngineOwner
        Receives messages and events.
    """

    def __init__(
        self,
        raft: Raft,
        storage: Storage,
        machine: StateMachine,
        clock: Clock,
        snapshot_entries: int,
        owner: EngineOwner,
    ):
        self.raft = raft
        self.storage = storage
        self.machine = machine
        self.clock = clock
        self.snapshot_entries = snapshot_entries
        self.owner = owner
        self.waiters = Waiters()
        self._batches: asyncio.Queue[WriteBatch | Snapshot | Exception]
        self._batches = asyncio.Queue()
        self._encodings: asyncio.Queue[tuple[LogIndex, SnapshotEncoding]]
        self._encodings = asyncio.Queue()
        self._snapshot_in_progress = False
        self._applied_bytes = 0
        self._scheduled = False
        self._stopped = False

    async def run(self) -> None:
        """Persist batches and snapshots until cancelled.

        Raises
        ------
        StorageError
            A write failed. The replica must stop.
        """
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._write_batches())
                group.create_task(self._save_snapshots())
        finally:
            self._stopped = True
            self.waiters.fail(
                "the replica has stopped; the command may still take effect"
            )

    def receive(self, replica: ReplicaId, message: RaftMessage) -> None:
        """Process a Raft message from another replica."""
        self.raft.receive(replica, message, self.clock.now_ms())
        self.schedule()

    def tick(self, now_ms: float) -> None:
        """Advance the time of the Raft state machine."""
        self.raft.tick(now_ms)
        self.schedule()

    def resign(self) -> None:
        """Transfer leadership to another replica, if this one is the leader."""
        self.raft.resign(self.clock.now_ms())
        self.schedule()

    def propose(self, data: bytes) -> asyncio.Future[Applied]:
        """Append an encoded command and return the future of its result.

        Raises
        ------
        NotLeaderError
            This replica isn't the leader; nothing was appended.
        CommandRefusedError
            The command is over the size limit.
        """
        if len(data) > COMMAND_LIMIT_BYTES:
            raise CommandRefusedError(
                f"command of {len(data)} bytes exceeds the limit of "
                f"{COMMAND_LIMIT_BYTES}",
                step="propose",
            )
        index = self.raft.propose(data)
        self.schedule()
        return self.waiters.add_entry(index, self.raft.term)

    def change_membership(self, membership: Membership) -> asyncio.Future[Applied]:
        """Append a membership and return the future of its result.

        Raises
        ------
        NotLeaderError
            This replica isn't the leader, or hasn't committed an entry of its term.
        CommandRefusedError
            An earlier change isn't committed yet.
        """
        index = self.raft.change_membership(membership, self.clock.now_ms())
        self.schedule()
        return self.waiters.add_entry(index, self.raft.term)

    def read(self) -> asyncio.Future[LogIndex]:
        """Return the future of a read index; it resolves once that is applied.

        Raises
        ------
        NotLeaderError
            This replica isn't the leader.
        """
        number, future = self.waiters.add_read()
        self.raft.start_read(number)
        self.schedule()
        return future

    def schedule(self) -> None:
        """Run one step in the next iteration of the event loop."""
        if not self._scheduled and not self._stopped:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run_step)

    def _run_step(self) -> None:
        self._scheduled = False
        if self._stopped:
            return
        try:
            self._process_ready()
        except Exception as error:  # noqa: BLE001
            self._stopped = True
            self._batches.put_nowait(error)

    def _process_ready(self) -> None:
        self._begin_write()
        for outbound in self.raft.take_messages(self.clock.now_ms()):
            self.owner.send(outbound.to, outbound.message)
        for item in self.raft.take_committed():
            self._apply(item)
        self.waiters.reads_ready(self.raft.take_reads(), self.raft.applied_index)
        self._take_role_changes()
        self._compact()
        self._begin_write()
        self.owner.state_changed()

    def _begin_write(self) -> None:
        batch = self.raft.begin_write(self.clock.now_ms())
        if batch is not None:
            self._batches.put_nowait(batch)

    async def _write_batches(self) -> None:
        while True:
            item = await self._batches.get()
            if isinstance(item, Exception):
                raise item
            if isinstance(item, Snapshot):
                await _finish_in_thread(self.storage.drop_covered, item)
                self._snapshot_in_progress = False
            else:
                await _finish_in_thread(self.storage.write, item)
                self.raft.end_write(self.clock.now_ms())
            self.schedule()

    async def _save_snapshots(self) -> None:
        while True:
            index, encoding = await self._encodings.get()
            snapshot = await self._make_snapshot(index, encoding)
            if snapshot is None:
                self._snapshot_in_progress = False
                continue
            await _finish_in_thread(self.storage.save_snapshot, snapshot)
            self._batches.put_nowait(snapshot)

    async def _make_snapshot(
        self, index: LogIndex, encoding: SnapshotEncoding
    ) -> Snapshot | None:
        """Encode the state, one step per event loop iteration, and compact the log."""
        while encoding.encode_next():
            await asyncio.sleep(0)
        data = await asyncio.to_thread(encoding.data)
        keep_entries = int(self.snapshot_entries * RETAINED_SHARE)
        snapshot = self.raft.compact(index, data, keep_entries)
        if snapshot is not None:
            log_event(log, "snapshot_taken", index=index, size_bytes=len(data))
        return snapshot

    def _apply(self, item: LogEntry | Snapshot) -> None:
        if isinstance(item, Snapshot):
            self.machine.restore(item.data)
            log_event(log, "snapshot_restored", index=item.index)
            return
        outcome = None
        if isinstance(item.payload, CommandData):
            self._applied_bytes += len(item.payload.data)
            command = _command_decoder.decode(item.payload.data)
            outcome = self.machine.apply(item.index, command)
            self.owner.command_applied(item.index, command, outcome)
        self.waiters.entry_applied(item, outcome)

    def _take_role_changes(self) -> None:
        changes, self.raft.role_changes = self.raft.role_changes, []
        for change in changes:
            log_event(
                log,
                "replica_role",
                role=change.role.value,
                term=change.term,
                leader=change.leader or "",
                reason=change.reason,
            )
        if changes and self.raft.leadership is None:
            self.waiters.fail(
                "the leader stepped down; the command may still take effect"
            )

    def _compact(self) -> None:
        """Start a snapshot once the log has outgrown the previous one.

        This keeps the bytes written for snapshots below those written for the log.
        """
        snapshot = self.raft.snapshot
        covered = snapshot.index if snapshot is not None else 0
        covered_bytes = len(snapshot.data) if snapshot is not None else 0
        entries = self.raft.applied_index - covered
        if self._snapshot_in_progress or entries < self.snapshot_entries:
            return
        if self._applied_bytes < covered_bytes:
            return
        self._snapshot_in_progress = True
        self._applied_bytes = 0
        encoding = self.machine.begin_snapshot()
        self._encodings.put_nowait((self.raft.applied_index, encoding))


async def _finish_in_thread(action: Callable[..., None], argument: Any) -> None:
    """Run an action in a thread; wait for its end even when cancelled."""
    work = asyncio.ensure_future(asyncio.to_thread(action, argument))
    try:
        await asyncio.shield(work)
    except asyncio.CancelledError:
        await asyncio.wait({work})
        raise
