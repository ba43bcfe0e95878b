"""Message types of the streams between nodes.

Messages are encoded as arrays, so the order of the fields is part of the protocol:
a change to it requires a higher `cicadawheel.wire.handshake.PROTOCOL_VERSION`.
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
    """The load of a gate and its upstream.

    ``cold_share`` is the fraction of ``limit`` that is usable during a cold start,
    1.0 when the upstream is warm. ``boot`` changes when the upstream restarts.
    ``slowness`` is the current service time relative to the usual one, if the
    upstream reports it; ``service_time_ms`` is then the time at the usual speed.
    ``may_repeat`` is true if the gate's repeat budget has room for a repeat.
    ``failure_share`` is the share of recent requests that the upstream has failed,
    ``shed_share`` the share that it has declined to run. ``link_use`` is the fraction
    of the VM's link that its traffic takes up.
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
    failure_share: float = 0.0
    shed_share: float = 0.0
    link_use: float = 0.0

    def has_free_slot(self) -> bool:
        """Return whether a call would find a free slot."""
        return self.in_flight + self.queued < self.limit


class Header(msgspec.Struct, array_like=True, frozen=True):
    """One HTTP header field, as raw bytes."""

    name: bytes
    value: bytes


class Repeat(Enum):
    """Whether, and why, an attempt may run its request once more.

    All values but ``FIRST`` count against the repeat budget of the service.
    """

    FIRST = "first"
    SPARE = "spare"
    REFUSED = "refused"
    FAILED = "failed"
    WITHIN = "within"


class CallOpen(Message, tag="open"):
    """Opens a call from an entry to the gate of the selected upstream.

    ``deadline_ms`` is the time left until the deadline, and ``target_ms`` the time
    left until the target latency, negative if that has passed and 0 if unknown.
    ``priority`` 0 is the highest. ``work_ms`` is the usual service time of such
    requests, 0 if unknown. ``depth`` is the number of nested calls above this one.
    ``body`` is the complete body, or its first part if ``more`` is set, in which case
    `Body` messages and an `End` follow. ``repeat`` is set if an earlier attempt may
    have reached an upstream: one still in flight (`SPARE`), refused (`REFUSED`) or
    failed (`FAILED`); or if the calling request is a repeat itself (`WITHIN`).
    ``immediate`` asks the gate to refuse a call that it can't start at once.
    ``spent_ms`` is the work already done for the outer request of a nested call, which
    is lost if the call fails; 0 for the requests of callers.
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
    immediate: bool = False
    spent_ms: float = 0.0


class Body(Message, tag="body"):
    """A chunk of a request or reply body."""

    stream: StreamId
    data: bytes


class End(Message, tag="end"):
    """Marks the end of a request or reply body."""

    stream: StreamId


class Credit(Message, tag="credit"):
    """Flow control: permits the sender this many more bytes of body."""

    stream: StreamId
    size_bytes: int


class Cancel(Message, tag="cancel"):
    """Cancels a call whose answer the entry no longer needs."""

    stream: StreamId
    reason: str


class ReplyHead(Message, tag="head"):
    """The head of the upstream's answer, with the gate's load.

    ``body`` is the complete body, or its first part if ``more`` is set, in which case
    `Body` messages and an `End` follow.
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
    BUSY = "busy"
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
    """Ends a call without a complete answer.

    ``not_run`` is true only if no byte of the request reached an upstream, or the
    upstream reported that it didn't run it; ``reached`` is true in the latter case.
    ``only_at`` is the one node that may currently run the request, if the request is
    suspected of crashing upstreams.
    """

    stream: StreamId
    reason: RefusalReason
    not_run: bool
    load: LoadReport
    only_at: NodeId = ""
    reached: bool = False


class Probe(Message, tag="probe"):
    """Requests the load of a gate."""

    stream: StreamId


class ProbeReply(Message, tag="load"):
    """The answer to a `Probe`."""

    stream: StreamId
    load: LoadReport


class SuspectState(Enum):
    """The suspicion against a request that was in flight at an upstream crash."""

    NOTED = "noted"
    SUSPECT = "suspect"
    CLEARED = "cleared"
    CONDEMNED = "condemned"


class SuspectVerdict(msgspec.Struct, array_like=True, frozen=True):
    """The state of one request, and the node that may test it while it is suspect."""

    fingerprint: Fingerprint
    state: SuspectState
    tester: NodeId


class CrashNotice(Message, tag="crash"):
    """Notifies the other gates of a service of the outcome of a crash or a test.

    ``number`` counts the crashes at ``origin``; it is 0 for the end of a test.
    """

    origin: NodeId
    number: int
    verdicts: tuple[SuspectVerdict, ...]


class ViewRequest(Message, tag="view?"):
    """Requests a node's view, if it is newer than the one at ``index``."""

    index: LogIndex


class ViewReply(Message, tag="view!"):
    """The full view of a node."""

    compresses: ClassVar[bool] = True

    view: View


CallMessage = Body | End | Credit | Cancel
"""Messages from an entry to a gate that follow a `CallOpen`."""

ReplyMessage = ReplyHead | Body | End | Credit | Refused
"""Messages from a gate in answer to a call."""
ReplySink = Callable[[ReplyMessage], None]
"""Callback that receives the messages of one answer."""

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
