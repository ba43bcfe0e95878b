"""Streams between nodes and control that go silent, while new ones work."""

import asyncio

import pytest
from site_in_loop import POLL_S, until

from bench.faultproxy import Direction, start_proxy
from cicadawheel.errors import ConnectionLostError

CONTACT_WINDOW_S = 3.0


async def connect_through_proxy(site, node):
    """Return a proxy, through which a node is connected to control from now on."""
    control = site.control.settings.control.stream_address
    proxy = await start_proxy(control)
    link = node.control
    link.seeds = link.addresses = (proxy.address,)
    link._stream.abort(ConnectionLostError("test"))
    await until(lambda: proxy.accepted and link.connected)
    await until(lambda: len(site.control.server.sessions) == len(site.nodes))
    return proxy


@pytest.mark.parametrize("direction", [*Direction, Direction.BOTH])
def test_node_whose_stream_to_control_went_silent_is_heard_again(on_site, direction):
    async def work(site):
        node, server = site.nodes[0], site.control.server
        proxy = await connect_through_proxy(site, node)
        old = set(server.sessions)
        proxy.silence(direction)
        async with asyncio.timeout(CONTACT_WINDOW_S):
            while not any(
                session.lease is not None and session.lease.node == node.node
                for session in server.sessions - old
            ):
                await asyncio.sleep(POLL_S)
            while len(server.sessions) > len(site.nodes):
                await asyncio.sleep(POLL_S)
        assert node.control.connected
        await proxy.close()

    on_site(work)
