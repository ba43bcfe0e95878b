"""History of operator commands, so that a retry gets the first outcome."""

import hashlib
from bisect import bisect_right
from collections import OrderedDict

import msgspec

from cicadawheel.control.command import (
    ANY_REVISION,
    OperatorCommand,
    Outcome,
    OutcomeState,
)
from cicadawheel.ids import OperationId, Revision

OPERATION_LIMIT = 10_000
CHANGE_LIMIT = 10_000
DIGEST_BYTES = 8


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """An operator command, identified by its digest, with its first outcome."""

    operation: OperationId
    digest: bytes
    outcome: Outcome


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A configuration change; commands that expect an older revision conflict."""

    revision: Revision
    operation: OperationId
    text: str


class OperationsSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The content of an `OperationHistory`."""

    operations: list[Operation]
    changes: list[Change]


class OperationHistory:
    """The latest operations with their outcomes, and the latest changes."""

    def __init__(self):
        self._operations: OrderedDict[OperationId, Operation] = OrderedDict()
        self._changes: list[Change] = []

    def find(self, command: OperatorCommand) -> Outcome | None:
        """Return the first outcome of a command, or None if it is new.

        Reuse of an operation id for a different command is refused.
        """
        known = self._operations.get(command.operation)
        if known is None:
            return None
        if known.digest == digest_command(command):
            return known.outcome
        return Outcome(
            state=OutcomeState.REFUSED,
            revision=known.outcome.revision,
            message=f"operation {command.operation} was used for another command",
        )

    def record(self, command: OperatorCommand, outcome: Outcome) -> None:
        """Record the outcome of a command, and evict the oldest beyond the limit."""
        self._operations[command.operation] = Operation(
            command.operation, digest_command(command), outcome
        )
        if len(self._operations) > OPERATION_LIMIT:
            self._operations.popitem(last=False)

    def add_change(self, change: Change) -> None:
        """Record a change, and evict the oldest beyond the limit."""
        self._changes.append(change)
        if len(self._changes) > CHANGE_LIMIT:
            del self._changes[0]

    def conflict(self, command: OperatorCommand, revision: Revision) -> Outcome | None:
        """Return the conflict outcome of a command with a stale revision, or None.

        Parameters
        ----------
        command : OperatorCommand
            The command, with the revision that it expects.
        revision : Revision
            The current revision of the configuration.
        """
        expected = command.expected_revision
        if expected == ANY_REVISION:
            return None
        if expected > revision:
            return Outcome(
                OutcomeState.CONFLICT,
                revision,
                f"revision {expected} is expected, but the last is {revision}",
            )
        change = self._first_change_after(expected)
        if change is None:
            return None
        return Outcome(
            state=OutcomeState.CONFLICT,
            revision=revision,
            message=(
                f"revision {expected} is expected, but revision {change.revision} "
                f"came before: {change.text}"
            ),
            winner=change.operation,
        )

    def snapshot(self) -> OperationsSnapshot:
        """Return a snapshot of the history."""
        return OperationsSnapshot(list(self._operations.values()), list(self._changes))

    def restore(self, snapshot: OperationsSnapshot) -> None:
        """Replace the history with a snapshot."""
        self._operations = OrderedDict(
            (known.operation, known) for known in snapshot.operations
        )
        self._changes = list(snapshot.changes)

    def _first_change_after(self, revision: Revision) -> Change | None:
        position = bisect_right(
            self._changes, revision, key=lambda change: change.revision
        )
        return self._changes[position] if position < len(self._changes) else None


def digest_command(command: OperatorCommand) -> bytes:
    """Return a digest of a command that ignores its time.

    It is the same on the replica that proposed the command and on those that decoded
    it from the log: a float field may hold an integer before it is encoded and
    decoded.
    """
    untimed = msgspec.structs.replace(command, now_ms=0)
    encoded = msgspec.msgpack.encode(untimed)
    decoded = msgspec.msgpack.decode(encoded, type=type(command))
    canonical = msgspec.msgpack.encode(decoded, order="deterministic")
    return hashlib.blake2b(canonical, digest_size=DIGEST_BYTES).digest()
