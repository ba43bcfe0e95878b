"""Persistent Raft state: log entries, snapshots, and the term with its vote."""

import msgspec

from cicadawheel.control.raft.membership import Membership
from cicadawheel.ids import LogIndex, ReplicaId, Term

NO_VOTE = ReplicaId("")


class NoOp(msgspec.Struct, array_like=True, frozen=True, tag="noop"):
    """First entry of a leader's term; its commit also commits earlier terms."""


class CommandData(msgspec.Struct, array_like=True, frozen=True, tag="command"):
    """An encoded command."""

    data: bytes


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log."""

    index: LogIndex
    term: Term
    payload: NoOp | CommandData | Membership


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """The current term, and the candidate that this replica voted for in it."""

    term: Term = Term(0)
    vote: ReplicaId = NO_VOTE


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The encoded state after applying the entry ``index`` of ``term``."""

    index: LogIndex
    term: Term
    membership: Membership
    data: bytes


class SavedState(msgspec.Struct, frozen=True):
    """The persistent state that a replica starts from.

    ``bootstrap`` is the initial membership, in force before the first entry. It is
    empty on a replica that has not been added to a deployment yet.
    """

    hard_state: HardState = HardState()
    bootstrap: Membership = Membership()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


class WriteBatch(msgspec.Struct, frozen=True):
    """State that must be durable before messages that depend on it are sent.

    The parts are written in the order of the fields. ``entries`` overwrite the log
    from the index of the first of them. With ``replaces_log`` all earlier entries
    are discarded, and ``snapshot`` is the new start of the log.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    replaces_log: bool = False
    entries: tuple[LogEntry, ...] = ()
