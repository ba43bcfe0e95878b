"""Serves calls that other nodes send to this gate over streams."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from cicadawheel.control.messages import View
from cicadawheel.errors import ConnectionLostError, PeerError
from cicadawheel.gate.call import CallState, GateCall
from cicadawheel.gate.gate import Gate
from cicadawheel.ids import StreamId
from cicadawheel.logs import log_event
from cicadawheel.messages import (
    Body,
    CallMessage,
    CallOpen,
    Cancel,
    CrashNotice,
    Credit,
    End,
    LoadReport,
    Probe,
    ProbeReply,
    RefusalReason,
    Refused,
    ReplyMessage,
    ViewReply,
    ViewRequest,
)
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S
from cicadawheel.wire.message import Message
from cicadawheel.wire.stream import Identity, Stream, serve_streams

log = logging.getLogger(__name__)

PeerMessage = (
    CallOpen | Body | End | Credit | Cancel | Probe | CrashNotice | ViewRequest
)
GetView = Callable[[], View]

REPLACED_SILENCE_LIMIT_MS = 1_000.0
UNSENT_LOADS_LIMIT_BYTES = 65_536

_decoder = msgspec.msgpack.Decoder(PeerMessage)


class PeerStreams:
    """The streams on which other nodes send calls to this gate."""

    def __init__(self):
        self.open: set[Stream] = set()
        self._finishing = False

    def add(self, stream: Stream) -> None:
        """Add an open stream; it ends at once if the others were finished.

        A node uses one stream to this gate at a time. Its earlier ones are closed if
        they bring nothing more, as their end may not arrive.
        """
        for earlier in self.open:
            if earlier.peer == stream.peer:
                asyncio.get_running_loop().call_later(
                    REPLACED_SILENCE_LIMIT_MS / MS_PER_S,
                    _abort_if_silent,
                    earlier,
                    earlier.received_bytes,
                )
        self.open.add(stream)
        if self._finishing:
            stream.finish()

    def unsent_bytes(self) -> int:
        """Return the number of bytes not yet passed to the kernel."""
        return sum(stream.unsent_bytes() for stream in self.open)

    def finish(self) -> None:
        """End the streams; each closes once its peer has got all messages."""
        self._finishing = True
        for stream in list(self.open):
            stream.finish()


class PeerServer:
    """Passes the calls of one peer node to the gate.

    Parameters
    ----------
    gate : Gate
        The gate of this node.
    get_view : Callable
        Returns this node's view of the deployment.
    streams : PeerStreams
        Holds the stream while it is open.
    """

    def __init__(self, gate: Gate, get_view: GetView, streams: PeerStreams):
        self.gate = gate
        self.get_view = get_view
        self.streams = streams
        self._calls: dict[StreamId, GateCall] = {}
        self._stream: Stream | None = None

    def stream_opened(self, stream: Stream) -> None:
        """Subscribe the peer to the gate's load and send the current one."""
        self._stream = stream
        self.gate.publisher.listeners.add(self._push_load)
        stream.send(ProbeReply(StreamId(0), self.gate.load()))
        self.streams.add(stream)
        log_event(log, "peer_connected", peer=stream.peer)

    def message_received(self, stream: Stream, message: PeerMessage) -> None:
        """Start a call, or dispatch a message to its call."""
        if isinstance(message, CallOpen):
            self._open(stream, message)
        elif isinstance(message, Probe):
            _send(stream, ProbeReply(message.stream, self.gate.load()))
        elif isinstance(message, CrashNotice):
            self.gate.guard.notice_received(message)
        elif isinstance(message, ViewRequest):
            self._send_view(stream, message)
        elif message.stream in self._calls:
            self._receive(stream, message)

    def stream_closed(self, stream: Stream, error: PeerError | None) -> None:
        """Cancel the calls of the peer, as their replies can't be delivered."""
        self.streams.open.discard(stream)
        self.gate.publisher.listeners.discard(self._push_load)
        calls, self._calls = self._calls, {}
        for call in calls.values():
            call.receive(Cancel(call.stream, "peer lost"))
        log_event(
            log,
            "peer_disconnected",
            peer=stream.peer,
            calls=len(calls),
            reason=error,
        )

    def _receive(self, stream: Stream, message: CallMessage) -> None:
        call = self._calls[message.stream]
        try:
            call.receive(message)
        except Exception:
            self._abandon(stream, call.call)
            call.receive(Cancel(call.stream, "error"))
        if call.state is CallState.ENDED:
            self._calls.pop(message.stream, None)

    def _abandon(self, stream: Stream, call: CallOpen) -> None:
        """Refuse a call after an unexpected error, so that the others can go on."""
        log_event(log, "call_failed", traceback=True, request=call.request)
        refused = Refused(call.stream, RefusalReason.CANCELLED, False, self.gate.load())
        _send(stream, refused)

    def _push_load(self, load: LoadReport) -> None:
        """Send a load report, unless the peer doesn't read."""
        if self._stream.unsent_bytes() <= UNSENT_LOADS_LIMIT_BYTES:
            _send(self._stream, ProbeReply(StreamId(0), load))

    def _send_view(self, stream: Stream, request: ViewRequest) -> None:
        view = self.get_view()
        if view.index > request.index:
            _send(stream, ViewReply(view))

    def _open(self, stream: Stream, call: CallOpen) -> None:
        def sink(message: ReplyMessage) -> None:
            _send(stream, message)
            gate_call = self._calls.get(call.stream)
            if gate_call is not None and gate_call.state is CallState.ENDED:
                del self._calls[call.stream]

        try:
            gate_call = self.gate.open(call, sink)
        except Exception:
            self._abandon(stream, call)
            return
        if gate_call.state is not CallState.ENDED:
            self._calls[call.stream] = gate_call


def _abort_if_silent(stream: Stream, received_bytes: int) -> None:
    """Abort a stream that has brought nothing beyond ``received_bytes``."""
    if stream.received_bytes == received_bytes:
        stream.abort(ConnectionLostError("node uses another stream", peer=stream.peer))


def _send(stream: Stream, message: Message) -> None:
    """Send a message, unless the stream has closed or is being finished."""
    if stream.is_open():
        stream.send(message)


async def serve_peers(
    address: Address,
    identity: Identity,
    gate: Gate,
    get_view: GetView,
    streams: PeerStreams,
) -> asyncio.Server:
    """Listen for streams of other nodes."""
    return await serve_streams(
        address.host,
        address.port,
        identity,
        _decoder,
        lambda: PeerServer(gate, get_view, streams),
    )
