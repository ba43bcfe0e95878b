"""One authenticated stream of messages over TCP."""

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
"""Set in the size of a frame that is compressed."""
COMPRESSION_MIN_BYTES = 1_024
"""Shorter messages fit a packet or two as they are."""
COMPRESSION_LEVEL = 1
"""The fastest; higher levels hardly save more on such messages."""
HANDSHAKE_TIMEOUT_S = 5.0
HANDSHAKE_FRAME_LIMIT_BYTES = 1_024

_encoder = msgspec.msgpack.Encoder()
_handshake_decoder = msgspec.msgpack.Decoder(Hello | Proof)


class StreamOwner(Protocol):
    """Receives what happens on a stream, in order, on the event loop."""

    def stream_opened(self, stream: "Stream") -> None:
        """Both sides have proved that they hold the key."""

    def message_received(self, stream: "Stream", message: Message) -> None:
        """A message has arrived."""

    def stream_closed(self, stream: "Stream", error: PeerError | None) -> None:
        """An opened stream has ended; ``error`` is None when we closed it."""


class Identity(msgspec.Struct, frozen=True):
    """Who this process is towards its peers.

    ``key`` is the key that all processes of a deployment share.
    """

    name: str
    boot: str
    key: bytes


class Stream(asyncio.Protocol):
    """One stream; `send` and `close` may be called from the event loop only.

    Parameters
    ----------
    role : Role
        Whether this side connected or accepted.
    identity : Identity
        Who this process is.
    decoder : msgspec.msgpack.Decoder
        Decodes the messages that the peer may send.
    owner : StreamOwner
        Receives the messages.
    frame_limit_bytes : int
        A longer frame ends the stream.
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
        self._transport: asyncio.Transport | None = None
        self._error: PeerError | None = None
        self._handshake_timer: asyncio.TimerHandle | None = None

    def is_open(self) -> bool:
        """Return whether messages can be sent."""
        return self.handshake.done and self._transport is not None

    def send(self, message: Message) -> None:
        """Send a message; several of one turn of the loop go out in one write.

        Raises
        ------
        ConnectionLostError
            The stream is not open.
        """
        if not self.is_open():
            raise ConnectionLostError("stream is closed", step="send", peer=self.peer)
        self._enqueue(message)

    def unsent_bytes(self) -> int:
        """Return how many bytes wait for the peer to read."""
        waiting = sum(map(len, self._write_queue))
        if self._transport is not None:
            waiting += self._transport.get_write_buffer_size()
        return waiting

    def close(self) -> None:
        """Send what is queued and end the stream."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self, error: PeerError) -> None:
        """End the stream at once because of an error."""
        self._error = self._error or error
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin the handshake."""
        self._transport = transport
        self.peer = str(transport.get_extra_info("peername"))
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = asyncio.get_running_loop()
        self._handshake_timer = loop.call_later(
            HANDSHAKE_TIMEOUT_S, self._on_handshake_timeout
        )
        self._enqueue(self.handshake.hello)

    def data_received(self, data: bytes) -> None:
        """Take bytes off the socket."""
        self.received_bytes += len(data)
        self._buffer += data
        try:
            self._process_frames()
        except PeerError as error:
            self._reject(error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        self._transport = None
        self._handshake_timer.cancel()
        error = self._error
        if error is None and exc is not None:
            error = ConnectionLostError(str(exc), step="receive", peer=self.peer)
        if not self.opened.done():
            lost = error or ConnectionLostError(
                "connection ended in the handshake", step="handshake", peer=self.peer
            )
            self.opened.set_exception(lost)
            self.opened.exception()
        elif self.handshake.done:
            self.owner.stream_closed(self, error)

    def eof_received(self) -> None:
        """Take the peer's end of the connection for a loss."""
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
        """Return what a compressed frame holds, which has the limit of any frame."""
        if not self.handshake.done:
            raise ProtocolError(
                "compressed frame in the handshake", step="receive", peer=self.peer
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
                f"frame is cut short or over the limit of {limit_bytes}",
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
            # Whoever connected has given up in the meantime.
            self._transport.abort()
            return
        self.opened.set_result(self)
        self.owner.stream_opened(self)

    def _on_handshake_timeout(self) -> None:
        self._reject(
            ProtocolError("handshake took too long", step="handshake", peer=self.peer)
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
    """Connect to a peer and return the stream once the handshake is done.

    Raises
    ------
    ConnectionLostError
        The peer can't be reached in time, or ended the connection.
    AuthenticationError, ProtocolError
        The peer was refused.
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
            f"can't connect: {error or 'timeout'}", step="connect", peer=peer
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
    """Accept streams; ``owner`` gives the owner of each."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Stream(Role.SERVER, identity, decoder, owner()), host, port
    )
