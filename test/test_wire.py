"""Streams between processes: handshake, framing, compression and rejected peers."""

import asyncio
import zlib

import msgspec
import pytest

from cicadawheel.configuration import Configuration, HostRoute, RepeatRule, ServiceShare
from cicadawheel.control.messages import View
from cicadawheel.errors import AuthenticationError, ConnectionLostError
from cicadawheel.ids import StreamId
from cicadawheel.messages import End, NodeMessage, Probe, ViewReply
from cicadawheel.wire import connect_stream, serve_streams
from cicadawheel.wire.handshake import Role
from cicadawheel.wire.stream import (
    COMPRESSED_FLAG,
    FRAME_HEADER,
    FRAME_LIMIT_BYTES,
    Identity,
    Stream,
)


class Recorder:
    """Stream owner that records messages and the end of its stream."""

    def __init__(self):
        self.messages = asyncio.Queue()
        self.closed = asyncio.Queue()
        self.stream = None

    def stream_opened(self, stream):
        self.stream = stream

    def message_received(self, stream, message):
        self.messages.put_nowait(message)

    def stream_closed(self, stream, error):
        self.closed.put_nowait(error)


def identity(name, key=b"secret"):
    return Identity(name, "boot-1", key)


async def open_pair(client_key=b"secret"):
    decoder = msgspec.msgpack.Decoder(NodeMessage)
    accepted, connected = Recorder(), Recorder()
    server = await serve_streams(
        "127.0.0.1", 0, identity("server"), decoder, lambda: accepted
    )
    port = server.sockets[0].getsockname()[1]
    stream = await connect_stream(
        "127.0.0.1", port, identity("client", client_key), decoder, connected, 2_000
    )
    return server, stream, accepted, connected


def test_messages_arrive_in_order():
    async def run():
        server, stream, accepted, _ = await open_pair()
        stream.send(Probe(StreamId(1)))
        stream.send(End(StreamId(2)))
        assert await accepted.messages.get() == Probe(StreamId(1))
        assert await accepted.messages.get() == End(StreamId(2))
        assert accepted.stream.peer == "client"
        stream.close()
        assert isinstance(await accepted.closed.get(), ConnectionLostError)
        server.close()

    asyncio.run(run())


def test_peer_with_another_key_is_rejected():
    async def run():
        with pytest.raises((AuthenticationError, ConnectionLostError)):
            await open_pair(client_key=b"other")

    asyncio.run(run())


@pytest.mark.parametrize(
    "frame",
    [
        FRAME_HEADER.pack(FRAME_LIMIT_BYTES + 1),
        FRAME_HEADER.pack(3) + b"\xc1\xc1\xc1",
    ],
)
def test_invalid_frame_closes_only_its_stream(frame):
    async def run():
        server, stream, accepted, connected = await open_pair()
        stream._transport.write(frame)
        await connected.closed.get()
        assert server.is_serving()
        server.close()

    asyncio.run(run())


def test_handshake_completed_after_cancellation_closes_the_stream():
    async def run():
        failures = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        decoder = msgspec.msgpack.Decoder(NodeMessage)
        accepted = Recorder()
        server = await serve_streams(
            "127.0.0.1", 0, identity("server"), decoder, lambda: accepted
        )
        port = server.sockets[0].getsockname()[1]
        _, stream = await loop.create_connection(
            lambda: Stream(Role.CLIENT, identity("client"), decoder, Recorder()),
            "127.0.0.1",
            port,
        )
        stream.opened.cancel()
        await accepted.closed.get()
        server.close()
        return failures

    assert asyncio.run(run()) == []


def make_view(count):
    routes = {}
    for number in range(count):
        shares = (ServiceShare(f"service-{number % 3}", 1.0),)
        name = f"host.example/prefix-{number}/"
        routes[name] = HostRoute(
            name, "host.example", f"/{number}/", RepeatRule.ONCE, shares, 1e3, 5e2, 1, 2
        )
    return View(3, Configuration(revision=3, routes=routes), (), ())


def test_long_views_cross_in_a_fifth_of_their_size():
    async def run():
        server, stream, accepted, _ = await open_pair()
        view = make_view(300)
        plain = len(msgspec.msgpack.encode(ViewReply(view)))
        before = stream.sent_bytes
        stream.send(ViewReply(view))
        assert await accepted.messages.get() == ViewReply(view)
        assert stream.sent_bytes - before < plain / 5
        stream.close()
        await accepted.closed.get()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "frame",
    [
        b"no deflate",
        zlib.compress(bytes(FRAME_LIMIT_BYTES + 1)),
        zlib.compress(b"x")[:4],
    ],
)
def test_invalid_or_oversized_compressed_frame_closes_the_stream(frame):
    async def run():
        server, stream, accepted, connected = await open_pair()
        head = FRAME_HEADER.pack(len(frame) | COMPRESSED_FLAG)
        stream._transport.write(head + frame)
        error = await accepted.closed.get()
        assert error.step == "receive"
        server.close()

    asyncio.run(run())
