"""The Raft messages between replicas."""

from typing import ClassVar

from cicadawheel.control.raft.entry import LogEntry
from cicadawheel.control.raft.membership import Membership
from cicadawheel.ids import LogIndex, Term
from cicadawheel.wire.message import Message


class VoteRequest(Message, tag="vote"):
    """Requests a vote, or with ``pre`` a pre-vote."""

    term: Term
    last_index: LogIndex
    last_term: Term
    pre: bool


class VoteReply(Message, tag="voted"):
    """Replies to a vote request; if granted, ``term`` is that of the request."""

    term: Term
    granted: bool
    pre: bool


class AppendRequest(Message, tag="append"):
    """Replicates the entries after ``prev_index``, or none as a heartbeat.

    ``round`` numbers the rounds in which the leader confirms its leadership for
    linearizable reads.
    """

    compresses: ClassVar[bool] = True

    term: Term
    prev_index: LogIndex
    prev_term: Term
    entries: tuple[LogEntry, ...]
    commit_index: LogIndex
    round: int


class AppendReply(Message, tag="appended"):
    """Replies to an append request.

    On success ``index`` is the last durable index known to match the leader's log.
    On rejection it is the index after which the leader should retry.
    """

    term: Term
    success: bool
    prev_index: LogIndex
    index: LogIndex
    round: int


class SnapshotChunk(Message, tag="snapshot"):
    """A chunk of the leader's snapshot; ``size_bytes`` is the size of the whole."""

    compresses: ClassVar[bool] = True

    term: Term
    index: LogIndex
    last_term: Term
    membership: Membership
    offset_bytes: int
    size_bytes: int
    data: bytes


class SnapshotReply(Message, tag="snapshotted"):
    """Reports the number of bytes received of the snapshot at ``index``."""

    term: Term
    index: LogIndex
    offset_bytes: int


class TakeOver(Message, tag="take_over"):
    """Transfers leadership: the receiver has the full log and starts an election."""

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


def advances_term(message: RaftMessage, term: Term) -> bool:
    """Return whether a message moves a receiver in ``term`` to a newer term."""
    if message.term <= term:
        return False
    if isinstance(message, VoteRequest):
        return not message.pre
    if isinstance(message, VoteReply):
        return not (message.pre and message.granted)
    return True
