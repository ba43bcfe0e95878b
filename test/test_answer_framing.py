"""Answers with unusual framing arrive whole, and harm no other call."""

import asyncio

import pytest
from site_in_loop import hold_call

CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"
NO_BODY = object()


async def read_answer(reader, method):
    """Return the status and the body of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    status = int(head.split()[1])
    if method == "HEAD" or status in (204, 304):
        return status, NO_BODY
    if "transfer-encoding: chunked" in head:
        assert "content-length" not in head
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return status, body
    length = head.partition("content-length: ")[2].partition("\r\n")[0]
    return status, await reader.readexactly(int(length))


@pytest.mark.parametrize(
    ("method", "head", "body", "expected"),
    [
        pytest.param(
            "GET",
            "200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2",
            CHUNKS,
            b"hello",
            id="length beside chunks",
        ),
        pytest.param(
            "GET",
            "200 OK\r\nContent-Length: 5\r\nConnection: content-length",
            b"hello",
            b"hello",
            id="length listed as hop-by-hop",
        ),
        pytest.param("GET", "204 X\r\nContent-Length: 5", b"", NO_BODY, id="204"),
        pytest.param("GET", "304 X\r\nContent-Length: 5", b"", NO_BODY, id="304"),
        pytest.param(
            "HEAD", "200 OK\r\nTransfer-Encoding: chunked", b"", NO_BODY, id="HEAD"
        ),
        pytest.param(
            "HEAD", "200 OK\r\nContent-Length: 9999999", b"", NO_BODY, id="HEAD, length"
        ),
    ],
)
def test_answer_is_whole_and_the_connection_goes_on(
    on_site, method, head, body, expected
):
    # A length beside chunks was passed on: the entry raised an error, which closed the
    # stream between the nodes, and with it all calls on it.
    async def work(site):
        await site.leave(site.upstreams[0])
        upstream = site.upstreams[1]
        held = await hold_call(site, "key")
        serve = upstream.serve

        def serve_odd(transport, sent_method, target, sent_body):
            if target == "/odd":
                transport.write(f"HTTP/1.1 {head}\r\n\r\n".encode() + body)
            else:
                serve(transport, sent_method, target, sent_body)

        upstream.serve = serve_odd
        entry = site.nodes[0].settings.node.caller_address
        reader, writer = await asyncio.open_connection(entry.host, entry.port)
        fields = "Host: shop\r\nCicadawheel-Service: shop\r\n\r\n"
        async with asyncio.timeout(3.0):
            writer.write(f"{method} /odd HTTP/1.1\r\n{fields}".encode())
            assert (await read_answer(reader, method))[1] == expected
            writer.write(f"GET /list HTTP/1.1\r\n{fields}".encode())
            assert await read_answer(reader, "GET") == (200, b"u-n2 ")
        writer.close()
        upstream.release()
        assert (await held).status == 200

    on_site(work)
