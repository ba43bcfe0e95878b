"""What control needs of its log of commands."""

from collections.abc import Callable
from typing import Protocol

from cicadawheel.control.command import AnyCommand, Outcome
from cicadawheel.ids import LogIndex, ReplicaId


class SnapshotEncoding(Protocol):
    """The encoding of a state as it was when this began, done in steps."""

    def encode_next(self) -> bool:
        """Encode one more part, and return whether there was one left."""

    def data(self) -> bytes:
        """Return the whole encoding; this may be called in a thread."""


class StateMachine(Protocol):
    """The state that the log's commands change, the same on every replica."""

    def apply(self, index: LogIndex, command: AnyCommand) -> Outcome:
        """Apply a committed command and return its outcome."""

    def begin_snapshot(self) -> SnapshotEncoding:
        """Return the encoding of the state as it is now."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an earlier snapshot."""


class CommandLog(Protocol):
    """A log of commands that survives what its kind promises to survive."""

    @property
    def leader(self) -> ReplicaId | None:
        """The replica believed to lead, or None."""

    async def propose(self, command: AnyCommand) -> Outcome:
        """Commit a command and return its outcome.

        Raises
        ------
        NotLeaderError
            This replica doesn't lead; nothing was appended.
        NoQuorumError
            No majority confirmed in time; the command may still take effect.
        """

    async def confirm_read(self) -> LogIndex:
        """Return an index up to which a read is linearizable.

        Raises
        ------
        NotLeaderError
            This replica doesn't lead.
        NoQuorumError
            No majority confirmed that this replica still leads.
        """

    def send_to_leader(self, data: bytes) -> None:
        """Send data to whoever runs beside the leader; it may be lost."""

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts of all replicas, if they are known."""

    def is_assembled(self) -> bool:
        """Return whether as many replicas vote as are wanted."""


class MemoryLog:
    """A log of a single replica that keeps nothing.

    Parameters
    ----------
    machine : StateMachine
        The state that commands are applied to.
    replica : ReplicaId
        The name of this replica.
    """

    def __init__(self, machine: StateMachine, replica: ReplicaId):
        self.machine = machine
        self.leader = replica
        self.index = LogIndex(0)
        self.on_report: Callable[[ReplicaId, bytes], None] | None = None

    async def propose(self, command: AnyCommand) -> Outcome:
        """Apply the command at once and return its outcome."""
        self.index = LogIndex(self.index + 1)
        return self.machine.apply(self.index, command)

    async def confirm_read(self) -> LogIndex:
        """Return the last index."""
        return self.index

    def hosts(self) -> tuple[str, ...]:
        """Return nothing: there are no others."""
        return ()

    def is_assembled(self) -> bool:
        """Return true: there are no others."""
        return True

    def send_to_leader(self, data: bytes) -> None:
        """Give data to whoever runs beside this replica."""
        if self.on_report is not None:
            self.on_report(self.leader, data)
