"""Authenticated message streams over TCP.

A frame is a 4-byte big-endian size, whose top bit is `COMPRESSED_FLAG`, and a message
in msgpack.
"""

import asyncio
import logging
import socket
import struct
import zlib
from collections.abc import Callable
from typing import Protocol

import msgspec

from cicadawheel.errors import ConnectionLostError, PeerError, ProtocolError
from cicadawheel.logs import log_event
from cicadawheel.wire.handshake import Handshake, Hello, Proof, Role
from cicadawheel.wire.message import Message

log = logging.getLogger(__name__)

FRAME_HEADER = struct.Struct(">I")
FRAME_LIMIT_BYTES = 4 * 1024 * 1024
COMPRESSED_FLAG = 1 << 31
"""Bit of a frame's size field that marks the frame as compressed."""
COMPRESSION_MIN_BYTES = 1_024
"""Shorter messages are not compressed, as they fit into one packet or two."""
COMPRESSION_LEVEL = 1
"""The fastest level; higher levels save little more on these messages."""
HANDSHAKE_TIMEOUT_S = 5.0
HANDSHAKE_FRAME_LIMIT_BYTES = 1_024
CLOSE_STALL_LIMIT_S = 2.0
UNTAKEN_LIMIT_MS = 15_000
"""How long the peer may take nothing. Streams are always read, unlike bodies."""
KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)

_encoder = msgspec.msgpack.Encoder()
_handshake_decoder = msgspec.msgpack.Decoder(Hello | Proof)


class StreamOwner(Protocol):
    """Receives the events of a stream, in order, on the event loop."""

    def stream_opened(self, stream: "Stream") -> None:
        """Handle the completion of the handshake."""

    def message_received(self, stream: "Stream", message: Message) -> None:
        """Handle a message from the peer."""

    def stream_closed(self, stream: "Stream", error: PeerError | None) -> None:
        """Handle the end of an open stream; ``error`` is None if closed locally."""


class Identity(msgspec.Struct, frozen=True):
    """Identity of this process in the handshake with its peers.

    ``boot`` identifies the current run of the process, and ``key`` is the key shared by
    all processes of a deployment.
    """

    name: str
    boot: str
    key: bytes


class Stream(asyncio.Protocol):
    """One stream of messages to and from a peer.

    Not thread-safe: its methods must be called on the event loop.

    Parameters
    ----------
    role : Role
        Whether this side opened (client) or accepted (server) the connection.
    identity : Identity
        The identity of this process.
    decoder : msgspec.msgpack.Decoder
        Decoder for the message types that the peer may send.
    owner : StreamOwner
        Receives the events of the stream.
    frame_limit_bytes : int
        Maximum frame size; a longer frame ends the stream.
    """

    def __init__(
        self,
        role: Role,
        identity: Identity,
        decoder: msgspec.msgpack.Decoder,
        owner: StreamOwner,
        frame_limit_bytes: int = FRAME_LIMIT_BYTES,
    ):
        self.handshake = Handshake(role, identity.key, identity.name, identity.boot)
        self.decoder = decoder
        self.owner = owner
        self.frame_limit_bytes = frame_limit_bytes
        self.peer = ""
        self.sent_bytes = 0
        self.received_bytes = 0
        self.opened: asyncio.Future[Stream] = asyncio.get_running_loop().create_future()
        self._buffer = bytearray()
        self._write_queue: list[bytes] = []
        self._flush_scheduled = False
        self._finishing = False
        self._closing = False
        self._transport: asyncio.Transport | None = None
        self._error: PeerError | None = None
        self._handshake_timer: asyncio.TimerHandle | None = None

    def is_open(self) -> bool:
        """Return whether messages can be sent."""
        open_to_send = self._transport is not None and not self._finishing
        return self.handshake.done and open_to_send

    def send(self, message: Message) -> None:
        """Queue a message; those queued in one event loop iteration share a write.

        Raises
        ------
        ConnectionLostError
            The stream is not open.
        """
        if not self.is_open():
            raise ConnectionLostError("stream is closed", step="send", peer=self.peer)
        self._enqueue(message)

    def unsent_bytes(self) -> int:
        """Return the number of bytes queued and not yet passed to the kernel."""
        waiting = sum(map(len, self._write_queue))
        if self._transport is not None:
            waiting += self._transport.get_write_buffer_size()
        return waiting

    def close(self) -> None:
        """Flush queued messages and close the stream.

        It ends sooner if its peer takes none of them for `CLOSE_STALL_LIMIT_S`.
        """
        self._flush()
        if self._transport is not None and not self._closing:
            self._finishing = self._closing = True
            self._transport.close()
            self._check_close(-1)

    def finish(self) -> None:
        """Flush queued messages and send the end of the stream.

        The stream closes once the peer has closed it too, so that nothing that was
        sent is lost.
        """
        self._flush()
        if self._transport is None or self._transport.is_closing():
            return
        self._finishing = True
        try:
            self._transport.write_eof()
        except OSError as error:
            # The peer has reset the connection, which isn't read yet.
            self.abort(ConnectionLostError(str(error), step="send", peer=self.peer))

    def _check_close(self, unsent_before_bytes: int) -> None:
        unsent_bytes = self.unsent_bytes()
        if unsent_bytes == unsent_before_bytes:
            self.abort(
                ConnectionLostError(
                    "peer doesn't take the last messages", step="send", peer=self.peer
                )
            )
        elif unsent_bytes:
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_STALL_LIMIT_S, self._check_close, unsent_bytes)

    def abort(self, error: PeerError) -> None:
        """Abort the stream immediately with an error."""
        self._error = self._error or error
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the handshake."""
        self._transport = transport
        self.peer = str(transport.get_extra_info("peername"))
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNTAKEN_LIMIT_MS)
        for option in KEEP_ALIVE_OPTIONS:
            sock.setsockopt(*option)
        loop = asyncio.get_running_loop()
        self._handshake_timer = loop.call_later(
            HANDSHAKE_TIMEOUT_S, self._on_handshake_timeout
        )
        self._enqueue(self.handshake.hello)

    def data_received(self, data: bytes) -> None:
        """Process the frames that are complete with the received bytes."""
        self.received_bytes += len(data)
        self._buffer += data
        try:
            self._process_frames()
        except PeerError as error:
            self._reject(error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a pending handshake, or notify the owner of an open stream."""
        self._transport = None
        self._handshake_timer.cancel()
        error = self._error
        if error is None and exc is not None:
            error = ConnectionLostError(str(exc), step="receive", peer=self.peer)
        if not self.opened.done():
            lost = error or ConnectionLostError(
                "connection closed during the handshake",
                step="handshake",
                peer=self.peer,
            )
            self.opened.set_exception(lost)
            self.opened.exception()
        elif self.handshake.done:
            self.owner.stream_closed(self, error)

    def eof_received(self) -> None:
        """Treat the peer's closing of the connection as a connection loss."""
        self._error = self._error or ConnectionLostError(
            "peer closed the stream", step="receive", peer=self.peer
        )

    def _process_frames(self) -> None:
        buffer = self._buffer
        start = 0
        try:
            while len(buffer) - start >= FRAME_HEADER.size:
                head = FRAME_HEADER.unpack_from(buffer, start)[0]
                size = head & ~COMPRESSED_FLAG
                self._check_frame_size(size)
                end = start + FRAME_HEADER.size + size
                if len(buffer) < end:
                    break
                frame = bytes(buffer[start + FRAME_HEADER.size : end])
                start = end
                if head & COMPRESSED_FLAG:
                    frame = self._decompress(frame)
                self._process_frame(frame)
        finally:
            del buffer[:start]

    def _decompress(self, frame: bytes) -> bytes:
        """Return the content of a compressed frame, subject to the frame limit."""
        if not self.handshake.done:
            raise ProtocolError(
                "compressed frame during the handshake", step="receive", peer=self.peer
            )
        limit_bytes = self.frame_limit_bytes
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(frame, limit_bytes)
        except zlib.error as error:
            raise ProtocolError(
                f"frame can't be decompressed: {error}", step="receive", peer=self.peer
            ) from error
        if not decompressor.eof:
            raise ProtocolError(
                f"compressed frame is truncated or its content exceeds {limit_bytes}",
                step="receive",
                peer=self.peer,
            )
        return data

    def _check_frame_size(self, size: int) -> None:
        limit = self.frame_limit_bytes
        if not self.handshake.done:
            limit = HANDSHAKE_FRAME_LIMIT_BYTES
        if size > limit:
            raise ProtocolError(
                f"frame of {size} bytes is over the limit of {limit}",
                step="receive",
                peer=self.peer,
            )

    def _process_frame(self, frame: bytes) -> None:
        decoder = self.decoder if self.handshake.done else _handshake_decoder
        try:
            message = decoder.decode(frame)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ProtocolError(
                f"frame can't be decoded: {error}", step="receive", peer=self.peer
            ) from error
        if self.handshake.done:
            self.owner.message_received(self, message)
        else:
            self._process_handshake(message)

    def _process_handshake(self, message: Hello | Proof) -> None:
        answer = self.handshake.receive(message)
        if answer is not None:
            self._enqueue(answer)
        if self.handshake.done:
            self._handshake_timer.cancel()
            self.peer = self.handshake.peer.name
            self._finish_handshake()

    def _finish_handshake(self) -> None:
        if self.opened.done():
            # The connecting task was cancelled or timed out in the meantime.
            self._transport.abort()
            return
        self.opened.set_result(self)
        self.owner.stream_opened(self)

    def _on_handshake_timeout(self) -> None:
        self._reject(
            ProtocolError("handshake timed out", step="handshake", peer=self.peer)
        )

    def _reject(self, error: PeerError) -> None:
        log_event(log, "peer_refused", peer=self.peer, reason=str(error))
        self.abort(error)

    def _enqueue(self, message: Message) -> None:
        data = _encoder.encode(message)
        flag = 0
        if message.compresses and len(data) >= COMPRESSION_MIN_BYTES:
            data = zlib.compress(data, COMPRESSION_LEVEL)
            flag = COMPRESSED_FLAG
        self._write_queue.append(FRAME_HEADER.pack(len(data) | flag))
        self._write_queue.append(data)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self._write_queue and self._transport is not None:
            data = b"".join(self._write_queue)
            self.sent_bytes += len(data)
            self._transport.write(data)
        self._write_queue.clear()


async def connect_stream(
    host: str,
    port: int,
    identity: Identity,
    decoder: msgspec.msgpack.Decoder,
    owner: StreamOwner,
    timeout_ms: float,
) -> Stream:
    """Connect to a peer and return the stream after the handshake.

    Raises
    ------
    ConnectionLostError
        The peer is unreachable, did not complete the handshake in time, or closed the
        connection.
    AuthenticationError, ProtocolError
        The handshake failed.
    """
    peer = f"{host}:{port}"
    loop = asyncio.get_running_loop()
    stream = None
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            _, stream = await loop.create_connection(
                lambda: Stream(Role.CLIENT, identity, decoder, owner), host, port
            )
            return await stream.opened
    except (OSError, TimeoutError) as error:
        lost = ConnectionLostError(
            f"connection failed: {str(error) or 'timeout'}", step="connect", peer=peer
        )
        if stream is not None:
            stream.abort(lost)
        raise lost from error


async def serve_streams(
    host: str,
    port: int,
    identity: Identity,
    decoder: msgspec.msgpack.Decoder,
    owner: Callable[[], StreamOwner],
) -> asyncio.Server:
    """Start a server for streams; ``owner`` creates the owner of each stream."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Stream(Role.SERVER, identity, decoder, owner()), host, port
    )
