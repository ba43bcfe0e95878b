"""Streams of peers that are being finished at a planned stop of a node."""

import asyncio
import socket
import struct

import msgspec
import pytest
from lone_gate import make_call
from site_in_loop import until

from cicadawheel.configuration import Configuration
from cicadawheel.control.messages import View
from cicadawheel.gate.gate import Gate
from cicadawheel.gate.server import PeerStreams, serve_peers
from cicadawheel.messages import Body, NodeMessage, Probe, ViewRequest
from cicadawheel.platform.headers import PLATFORM_DIALECT
from cicadawheel.settings import Address, GateSettings
from cicadawheel.timer import make_timer_service
from cicadawheel.wire.stream import Identity, connect_stream

CHUNK = bytes(100_000)
CHUNKS = 200
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
CONNECT_TIMEOUT_MS = 2_000.0

_decoder = msgspec.msgpack.Decoder(NodeMessage)


def identity(name):
    return Identity(name, "boot", b"a key of sixteen characters")


class SlowPeer:
    """A node that reads its stream only when told to."""

    def __init__(self):
        self.stream = None
        self.chunks = 0
        self.closed = False

    async def connect(self, server):
        host, port = server.sockets[0].getsockname()
        self.stream = await connect_stream(
            host, port, identity("n2"), _decoder, self, CONNECT_TIMEOUT_MS
        )

    def stream_opened(self, stream):
        """Do nothing: `connect` returns the stream."""

    def message_received(self, stream, message):
        self.chunks += isinstance(message, Body)

    def stream_closed(self, stream, error):
        self.closed = True


async def serve(streams):
    gate = Gate(GateSettings(), "dc", make_timer_service(), "n1", PLATFORM_DIALECT)
    view = View(5, Configuration(1), (), ())
    address = Address("127.0.0.1", 0)
    return await serve_peers(address, identity("n1"), gate, lambda: view, streams)


def finish(streams, finished):
    try:
        finished.set_result(streams.finish())
    except OSError as error:
        finished.set_exception(error)


@pytest.mark.parametrize(
    "message", [Probe(0), ViewRequest(0), make_call("r")], ids=["probe", "view", "call"]
)
def test_message_of_a_peer_does_not_cut_a_stream_that_is_being_finished(message):
    # The stream was aborted, as the reply to the message couldn't be sent.
    async def work():
        streams, peer = PeerStreams(), SlowPeer()
        server = await serve(streams)
        await peer.connect(server)
        await until(lambda: streams.open)
        (stream,) = streams.open
        peer.stream._transport.pause_reading()
        for _ in range(CHUNKS):
            stream.send(Body(1, CHUNK))
        streams.finish()
        received_bytes = stream.received_bytes
        peer.stream.send(message)
        await until(lambda: stream.received_bytes > received_bytes)
        peer.stream._transport.resume_reading()
        await until(lambda: peer.closed)
        assert peer.chunks == CHUNKS
        await until(lambda: not streams.open)
        server.close()

    asyncio.run(work())


def test_stream_of_a_peer_that_connects_late_is_finished_too():
    # The stop waited for it until the time for its last bytes was over.
    async def work():
        streams, peer = PeerStreams(), SlowPeer()
        server = await serve(streams)
        streams.finish()
        await peer.connect(server)
        await until(lambda: peer.closed)
        await until(lambda: not streams.open)
        server.close()

    asyncio.run(work())


def test_peer_that_has_reset_its_stream_does_not_end_the_stop():
    # The end of its stream failed, and the streams of others weren't ended.
    async def work():
        streams, peers = PeerStreams(), [SlowPeer(), SlowPeer()]
        server = await serve(streams)
        for peer in peers:
            await peer.connect(server)
        await until(lambda: len(streams.open) == len(peers))
        for peer in peers:
            transport = peer.stream._transport
            end = transport.get_extra_info("socket")
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            transport.abort()
        finished = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(finish, streams, finished)
        await finished
        await until(lambda: not streams.open)
        server.close()

    asyncio.run(work())
