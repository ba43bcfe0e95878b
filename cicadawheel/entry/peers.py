"""Streams to the nodes beside other upstreams, and the calls on them."""

import asyncio
import itertools
import logging
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
# Members come and go in bursts after a loss of power; streams outlast those.
UNUSED_LIMIT_MS = 5_000.0

UNKNOWN_LOAD = LoadReport(0, 0, 1, 0.0, 1.0, False, BootId(""), 0)

_decoder = msgspec.msgpack.Decoder(NodeMessage)


class CallHandle(Protocol):
    """The way to a gate for the messages of one call."""

    stream: StreamId

    def receive(self, message: CallMessage) -> None:
        """Take the next message."""


class PeerListener(Protocol):
    """Takes what other nodes tell beside the answers to calls."""

    def load_told(self, node: NodeId, load: LoadReport) -> None:
        """A probe has brought a node's load."""

    def view_told(self, view: View) -> None:
        """A node has told its view."""


class PeerCall:
    """One call on a stream to another node."""

    def __init__(self, link: "PeerLink", stream: StreamId):
        self.link = link
        self.stream = stream

    def receive(self, message: CallMessage) -> None:
        """Send a message on to the gate."""
        self.link.send(message)
        if isinstance(message, Cancel):
            self.link.forget(self.stream)


class PeerLink:
    """The stream to one node; it is opened when the first call needs it.

    Parameters
    ----------
    member : Member
        The node and its address.
    identity : Identity
        Who this process is.
    connect_timeout_ms : float
        How long connecting may take.
    listener : PeerListener
        Takes what nodes tell beside calls.
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
        self._heard_bytes = 0
        self._heard_at_ms = 0.0
        self._stream: Stream | None = None
        self._connecting: asyncio.Task | None = None
        self._unsent: list[CallOpen | CallMessage | Probe | ViewRequest] = []
        self._sinks: dict[StreamId, ReplySink] = {}
        self._numbers = itertools.count(1)

    @property
    def calls_open(self) -> int:
        """How many calls wait for an answer on this link."""
        return len(self._sinks)

    def open(self, call: CallOpen, sink: ReplySink) -> PeerCall:
        """Hand a call to the node; its answer goes to ``sink`` as messages."""
        stream_id = StreamId(next(self._numbers))
        self._sinks[stream_id] = sink
        self.send(msgspec.structs.replace(call, stream=stream_id))
        return PeerCall(self, stream_id)

    def forget(self, stream_id: StreamId) -> None:
        """Drop what still arrives for a call."""
        self._sinks.pop(stream_id, None)

    def send(self, message: CallOpen | CallMessage | Probe | ViewRequest) -> None:
        """Send a message, once the stream is open."""
        if self._stream is not None and self._stream.is_open():
            self._stream.send(message)
            return
        self._unsent.append(message)
        self.open_stream()

    def open_stream(self) -> None:
        """Connect, unless that was done."""
        if self._stream is None and self._connecting is None:
            self._connecting = asyncio.ensure_future(self._connect())

    def check(self, now_ms: float) -> None:
        """End the stream when calls wait on it and the node is silent."""
        stream = self._stream
        if stream is None or not self._sinks:
            self._heard_at_ms = now_ms
            return
        if stream.received_bytes != self._heard_bytes:
            self._heard_bytes = stream.received_bytes
            self._heard_at_ms = now_ms
        elif now_ms - self._heard_at_ms > SILENCE_LIMIT_MS:
            stream.abort(ConnectionLostError("node is silent", peer=self.member.node))
        else:
            self.send(Probe(StreamId(0)))

    def close(self) -> None:
        """End the stream; calls on it end as lost."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._stream is not None:
            self._stream.close()

    def stream_opened(self, stream: Stream) -> None:
        """Nothing to do: `_connect` goes on."""

    def message_received(self, stream: Stream, message: ReplyMessage) -> None:
        """Give a message to the call that it belongs to."""
        if isinstance(message, ProbeReply):
            self.listener.load_told(self.member.node, message.load)
            return
        if isinstance(message, ViewReply):
            self.listener.view_told(message.view)
            return
        sink = self._sinks.get(message.stream)
        if sink is None:
            return
        if _ends_call(message):
            del self._sinks[message.stream]
        sink(message)

    def stream_closed(self, stream: Stream, error: PeerError | None) -> None:
        """End the calls that were handed over: each of them may have run."""
        self._stream = None
        log_event(log, "peer_lost", peer=self.member.node, reason=error)
        self._end_calls(not_run=False)

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
    """All links of an entry, one for each other node.

    Parameters
    ----------
    identity : Identity
        Who this process is.
    connect_timeout_ms : float
        How long connecting may take.
    listener : PeerListener
        Takes what nodes tell beside calls.
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

    def link(self, member: Member) -> PeerLink:
        """Return the link to a node, at the address it has now."""
        link = self._links.get(member.node)
        if link is not None and _same_place(link.member, member):
            return link
        if link is not None:
            link.close()
        link = PeerLink(member, self.identity, self.connect_timeout_ms, self.listener)
        self._links[member.node] = link
        return link

    def check(self, now_ms: float) -> None:
        """End the streams to nodes that are silent while calls wait there.

        A stream that isn't wanted ends when it was idle for a while.
        """
        for node, link in list(self._links.items()):
            link.check(now_ms)
            if node in self._wanted or link.calls_open:
                self._unused_since_ms.pop(node, None)
                continue
            since_ms = self._unused_since_ms.setdefault(node, now_ms)
            if now_ms - since_ms > UNUSED_LIMIT_MS:
                del self._unused_since_ms[node]
                self._links.pop(node).close()

    def keep_only(self, nodes: set[NodeId]) -> None:
        """End the idle links to nodes that are no longer members."""
        for node in set(self._links) - nodes:
            if self._links[node].calls_open == 0:
                self._unused_since_ms.pop(node, None)
                self._links.pop(node).close()

    def keep_open(self, members: Iterable[Member]) -> None:
        """Connect to nodes before a call needs it, to hear of their load."""
        for member in members:
            self.link(member).open_stream()

    def want(self, nodes: set[NodeId]) -> None:
        """Keep streams to these nodes when they are idle, and to no others."""
        self._wanted = nodes

    def close(self) -> None:
        """End all links."""
        for link in self._links.values():
            link.close()


def _same_place(one: Member, other: Member) -> bool:
    return (one.host, one.port) == (other.host, other.port)


def _ends_call(message: ReplyMessage) -> bool:
    if isinstance(message, ReplyHead):
        return not message.more
    return isinstance(message, (End, Refused))
