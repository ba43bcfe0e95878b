"""Endless responses of upstreams are neither buffered nor read without limit."""

import asyncio
import contextlib

import pytest
from lone_gate import make_call, serve_gate
from site_in_loop import until

from cicadawheel.announcement import Announcement
from cicadawheel.gate.health import HealthReader
from cicadawheel.gate.reports import get_report
from cicadawheel.messages import (
    Body,
    RefusalReason,
    Refused,
    ReplyHead,
)
from cicadawheel.platform.headers import PLATFORM_DIALECT
from cicadawheel.settings import Address

POLLS = 10
READ_LIMIT_BYTES = 16 * 1_048_576
"""Above what sockets and buffers hold, and far below what one second can send."""
BLOCK = bytes(65_536)
OWN_FIELDS = "Attempt-Id: r\r\nServer-Seal: s\r\n"
NOT_RUN = "HTTP/1.1 503 X\r\nAttempt-Id: r\r\nNot-Executed: 1\r\n"
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"


class EndlessUpstream:
    """Sends a head, then the same piece until the connection is closed."""

    def __init__(self, head, piece):
        self.head = head.encode()
        self.piece = piece
        self.sent_bytes = 0
        self.open = 0

    async def serve(self, reader, writer):
        self.open += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            while self.sent_bytes < 4 * READ_LIMIT_BYTES:
                writer.write(self.piece)
                self.sent_bytes += len(self.piece)
                await writer.drain()
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        self.open -= 1


async def run_call(upstream, is_done):
    """Return the reply messages of a call up to the time when ``is_done`` holds."""
    messages = []
    async with serve_gate(upstream) as gate:
        call = gate.open(make_call("r", repeatable=True), messages.append)
        await until(lambda: is_done(messages))
        call.refuse(RefusalReason.CANCELLED, not_run=False)
    return messages


def has_ended(messages):
    return bool(messages) and isinstance(messages[-1], Refused)


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        pytest.param("HTTP/1.1 200 OK\r\n", b"X-Y: z\r\n" * 512, id="head"),
        pytest.param("", b"HTTP/1.1 100 Continue\r\n\r\n" * 512, id="interim heads"),
        pytest.param("", BLOCK, id="no answer"),
        pytest.param(
            "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n",
            CHUNK,
            id="chunks without a seal",
        ),
        pytest.param("HTTP/1.1 200 OK\r\nAttempt-Id: r\r\n\r\n", BLOCK, id="no seal"),
        pytest.param(
            f"{NOT_RUN}Transfer-Encoding: chunked\r\n\r\n", CHUNK, id="refusal, chunks"
        ),
        pytest.param(f"{NOT_RUN}\r\n", BLOCK, id="refusal, no length"),
        pytest.param(
            "HTTP/1.1 200 OK\r\nAttempt-Id: q\r\nServer-Seal: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            CHUNK,
            id="answer of another request",
        ),
        pytest.param(
            "HTTP/1.1 421 X\r\nAttempt-Id: r\r\n\r\n", BLOCK, id="another upstream"
        ),
        pytest.param("", b"no answer\r\n" * 6_000, id="lines"),
        pytest.param("", b"\r\n" * 30_000, id="empty lines"),
        pytest.param(
            "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
            BLOCK,
            id="other protocol",
        ),
    ],
)
def test_endless_invalid_response_ends_the_call(head, piece):
    upstream = EndlessUpstream(head, piece)
    messages = asyncio.run(run_call(upstream, has_ended))
    assert [type(message) for message in messages] == [Refused]
    assert messages[0].reason is RefusalReason.TRUNCATED
    assert not messages[0].not_run
    assert upstream.sent_bytes < READ_LIMIT_BYTES


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param("", b"1" * 65_536, id="size of a chunk"),
        pytest.param("1;x=", b"y" * 65_536, id="extension of a chunk"),
        pytest.param("0\r\n", b"X-Y: z\r\n" * 8_000, id="trailers"),
    ],
)
def test_endless_framing_breaks_the_answer_off(start, piece):
    head = f"HTTP/1.1 200 OK\r\n{OWN_FIELDS}Transfer-Encoding: chunked\r\n\r\n"
    upstream = EndlessUpstream(head + start, piece)
    messages = asyncio.run(run_call(upstream, has_ended))
    assert [type(message) for message in messages] == [ReplyHead, Refused]
    assert not messages[1].not_run
    assert upstream.sent_bytes < READ_LIMIT_BYTES


def test_endless_health_response_is_cut_off_and_requested_again():
    upstream = EndlessUpstream("HTTP/1.1 200 OK\r\nBackend-Load: 1,0,4\r\n\r\n", BLOCK)
    reports = []

    async def poll_twice():
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        reader = HealthReader(PLATFORM_DIALECT, reports.append)
        for count in (1, 2):
            reader.poll(address, "/health", 0.0)
            await until(lambda count=count: len(reports) == count)
            await until(lambda: not upstream.open)
        server.close()

    asyncio.run(poll_twice())
    assert [report.load.in_flight for report in reports] == [1, 1]
    assert upstream.sent_bytes < READ_LIMIT_BYTES


def test_endless_report_is_ignored():
    upstream = EndlessUpstream("HTTP/1.1 200 OK\r\n\r\n", BLOCK)

    async def read():
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        announcement = Announcement("u", "1", "s", "v1", port, 4, 20, host)
        assert await get_report(announcement, "/load") is None
        await until(lambda: not upstream.open)
        server.close()

    asyncio.run(read())
    assert upstream.sent_bytes < READ_LIMIT_BYTES / 2


def test_response_without_length_is_read_no_faster_than_it_is_relayed():
    upstream = EndlessUpstream(f"HTTP/1.1 200 OK\r\n{OWN_FIELDS}\r\n", BLOCK)
    seen = []

    def is_paused(messages):
        seen.append(upstream.sent_bytes)
        return bool(messages) and len(seen) > POLLS and seen[-1] == seen[-POLLS]

    messages = asyncio.run(run_call(upstream, is_paused))
    assert isinstance(messages[0], ReplyHead)
    assert messages[0].more
    assert all(isinstance(message, Body | Refused) for message in messages[1:])
    assert upstream.sent_bytes < READ_LIMIT_BYTES
