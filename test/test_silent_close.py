"""Streams that are closed while their connection carries nothing."""

import asyncio

import pytest
from test_wire import open_pair

from cicadawheel.errors import ConnectionLostError
from cicadawheel.ids import StreamId
from cicadawheel.messages import Body, Probe
from cicadawheel.wire import stream as stream_module

CONTACT_WINDOW_S = 3.0
CHUNK = bytes(100_000)
CHUNKS = 200


async def fill(stream):
    """Send more than the kernel takes, to a peer that doesn't read."""
    for _ in range(CHUNKS):
        stream.send(Body(StreamId(1), CHUNK))
    await asyncio.sleep(0)
    assert stream.unsent_bytes()


def test_closed_stream_ends_though_its_last_bytes_are_not_taken():
    async def run():
        server, stream, accepted, connected = await open_pair()
        accepted.stream._transport.pause_reading()
        await fill(stream)
        stream.close()
        async with asyncio.timeout(CONTACT_WINDOW_S):
            await connected.closed.get()
        server.close()

    asyncio.run(run())


def test_closed_stream_takes_no_more_messages():
    async def run():
        server, stream, accepted, _ = await open_pair()
        accepted.stream._transport.pause_reading()
        await fill(stream)
        stream.close()
        assert not stream.is_open()
        with pytest.raises(ConnectionLostError):
            stream.send(Probe(StreamId(2)))
        stream.abort(ConnectionLostError("test"))
        server.close()

    asyncio.run(run())


def test_stream_whose_peer_takes_nothing_for_long_ends(monkeypatch):
    monkeypatch.setattr(stream_module, "UNTAKEN_LIMIT_MS", 500, raising=False)

    async def run():
        server, stream, accepted, connected = await open_pair()
        accepted.stream._transport.pause_reading()
        await fill(stream)
        async with asyncio.timeout(CONTACT_WINDOW_S):
            await connected.closed.get()
        server.close()

    asyncio.run(run())
