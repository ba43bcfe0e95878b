"""Accepted streams that a node has left without an end, or doesn't read."""

import asyncio

from site_in_loop import POLL_S
from test_finished_streams import SlowPeer, identity
from test_silent_links import CONTACT_WINDOW_S, linked_entry

from cicadawheel.gate.gate import Gate
from cicadawheel.gate.server import PeerStreams, serve_peers
from cicadawheel.platform.headers import PLATFORM_DIALECT
from cicadawheel.settings import Address, GateSettings
from cicadawheel.timer import make_timer_service

PUSHES = 100_000
PUSHES_A_TURN = 1_000


def test_gate_closes_the_stream_that_a_node_has_replaced():
    async def work():
        async with linked_entry(1) as entry:
            (streams,) = entry.streams
            old = set(streams.open)
            entry.silence()
            async with asyncio.timeout(CONTACT_WINDOW_S):
                while len(streams.open - old) < 1:
                    await asyncio.sleep(POLL_S)
            async with asyncio.timeout(CONTACT_WINDOW_S):
                while streams.open & old:
                    await asyncio.sleep(POLL_S)
            assert len(entry.gate.publisher.listeners) == 1

    asyncio.run(work())


def test_load_reports_for_a_node_that_does_not_read_are_not_queued_without_limit():
    async def work():
        gate = Gate(GateSettings(), "dc", make_timer_service(), "n1", PLATFORM_DIALECT)
        streams, peer = PeerStreams(), SlowPeer()
        address = Address("127.0.0.1", 0)
        server = await serve_peers(address, identity("n1"), gate, None, streams)
        await peer.connect(server)
        peer.stream._transport.pause_reading()
        (push,) = gate.publisher.listeners

        async def push_many():
            for _ in range(PUSHES // PUSHES_A_TURN):
                for _ in range(PUSHES_A_TURN):
                    push(gate.load())
                await asyncio.sleep(0)
            return streams.unsent_bytes()

        first = await push_many()
        assert first > 0
        assert await push_many() == first
        peer.stream._transport.abort()
        server.close()
        gate.close()

    asyncio.run(work())
