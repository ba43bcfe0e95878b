"""Bytes of an upstream that are no answer, or only a part of one, aren't passed on."""

import asyncio
import contextlib
import socket
import struct

import h11
import pytest
from crowds import CrowdSite
from site_in_loop import UpstreamConnection

UPLOAD_BYTES = 3_000_000
PIECE_BYTES = 20_000
OWN_FIELDS = "Attempt-Id: c\r\nServer-Seal: s\r\nInstance-Id: i-1\r\n"
HEALTHY = (
    f"HTTP/1.1 200 OK\r\n{OWN_FIELDS}Backend-Load: 0,0,4\r\nContent-Length: 0\r\n\r\n"
).encode()
PART = f"HTTP/1.1 200 OK\r\n{OWN_FIELDS}\r\npart".encode()
STATUS_LINES = ("000", "099", "1000", "2OO", "", "101")
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def reset(transport):
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    transport.abort()


def end(transport):
    transport.write_eof()


def end_and_reset(transport):
    transport.write_eof()
    asyncio.get_running_loop().call_soon(transport.abort)


ENDS = (reset, end, end_and_reset)


class RawUpstream:
    """Handles what a connection receives: the beginning of a request, then the rest."""

    def __init__(self, answer, finish=None):
        self.answer = answer
        self.finish = finish

    def received(self, transport, data):
        """Return whether the data belonged to a request of the test."""
        if b" /route/mixed" in data:
            transport.write(self.answer)
            return True
        if self.finish is not None and data.startswith(b"xx"):
            self.finish(transport)
            self.finish = None
            return True
        return False

    async def serve(self, reader, writer):
        """Serve a connection of the platform's node."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if not self.received(writer.transport, data) and b" /" in data:
                    writer.write(HEALTHY)
        writer.close()


@pytest.fixture(params=["own interface", "platform"])
def on_node(request, on_site, monkeypatch, tmp_path):
    """Return a function that runs work on a node's address, with an upstream."""

    def run(upstream, work):
        async def on_platform():
            async with CrowdSite(tmp_path, serve=upstream.serve) as site:
                await work(site.at["route"])

        async def on_own(site):
            await work(site.nodes[0].settings.node.caller_address)

        if request.param == "platform":
            asyncio.run(on_platform())
            return
        receive = UpstreamConnection.data_received

        def received(connection, data):
            if not upstream.received(connection.transport, data):
                receive(connection, data)

        monkeypatch.setattr(UpstreamConnection, "data_received", received)
        on_site(on_own, node_count=1)

    return run


async def exchange(address, method, size_bytes=0):
    """Return the status of the answer, and whether it is complete."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    http = h11.Connection(h11.CLIENT)
    fields = {"Host": address.host, "Attempt-Id": "c", "Cicadawheel-Service": "shop"}
    fields |= {"Idempotency-Key": "k", "Content-Length": str(size_bytes)}
    request = h11.Request(
        method=method, target="/route/mixed", headers=list(fields.items())
    )

    async def send():
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            writer.write(http.send(request))
            for _ in range(size_bytes // PIECE_BYTES):
                writer.write(b"x" * PIECE_BYTES)
                await writer.drain()

    sending = asyncio.ensure_future(send())
    status = None
    with contextlib.suppress(OSError, h11.RemoteProtocolError):
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif not isinstance(event, h11.Data):
                break
    sending.cancel()
    writer.transport.abort()
    return status, isinstance(event, h11.EndOfMessage)


@pytest.mark.parametrize("finish", ENDS, ids=lambda end: end.__name__)
def test_answer_that_ends_while_the_request_is_sent_is_no_success(on_node, finish):
    # The caller got the part that had come as a complete answer.
    async def work(address):
        status, complete = await exchange(address, "PUT", UPLOAD_BYTES)
        assert not (complete and status == 200)

    on_node(RawUpstream(PART, finish), work)


@pytest.mark.parametrize("status", STATUS_LINES)
def test_answer_without_a_valid_status_is_no_answer(on_node, status):
    lines = f"HTTP/1.1 {status} X\r\n{OWN_FIELDS}Content-Length: 4\r\n\r\nbody"

    async def work(address):
        got, complete = await exchange(address, "GET")
        # A refusal that promises that nothing has run would not be true.
        assert got in (500, 502, 504)
        assert complete

    on_node(RawUpstream(lines.encode()), work)
