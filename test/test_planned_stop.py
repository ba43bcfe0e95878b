"""What callers have got from a node when its process ends after a planned stop."""

import asyncio

from site_in_loop import until

from cicadawheel.node.daemon import FLUSH_TIMEOUT_MS, LEAVE_NOTICE_MS
from cicadawheel.timer import MS_PER_S

READ_TIMEOUT_S = 5.0
LARGE_BYTES = 20_000_000
NODE = 0


async def open_caller(site, request):
    """Send a request on a new connection, and return the connection."""
    address = site.nodes[NODE].settings.node.caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    lines = [f"{request} HTTP/1.1", "Host: shop.x", "Cicadawheel-Service: shop"]
    writer.write("\r\n".join(lines).encode() + b"\r\n")
    return reader, writer


async def stop_node(site):
    """Stop a node, and return when its process would end."""
    site.stops[1 + NODE].set()
    await site.tasks[1 + NODE]


async def read_all(reader):
    async with asyncio.timeout(READ_TIMEOUT_S):
        return await reader.read()


def test_call_at_an_upstream_when_the_stop_ends_is_answered(on_site):
    # Its caller's connection was closed without an answer.
    async def work(site):
        reader, writer = await open_caller(site, "GET /hold")
        writer.write(b"\r\n")
        await until(lambda: any(upstream.held for upstream in site.upstreams))
        await stop_node(site)
        assert (await read_all(reader)).startswith(b"HTTP/1.1 502 ")

    on_site(work)


def test_call_that_was_not_sent_when_the_stop_ends_is_refused_as_not_run(on_site):
    # Its caller's connection was closed without an answer.
    async def work(site):
        reader, writer = await open_caller(site, "PUT /x")
        writer.write(b"Content-Length: 10\r\n\r\nhalf")
        await until(lambda: site.nodes[NODE].entry.calls)
        await stop_node(site)
        assert (await read_all(reader)).startswith(b"HTTP/1.1 503 ")

    on_site(work)


def test_connection_ends_with_an_answer_that_outlasts_the_notice_of_a_stop(on_site):
    # It stayed open, and its next request could be cut when the process ended.
    async def work(site):
        node = site.nodes[NODE]
        reader, writer = await open_caller(site, f"GET /big/{LARGE_BYTES}")
        writer.write(b"\r\n")
        await reader.readuntil(b"\r\n\r\n")
        stopping = asyncio.ensure_future(stop_node(site))
        read_at_s = asyncio.get_running_loop().time() + 2 * LEAVE_NOTICE_MS / MS_PER_S
        await until(lambda: asyncio.get_running_loop().time() > read_at_s)
        assert len(await read_all(reader)) == LARGE_BYTES
        await stopping
        assert node.unsent_bytes() == 0

    on_site(work)


def test_stop_waits_until_a_caller_with_an_unread_body_has_its_answer(on_site):
    # Bytes of the body that nobody read reset the connection when the process ended.
    async def work(site):
        reader, writer = await open_caller(site, "PUT /x")
        writer.write(b"Content-Length: 10\r\n\r\nhalf")
        node = site.nodes[NODE]
        await until(lambda: node.entry.calls)
        stopping = asyncio.ensure_future(stop_node(site))
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        loop = asyncio.get_running_loop()
        closes_at_s = loop.time() + FLUSH_TIMEOUT_MS / MS_PER_S / 2
        await until(lambda: stopping.done() or loop.time() > closes_at_s)
        assert not stopping.done()
        writer.close()
        await stopping
        assert not node.entry.has_callers()

    on_site(work)
