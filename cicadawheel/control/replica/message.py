"""The messages between replicas other than Raft messages."""

from enum import Enum
from typing import ClassVar

import msgspec

from cicadawheel.control.raft.entry import CommandData
from cicadawheel.control.raft.membership import FolderId, Membership
from cicadawheel.control.raft.message import RaftMessage
from cicadawheel.ids import LogIndex, ReplicaId
from cicadawheel.wire.message import Message


class Introduction(Message, tag="introduction"):
    """The sender's folder and memberships; the first message of both sides of a stream.

    ``initial`` are the replicas in the sender's settings and ``bootstrap`` is the
    initial membership that was agreed on. ``membership`` is the latest one, which is
    committed if ``settled`` is set. A sender that sets ``repeats`` repeats it for as
    long as the stream is open; older versions don't.
    """

    folder: FolderId
    initial: tuple[ReplicaId, ...]
    bootstrap: Membership
    membership: Membership
    settled: bool = False
    repeats: bool = False


class ConfirmRead(msgspec.Struct, array_like=True, frozen=True, tag="read"):
    """Asks the leader for a read index for a linearizable read."""


class AddReplica(msgspec.Struct, array_like=True, frozen=True, tag="add"):
    """Asks the leader to add a replica, as a voter or as a relay."""

    replica: ReplicaId
    host: str
    port: int
    relay: bool = False


class RemoveReplica(msgspec.Struct, array_like=True, frozen=True, tag="remove"):
    """Asks the leader to remove a replica."""

    replica: ReplicaId


class Join(Message, tag="join"):
    """Asks any member to have the sender added."""

    replica: ReplicaId
    host: str
    port: int


Request = CommandData | ConfirmRead | AddReplica | RemoveReplica


class ForwardedRequest(Message, tag="ask"):
    """Forwards a caller's request to the leader."""

    compresses: ClassVar[bool] = True

    number: int
    request: Request


class AnswerState(Enum):
    """The result of a forwarded request."""

    DONE = "done"
    NOT_LEADER = "not leader"
    NO_QUORUM = "no quorum"
    REFUSED = "refused"


class Answer(Message, tag="answer"):
    """Replies to a `ForwardedRequest`; ``outcome`` is a command's encoded outcome."""

    number: int
    state: AnswerState
    index: LogIndex = LogIndex(0)
    outcome: bytes = b""
    reason: str = ""


class Report(Message, tag="report"):
    """Data for the application on the leader; delivery isn't guaranteed."""

    data: bytes


ReplicaMessage = Introduction | ForwardedRequest | Answer | Join | Report | RaftMessage
