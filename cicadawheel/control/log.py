"""The interface of the command log, and an in-memory implementation."""

from collections.abc import Callable
from typing import Protocol

from cicadawheel.control.command import AnyCommand, Outcome
from cicadawheel.ids import LogIndex, ReplicaId


class SnapshotEncoding(Protocol):
    """An incremental encoding of the state at the time of its creation."""

    def encode_next(self) -> bool:
        """Encode the next part, and return False if none was left."""

    def data(self) -> bytes:
        """Return the whole encoding; may be called in a thread."""


class StateMachine(Protocol):
    """The deterministic state machine that applies the log's commands."""

    def apply(self, index: LogIndex, command: AnyCommand) -> Outcome:
        """Apply a committed command and return its outcome."""

    def begin_snapshot(self) -> SnapshotEncoding:
        """Return an incremental encoding of the current state."""

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot."""


class CommandLog(Protocol):
    """A log of commands; implementations differ in durability."""

    @property
    def leader(self) -> ReplicaId | None:
        """The replica believed to be the leader, or None."""

    async def propose(self, command: AnyCommand) -> Outcome:
        """Commit a command and return its outcome.

        Raises
        ------
        NotLeaderError
            No leader accepted the command; nothing was appended.
        NoQuorumError
            No majority confirmed in time; the command may still take effect.
        """

    async def confirm_read(self) -> LogIndex:
        """Return an index up to which local reads are linearizable.

        Raises
        ------
        NotLeaderError
            No leader was found.
        NoQuorumError
            No majority confirmed that the leader still leads.
        """

    def apply_lag_ms(self) -> float:
        """Return how long a committed command has waited to be applied, 0 if none."""

    def send_to_leader(self, data: bytes) -> None:
        """Send a report to the leader's `ControlServer`; it may be lost."""

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts of all known replicas."""

    def has_all_voters(self) -> bool:
        """Return whether the intended number of replicas vote."""


class MemoryLog:
    """A log for a single replica without durable storage.

    Parameters
    ----------
    machine : StateMachine
        The state machine that applies the commands.
    replica : ReplicaId
        The name of this replica.
    """

    def __init__(self, machine: StateMachine, replica: ReplicaId):
        self.machine = machine
        self.leader = replica
        self.index = LogIndex(0)
        self.on_report: Callable[[ReplicaId, bytes], None] | None = None

    async def propose(self, command: AnyCommand) -> Outcome:
        """Apply a command immediately and return its outcome."""
        self.index = LogIndex(self.index + 1)
        return self.machine.apply(self.index, command)

    async def confirm_read(self) -> LogIndex:
        """Return the last index."""
        return self.index

    def apply_lag_ms(self) -> float:
        """Return 0, because commands are applied at once."""
        return 0.0

    def hosts(self) -> tuple[str, ...]:
        """Return no hosts, because there are no other replicas."""
        return ()

    def has_all_voters(self) -> bool:
        """Return True, because there are no other replicas."""
        return True

    def send_to_leader(self, data: bytes) -> None:
        """Pass a report to this replica's own `ControlServer`."""
        if self.on_report is not None:
            self.on_report(self.leader, data)
