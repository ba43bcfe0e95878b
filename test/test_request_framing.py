"""Requests with unusual framing run with the body that was sent, and harm no others."""

import asyncio

import pytest
from site_in_loop import Site, hold_call

CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked"
SERVICE = "Cicadawheel-Service: shop"
HEAD = ("POST /list HTTP/1.1", "Host: shop", SERVICE)


@pytest.fixture
def ask(tmp_path):
    """Return a function that sends a raw request while another call is in progress.

    It returns the status and the body of the answer, the bodies that have run, and the
    status of the other call.
    """

    async def exchange(site, data):
        entry = site.nodes[0].settings.node.caller_address
        held = await hold_call(site, "key")
        reader, writer = await asyncio.open_connection(entry.host, entry.port)
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(), 3.0)
        writer.close()
        for upstream in site.upstreams:
            upstream.release()
        ran = [
            body
            for upstream in site.upstreams
            for target, body in zip(upstream.runs, upstream.bodies, strict=True)
            if target == "/list"
        ]
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), body, ran, (await held).status

    def run(lines, body):
        async def main():
            site = Site(tmp_path, 2, 8)
            await site.start()
            # Without its own upstream, the entry sends every call to the other node.
            await site.leave(site.upstreams[0])
            data = "\r\n".join((*lines, "Connection: close", "", "")).encode() + body
            try:
                return await exchange(site, data)
            finally:
                await site.close()

        return asyncio.run(main())

    return run


@pytest.mark.parametrize(
    ("fields", "body"),
    [
        pytest.param((CHUNKED,), CHUNKS, id="chunks"),
        pytest.param(
            (CHUNKED,), b"2\r\nhe\r\n3\r\nllo\r\n0\r\nX-Sum: 1\r\n\r\n", id="trailers"
        ),
        pytest.param((CHUNKED, "Content-Length: 0"), CHUNKS, id="length too small"),
        pytest.param((CHUNKED, "Content-Length: 50"), CHUNKS, id="length too large"),
        pytest.param(
            ("Content-Length: 5", "Connection: content-length"),
            b"hello",
            id="length listed as hop-by-hop",
        ),
        pytest.param(
            ("Content-Length: 5", "Connection: host"),
            b"hello",
            id="host listed as hop-by-hop",
        ),
    ],
)
def test_body_runs_as_sent_and_other_calls_go_on(ask, fields, body):
    # A short body in chunks was forwarded without its length: the error closed the
    # stream between the nodes, and with it all calls on it.
    status, answer, ran, other = ask((*HEAD, *fields), body)
    assert (status, answer.rpartition(b" ")[2], ran) == (200, b"hello", [b"hello"])
    assert other == 200


@pytest.mark.parametrize(
    ("lines", "statuses"),
    [
        pytest.param(("GET /list HTTP/1.0", SERVICE), {200, 400}, id="no host"),
        pytest.param(
            ("CONNECT /list HTTP/1.1", "Host: shop", SERVICE), {501}, id="connect"
        ),
    ],
)
def test_request_that_cannot_be_forwarded_ends_no_other_call(ask, lines, statuses):
    # An error in the request's head raised in the gate closed the stream to the node.
    status, _, ran, other = ask(lines, b"")
    assert status in statuses
    assert bool(ran) == (status == 200)
    assert other == 200
