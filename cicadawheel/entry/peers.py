"""Streams to other nodes, and the calls multiplexed on them."""

import asyncio
import itertools
import logging
import math
from collections.abc import Iterable
from typing import Protocol

import msgspec

from cicadawheel.configuration import Member
from cicadawheel.control.messages import View
from cicadawheel.errors import ConnectionLostError, PeerError
from cicadawheel.ids import BootId, NodeId, StreamId
from cicadawheel.logs import log_event
from cicadawheel.messages import (
    CallMessage,
    CallOpen,
    Cancel,
    End,
    LoadReport,
    NodeMessage,
    Probe,
    ProbeReply,
    RefusalReason,
    Refused,
    ReplyHead,
    ReplyMessage,
    ReplySink,
    ViewReply,
    ViewRequest,
)
from cicadawheel.wire.stream import Identity, Stream, connect_stream

log = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 250.0
SILENCE_LIMIT_MS = 2_000.0
# The end of an idle stream costs a reconnection only.
IDLE_SILENCE_LIMIT_MS = 900.0
# The limit doubles up to this while answers are late, so that slow nodes aren't
# connected to again and again.
IDLE_SILENCE_LIMIT_MAX_MS = 8_000.0
IDLE_PROBE_INTERVAL_MS = 400.0
IDLE_PROBES_PER_CHECK = 4
# When two streams bring nothing for this long, all idle ones are probed.
SUSPECT_AFTER_MS = 400.0
SWEEP_INTERVAL_MS = 2_000.0
# After a power failure members leave and rejoin in bursts; idle streams are kept
# long enough to outlast those.
UNUSED_LIMIT_MS = 5_000.0

UNKNOWN_LOAD = LoadReport(0, 0, 1, 0.0, 1.0, False, BootId(""), 0)

_decoder = msgspec.msgpack.Decoder(NodeMessage)


class CallHandle(Protocol):
    """Sends the messages of one call to its gate."""

    stream: StreamId

    def receive(self, message: CallMessage) -> None:
        """Send the next message."""


class PeerListener(Protocol):
    """Receives messages of other nodes that belong to no call."""

    def load_received(self, node: NodeId, load: LoadReport) -> None:
        """Handle a load report of a node."""

    def view_received(self, view: View) -> None:
        """Handle the view of a node."""


class PeerCall:
    """One call on a stream to another node."""

    def __init__(self, link: "PeerLink", stream: StreamId):
        self.link = link
        self.stream = stream

    def receive(self, message: CallMessage) -> None:
        """Send a message to the gate."""
        self.link.send(message)
        if isinstance(message, Cancel):
            self.link.discard_call(self.stream)


class PeerLink:
    """The stream to one node, opened on first use.

    Parameters
    ----------
    member : Member
        The node and its address.
    identity : Identity
        The identity of this process.
    connect_timeout_ms : float
        The connect timeout.
    listener : PeerListener
        Receives the messages that belong to no call.
    """

    def __init__(
        self,
        member: Member,
        identity: Identity,
        connect_timeout_ms: float,
        listener: PeerListener,
    ):
        self.member = member
        self.identity = identity
        self.connect_timeout_ms = connect_timeout_ms
        self.listener = listener
        self.sent_bytes = 0
        self._received_bytes = 0
        self._heard_at_ms = 0.0
        self._awaiting_since_ms: float | None = None
        self._idle_limit_ms = IDLE_SILENCE_LIMIT_MS
        self._reopens = False
        self._stream: Stream | None = None
        self._connecting: asyncio.Task | None = None
        self._unsent: list[CallOpen | CallMessage | Probe | ViewRequest] = []
        self._sinks: dict[StreamId, ReplySink] = {}
        self._stream_ids = itertools.count(1)

    @property
    def open_calls(self) -> int:
        """The number of calls in progress on this link."""
        return len(self._sinks)

    def open(self, call: CallOpen, sink: ReplySink) -> PeerCall:
        """Send a call to the node; ``sink`` receives the messages of its answer."""
        stream_id = StreamId(next(self._stream_ids))
        self._sinks[stream_id] = sink
        self.send(msgspec.structs.replace(call, stream=stream_id))
        return PeerCall(self, stream_id)

    def discard_call(self, stream_id: StreamId) -> None:
        """Discard further messages for a call."""
        self._sinks.pop(stream_id, None)

    def send(self, message: CallOpen | CallMessage | Probe | ViewRequest) -> None:
        """Send a message, queued until the stream is open."""
        if self._stream is not None and self._stream.is_open():
            self._stream.send(message)
            return
        self._unsent.append(message)
        self.open_stream()

    def open_stream(self) -> None:
        """Connect, unless already connected or connecting."""
        if self._stream is None and self._connecting is None:
            self._connecting = asyncio.ensure_future(self._connect())

    @property
    def stream(self) -> Stream | None:
        """The stream, if it is open."""
        return self._stream

    @property
    def is_idle(self) -> bool:
        """Whether the stream is open and has no calls."""
        return self._stream is not None and not self._sinks

    def quiet_ms(self, now_ms: float) -> float:
        """Return for how long an answer of the node has been awaited."""
        since_ms = self._awaiting_since_ms
        return 0.0 if since_ms is None else now_ms - since_ms

    def probe_due_ms(self) -> float:
        """Return when the next probe of the idle stream is due."""
        if self._awaiting_since_ms is not None:
            return math.inf
        return self._heard_at_ms + IDLE_PROBE_INTERVAL_MS

    def check(self, now_ms: float) -> None:
        """Abort the stream if an answer is awaited and the node is unresponsive.

        A stream that was aborted is opened again.
        """
        stream = self._stream
        if stream is None:
            return
        heard = stream.received_bytes != self._received_bytes
        if heard:
            if 0.0 < self.quiet_ms(now_ms) <= IDLE_SILENCE_LIMIT_MS:
                self._idle_limit_ms = IDLE_SILENCE_LIMIT_MS
            self._received_bytes = stream.received_bytes
            self._heard_at_ms = now_ms
            self._awaiting_since_ms = None
        elif self._sinks and self._awaiting_since_ms is None:
            self._awaiting_since_ms = now_ms
        limit_ms = SILENCE_LIMIT_MS if self._sinks else self._idle_limit_ms
        if self.quiet_ms(now_ms) > limit_ms:
            if not self._sinks:
                doubled_ms = 2 * self._idle_limit_ms
                self._idle_limit_ms = min(doubled_ms, IDLE_SILENCE_LIMIT_MAX_MS)
            self._reopens = True
            stream.abort(ConnectionLostError("node is silent", peer=self.member.node))
        elif self._sinks and not heard:
            self.send(Probe(StreamId(0)))

    def probe_idle(self, now_ms: float) -> None:
        """Probe an idle stream, to find out whether it still carries anything."""
        if self._awaiting_since_ms is None:
            self._awaiting_since_ms = now_ms
            self.send(Probe(StreamId(0)))

    def close(self) -> None:
        """Close the stream; its calls end as lost."""
        self._reopens = False
        if self._connecting is not None:
            self._connecting.cancel()
        if self._stream is not None:
            self._stream.close()

    def stream_opened(self, stream: Stream) -> None:
        """Do nothing: `_connect` completes the set-up."""

    def message_received(self, stream: Stream, message: ReplyMessage) -> None:
        """Dispatch a message to the call that it belongs to, or to the listener."""
        if isinstance(message, ProbeReply):
            self.listener.load_received(self.member.node, message.load)
            return
        if isinstance(message, ViewReply):
            self.listener.view_received(message.view)
            return
        sink = self._sinks.get(message.stream)
        if sink is None:
            return
        if _ends_call(message):
            del self._sinks[message.stream]
        try:
            sink(message)
        except Exception:
            # The other calls on this stream go on.
            log_event(log, "call_failed", traceback=True, node=self.member.node)
            self.send(Cancel(message.stream, "error"))
            self.discard_call(message.stream)

    def stream_closed(self, stream: Stream, error: PeerError | None) -> None:
        """End the calls that were sent as lost: each of them may have run."""
        self._stream = None
        self._awaiting_since_ms = None
        log_event(log, "peer_lost", peer=self.member.node, reason=error)
        self._end_calls(not_run=False)
        if self._reopens:
            self._reopens = False
            self.open_stream()

    async def _connect(self) -> None:
        member = self.member
        try:
            stream = await connect_stream(
                member.host,
                member.port,
                self.identity,
                _decoder,
                self,
                self.connect_timeout_ms,
            )
        except PeerError as error:
            log_event(log, "peer_unreachable", peer=member.node, reason=error)
            self._connecting = None
            self._unsent.clear()
            self._end_calls(not_run=True)
            return
        self._connecting = None
        self._stream = stream
        unsent, self._unsent = self._unsent, []
        for message in unsent:
            stream.send(message)

    def _end_calls(self, not_run: bool) -> None:
        sinks, self._sinks = self._sinks, {}
        for stream_id, sink in sinks.items():
            reason = RefusalReason.PEER_LOST
            sink(Refused(stream_id, reason, not_run, UNKNOWN_LOAD))


class PeerLinks:
    """The links of an entry, one for each other node in use.

    Parameters
    ----------
    identity : Identity
        The identity of this process.
    connect_timeout_ms : float
        The connect timeout.
    listener : PeerListener
        Receives the messages that belong to no call.
    """

    def __init__(
        self,
        identity: Identity,
        connect_timeout_ms: float,
        listener: PeerListener,
    ):
        self.identity = identity
        self.connect_timeout_ms = connect_timeout_ms
        self.listener = listener
        self._links: dict[NodeId, PeerLink] = {}
        self._wanted: set[NodeId] = set()
        self._unused_since_ms: dict[NodeId, float] = {}
        self._swept_at_ms = -math.inf

    def link(self, member: Member) -> PeerLink:
        """Return the link to a node, replaced if the node's address has changed."""
        link = self._links.get(member.node)
        if link is not None and _same_address(link.member, member):
            return link
        if link is not None:
            link.close()
        link = PeerLink(member, self.identity, self.connect_timeout_ms, self.listener)
        self._links[member.node] = link
        return link

    def check(self, now_ms: float) -> None:
        """Close the streams to unresponsive nodes, and unneeded streams when idle.

        A stream counts as idle once it has had no calls for `UNUSED_LIMIT_MS`.
        """
        for node, link in list(self._links.items()):
            link.check(now_ms)
            if node in self._wanted or link.open_calls:
                self._unused_since_ms.pop(node, None)
                continue
            since_ms = self._unused_since_ms.setdefault(node, now_ms)
            if now_ms - since_ms > UNUSED_LIMIT_MS:
                del self._unused_since_ms[node]
                self._links.pop(node).close()
        self._probe_idle_links(now_ms)

    def _probe_idle_links(self, now_ms: float) -> None:
        """Probe the idle links in turn, and all of them if several links are quiet.

        A fault of the network may silence many connections at the same moment.
        """
        links = self._links.values()
        idle = [one for one in links if one.is_idle and one.member.node in self._wanted]
        suspects = sum(one.quiet_ms(now_ms) >= SUSPECT_AFTER_MS for one in links)
        if suspects >= 2 and now_ms - self._swept_at_ms >= SWEEP_INTERVAL_MS:
            self._swept_at_ms = now_ms
            chosen = idle
        else:
            due = [one for one in idle if one.probe_due_ms() <= now_ms]
            due.sort(key=PeerLink.probe_due_ms)
            chosen = due[:IDLE_PROBES_PER_CHECK]
        for link in chosen:
            link.probe_idle(now_ms)

    def keep_only(self, nodes: set[NodeId]) -> None:
        """Close the idle links to nodes that are no longer members."""
        for node in set(self._links) - nodes:
            if self._links[node].open_calls == 0:
                self._unused_since_ms.pop(node, None)
                self._links.pop(node).close()

    def streams(self) -> list[Stream]:
        """Return the open streams."""
        found = (link.stream for link in self._links.values())
        return [stream for stream in found if stream is not None]

    def connect(self, members: Iterable[Member]) -> None:
        """Connect to nodes before the first call, to receive their load reports."""
        for member in members:
            self.link(member).open_stream()

    def set_wanted(self, nodes: set[NodeId]) -> None:
        """Set the nodes whose streams are kept open while idle."""
        self._wanted = nodes

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()


def _same_address(one: Member, other: Member) -> bool:
    return (one.host, one.port) == (other.host, other.port)


def _ends_call(message: ReplyMessage) -> bool:
    if isinstance(message, ReplyHead):
        return not message.more
    return isinstance(message, (End, Refused))
