"""The typed messages of the streams between nodes.

The order of the fields is part of the protocol: whoever changes it raises
`cicadawheel.wire.handshake.PROTOCOL_VERSION`.
"""

from collections.abc import Callable
from enum import Enum
from typing import ClassVar

import msgspec

from cicadawheel.control.messages import View
from cicadawheel.ids import (
    BootId,
    Fingerprint,
    LogIndex,
    NodeId,
    RequestId,
    Revision,
    ServiceName,
    StreamId,
    VersionName,
)
from cicadawheel.wire.message import Message


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """What a gate knows of its own upstream.

    ``cold_share`` is the part of ``limit`` that a cold start allows for now,
    1.0 when the upstream is warm. ``boot`` changes when the upstream restarts.
    ``slowness`` is how many times the usual its work takes at this moment, where the
    upstream tells it; ``service_time_ms`` is then that at the usual speed.
    ``may_repeat`` says whether the gate's budget has room for a repeat.
    """

    in_flight: int
    queued: int
    limit: int
    service_time_ms: float
    cold_share: float
    leaving: bool
    boot: BootId
    revision: Revision
    slowness: float = 1.0
    may_repeat: bool = True


class Header(msgspec.Struct, array_like=True, frozen=True):
    """One header field, as it is sent on the wire."""

    name: bytes
    value: bytes


class Repeat(Enum):
    """Why an attempt may be a further run of its request.

    All but ``FIRST`` count against the budget of their service.
    """

    FIRST = "first"
    SPARE = "spare"
    REFUSED = "refused"
    FAILED = "failed"
    WITHIN = "within"


class CallOpen(Message, tag="open"):
    """An entry hands a call to the gate of the upstream that it picked.

    ``deadline_ms`` is the time that is left, and ``target_ms`` that in which an
    answer is worth most, below 0 if it has passed and 0 if it isn't known. Calls of
    ``priority`` 0 go first. ``work_ms`` is the usual time of such work, 0 if it isn't
    known. ``depth`` is the number of calls above this one. ``body``
    is the whole body, or its beginning when ``more`` says that `Body` messages and an
    `End` follow. ``repeat`` says that an attempt before it may have reached an
    upstream: one that still runs (`SPARE`), that refused it or that failed; or that
    the call was made by a run that is a repeat itself (`WITHIN`).
    """

    stream: StreamId
    request: RequestId
    service: ServiceName
    version: VersionName
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    more: bool
    deadline_ms: float
    depth: int
    repeatable: bool
    fingerprint: str
    target_ms: float = 0.0
    priority: int = 0
    work_ms: float = 0.0
    repeat: Repeat = Repeat.FIRST


class Body(Message, tag="body"):
    """A piece of a request's or a reply's body."""

    stream: StreamId
    data: bytes


class End(Message, tag="end"):
    """The body of a request or a reply is whole."""

    stream: StreamId


class Credit(Message, tag="credit"):
    """The receiver has room for this many more bytes of body."""

    stream: StreamId
    size_bytes: int


class Cancel(Message, tag="cancel"):
    """The entry no longer waits for the answer."""

    stream: StreamId
    reason: str


class ReplyHead(Message, tag="head"):
    """The head of the upstream's answer, with the gate's load.

    ``body`` is the whole body, or its beginning when ``more`` says that `Body`
    messages and an `End` follow.
    """

    stream: StreamId
    status: int
    headers: tuple[Header, ...]
    body: bytes
    more: bool
    load: LoadReport


class RefusalReason(Enum):
    """Why a call got no answer from an upstream."""

    OVERLOAD = "overload"
    COLD = "cold"
    QUEUE_DEADLINE = "queue deadline"
    DEADLINE = "deadline"
    DATA_CENTRE_OUT = "data centre out"
    LEAVING = "leaving"
    WITHDRAWN = "withdrawn"
    WRONG_SERVICE = "wrong service"
    NO_UPSTREAM = "no upstream"
    UPSTREAM_UNREACHABLE = "upstream unreachable"
    UPSTREAM_DIED = "upstream died"
    TRUNCATED = "truncated"
    PEER_LOST = "peer lost"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"
    SUSPECTED = "suspected"
    DEPTH = "depth"
    RETRY_BUDGET = "retry budget"
    NO_CLAIM = "no claim"
    NO_VIEW = "no view"


class Refused(Message, tag="refused"):
    """The call ends without a whole answer.

    ``not_run`` is true only if no byte of the request reached an upstream, or the
    upstream has said that it didn't run it; ``reached`` says that it is the latter.
    ``only_at`` names the one node that may run the request for now, if it is
    suspected of crashing upstreams.
    """

    stream: StreamId
    reason: RefusalReason
    not_run: bool
    load: LoadReport
    only_at: NodeId = ""
    reached: bool = False


class Probe(Message, tag="probe"):
    """Asks a gate for its load."""

    stream: StreamId


class ProbeReply(Message, tag="load"):
    """Answers a probe."""

    stream: StreamId
    load: LoadReport


class SuspectState(Enum):
    """What is held against a request that was in flight at a crash."""

    NOTED = "noted"
    SUSPECT = "suspect"
    CLEARED = "cleared"
    CONDEMNED = "condemned"


class SuspectVerdict(msgspec.Struct, array_like=True, frozen=True):
    """One request, and the only node that may run it while it is suspect."""

    fingerprint: Fingerprint
    state: SuspectState
    tester: NodeId


class CrashNotice(Message, tag="crash"):
    """A gate tells the others of its service what a crash or a test showed.

    ``number`` counts the crashes at ``origin``; it is 0 for the end of a test.
    """

    origin: NodeId
    number: int
    verdicts: tuple[SuspectVerdict, ...]


class ViewRequest(Message, tag="view?"):
    """Asks a node for its view, if that is newer than the one at ``index``."""

    index: LogIndex


class ViewReply(Message, tag="view!"):
    """A node's whole view."""

    compresses: ClassVar[bool] = True

    view: View


CallMessage = Body | End | Credit | Cancel
"""What an entry sends to a gate after the `CallOpen`."""

ReplyMessage = ReplyHead | Body | End | Credit | Refused
"""What a gate answers to a call."""
ReplySink = Callable[[ReplyMessage], None]
"""Takes the messages of one answer."""

NodeMessage = (
    CallOpen
    | Body
    | End
    | Credit
    | Cancel
    | ReplyHead
    | Refused
    | Probe
    | ProbeReply
    | ViewRequest
    | ViewReply
    | CrashNotice
)
