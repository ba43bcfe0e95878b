"""The messages between replicas besides those of consensus."""

from enum import Enum
from typing import ClassVar

import msgspec

from cicadawheel.control.raft.entry import CommandData
from cicadawheel.control.raft.membership import FolderId, Membership
from cicadawheel.control.raft.message import RaftMessage
from cicadawheel.ids import LogIndex, ReplicaId
from cicadawheel.wire.message import Message


class Introduction(Message, tag="introduction"):
    """First message of both sides of a stream: the folder, and who is known.

    ``initial`` are the replicas that the sender's settings name, ``bootstrap``
    the first membership that they agreed on, ``membership`` the newest one, which is
    committed if ``settled``.
    """

    folder: FolderId
    initial: tuple[ReplicaId, ...]
    bootstrap: Membership
    membership: Membership
    settled: bool = False


class ConfirmRead(msgspec.Struct, array_like=True, frozen=True, tag="read"):
    """Asks the leader for an index that makes a read linearizable."""


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
    """A replica asks any member to have it added."""

    replica: ReplicaId
    host: str
    port: int


Request = CommandData | ConfirmRead | AddReplica | RemoveReplica


class Ask(Message, tag="ask"):
    """Passes a caller's request on to the leader."""

    compresses: ClassVar[bool] = True

    number: int
    request: Request


class AnswerState(Enum):
    """How a request that was passed on ended."""

    DONE = "done"
    NOT_LEADER = "not leader"
    NO_QUORUM = "no quorum"
    REFUSED = "refused"


class Answer(Message, tag="answer"):
    """Answers an `Ask`; ``outcome`` is an encoded command's outcome."""

    number: int
    state: AnswerState
    index: LogIndex = LogIndex(0)
    outcome: bytes = b""
    reason: str = ""


class Report(Message, tag="report"):
    """Data for whoever runs beside the leader; it may be lost."""

    data: bytes


ReplicaMessage = Introduction | Ask | Answer | Join | Report | RaftMessage
