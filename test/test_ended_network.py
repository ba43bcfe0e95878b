"""Connections to a replica whose log has ended while its process runs on."""

import asyncio

from test_replication_network import Clock, Owner

from bench.faultproxy import Direction, Faults, start_proxy
from bench.ports import free_port
from cicadawheel.control.replica.network import Network, _decoder
from cicadawheel.errors import ConnectionLostError
from cicadawheel.settings import Address
from cicadawheel.wire.handshake import Role
from cicadawheel.wire.stream import Identity, Stream, connect_stream

CONTACT_WINDOW_MS = 3_000


class Peer:
    """The other end of a connection, which waits for its end."""

    def __init__(self):
        self.closed = asyncio.Event()

    def stream_opened(self, stream):
        pass

    def message_received(self, stream, message):
        pass

    def stream_closed(self, stream, error):
        self.closed.set()


def test_connection_accepted_before_the_end_does_not_open_after_it(monkeypatch):
    # A restarted replica got nothing for 20 s: the others sent to its ended log.
    accepted = asyncio.Event()
    connection_made = Stream.connection_made

    def observe(stream, transport):
        connection_made(stream, transport)
        if stream.handshake.role is Role.SERVER:
            accepted.set()

    monkeypatch.setattr(Stream, "connection_made", observe)

    async def body():
        address = Address("127.0.0.1", free_port())
        identity = Identity("a", "boot", b"k")
        network = Network(address, Identity("b", "boot", b"k"), Owner(), Clock())
        ready = asyncio.Event()
        running = asyncio.ensure_future(network.run(ready.set))
        await ready.wait()
        proxy = await start_proxy(address)
        proxy.set_faults(Faults(frozen=Direction.BOTH))
        peer = Peer()
        connecting = asyncio.ensure_future(
            connect_stream(
                proxy.address.host,
                proxy.address.port,
                identity,
                _decoder,
                peer,
                CONTACT_WINDOW_MS,
            )
        )
        await accepted.wait()
        running.cancel()
        await asyncio.wait([running])
        proxy.set_faults(Faults())
        async with asyncio.timeout(CONTACT_WINDOW_MS / 1_000):
            try:
                await connecting
            except ConnectionLostError:
                return
            await peer.closed.wait()

    asyncio.run(body())
