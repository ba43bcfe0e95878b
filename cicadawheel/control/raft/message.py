"""The messages that replicas exchange for consensus."""

from typing import ClassVar

from cicadawheel.control.raft.entry import LogEntry
from cicadawheel.control.raft.membership import Membership
from cicadawheel.ids import LogIndex, Term
from cicadawheel.wire.message import Message


class VoteRequest(Message, tag="vote"):
    """Asks for a vote, or with ``pre`` whether a vote would be given."""

    term: Term
    last_index: LogIndex
    last_term: Term
    pre: bool


class VoteReply(Message, tag="voted"):
    """Answers a vote request; ``term`` is the request's when granted."""

    term: Term
    granted: bool
    pre: bool


class AppendRequest(Message, tag="append"):
    """Sends entries that follow ``prev_index``, or none as a heartbeat.

    ``round`` counts the leader's confirmations that it still leads.
    """

    compresses: ClassVar[bool] = True

    term: Term
    prev_index: LogIndex
    prev_term: Term
    entries: tuple[LogEntry, ...]
    commit_index: LogIndex
    round: int


class AppendReply(Message, tag="appended"):
    """Answers an append request.

    ``index`` is the last durable index known to match the leader's log, or for
    a refusal the index after which the leader should try again.
    """

    term: Term
    success: bool
    prev_index: LogIndex
    index: LogIndex
    round: int


class SnapshotChunk(Message, tag="snapshot"):
    """A piece of the leader's snapshot, which has ``size_bytes`` in all."""

    compresses: ClassVar[bool] = True

    term: Term
    index: LogIndex
    last_term: Term
    membership: Membership
    offset_bytes: int
    size_bytes: int
    data: bytes


class SnapshotReply(Message, tag="snapshotted"):
    """Says how many bytes of the snapshot at ``index`` have arrived."""

    term: Term
    index: LogIndex
    offset_bytes: int


class TakeOver(Message, tag="take_over"):
    """The leader stops; the receiver holds its whole log and stands at once."""

    term: Term


RaftMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TakeOver
)


def raises_term(message: RaftMessage, term: Term) -> bool:
    """Return whether a message makes its receiver, in ``term``, take a newer one."""
    if message.term <= term:
        return False
    if isinstance(message, VoteRequest):
        return not message.pre
    if isinstance(message, VoteReply):
        return not (message.pre and message.granted)
    return True
