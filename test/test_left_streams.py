"""Accepted streams that a node has left without an end, or doesn't read."""

import asyncio

from site_in_loop import POLL_S
from test_silent_links import CONTACT_WINDOW_S, linked_entry


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
