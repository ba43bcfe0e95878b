"""Late, duplicate, unframed and foreign responses on upstream connections."""

import asyncio

import pytest

from cicadawheel.gate.health import read_health
from cicadawheel.http.fields import ResponseHead, find_field
from cicadawheel.http.upstream import (
    EVENTS_PER_TURN,
    ExchangeEnd,
    UpstreamConnection,
)
from cicadawheel.platform.headers import PLATFORM_DIALECT

ID = b"attempt-id"


class RecordingTransport(asyncio.Transport):
    """A transport that records the written data."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.aborted = False
        self.reading = True

    def get_extra_info(self, name, default=None):
        return FakeSocket() if name == "socket" else default

    def write(self, data):
        self.written += data

    def abort(self):
        self.aborted = True

    close = abort

    def is_closing(self):
        return self.aborted

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


class FakeSocket:
    """A socket that ignores options."""

    def setsockopt(self, *options):
        pass


class RecordingOwner:
    """An exchange that expects the response to one request."""

    def __init__(self, request):
        self.request = request
        self.status = None
        self.body = b""
        self.ended = None

    def matches_request(self, response):
        return find_field(response.headers, ID) in (None, self.request)

    def head_received(self, response):
        self.status = response.status_code

    def body_received(self, data):
        self.body += data

    def body_ended(self):
        self.ended = "whole"

    def exchange_failed(self, end):
        self.ended = end


def answer(request, body):
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


@pytest.fixture
def in_loop():
    def run(work):
        async def main():
            made = UpstreamConnection(lambda _: None)
            transport = RecordingTransport()
            made.connection_made(transport)
            work(made, transport)

        asyncio.run(main())

    return run


def send(connection, request, method="GET", body=b"", more=False):
    connection.owner = owner = RecordingOwner(request.encode())
    fields = [(b"host", b"h"), (ID, request.encode())]
    if body or more:
        fields.append((b"content-length", b"%d" % (len(body) or 10)))
    connection.send_request(method, "/x", fields, body, more)
    return owner


def test_response_to_an_earlier_request_is_skipped(in_loop):
    def work(connection, transport):
        owner = send(connection, "b")
        connection.data_received(answer("a", "not yours") + answer("b", "yours"))
        assert (owner.ended, owner.body) == ("whole", b"yours")
        assert transport.aborted

    in_loop(work)


def test_late_response_in_pieces_is_skipped(in_loop):
    def work(connection, transport):
        owner = send(connection, "b", "POST", b"0123456789")
        data = answer("a", "late") + answer("b", "yours")
        for i in range(len(data)):
            connection.data_received(data[i : i + 1])
        assert (owner.ended, owner.body) == ("whole", b"yours")

    in_loop(work)


def test_extra_response_between_requests_closes_the_connection(in_loop):
    def work(connection, transport):
        owner = send(connection, "a")
        connection.data_received(answer("a", "yours"))
        assert owner.ended == "whole"
        connection.data_received(answer("a", "again"))
        assert transport.aborted

    in_loop(work)


def test_extra_response_after_the_expected_one_closes_the_connection(in_loop):
    def work(connection, transport):
        owner = send(connection, "a")
        connection.data_received(answer("a", "yours") + answer("a", "again"))
        assert (owner.ended, owner.body) == ("whole", b"yours")
        assert transport.aborted

    in_loop(work)


def test_foreign_response_while_the_body_is_sent_is_malformed(in_loop):
    def work(connection, transport):
        owner = send(connection, "b", "POST", more=True)
        connection.data_received(answer("a", "late"))
        assert owner.ended is ExchangeEnd.MALFORMED

    in_loop(work)


def test_bytes_that_are_not_http_are_malformed(in_loop):
    def work(connection, transport):
        owner = send(connection, "a")
        connection.data_received(b"\x00\x01 rubbish\r\n\r\n")
        assert owner.ended is ExchangeEnd.MALFORMED
        assert transport.aborted

    in_loop(work)


@pytest.mark.parametrize(
    ("error", "ended"),
    [(None, "whole"), (ConnectionResetError(), ExchangeEnd.TRUNCATED)],
)
def test_unframed_response_is_complete_only_if_the_connection_closes_cleanly(
    in_loop, error, ended
):
    def work(connection, transport):
        owner = send(connection, "a")
        connection.data_received(b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\nsome")
        connection.connection_lost(error)
        assert owner.ended == ended

    in_loop(work)


def test_idle_connection_is_not_reused_near_its_keep_alive_timeout(in_loop):
    def work(connection, transport):
        send(connection, "a")
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 0\r\n"
        connection.data_received(head + b"Keep-Alive: timeout=10\r\n\r\n")
        assert connection.is_reusable()
        connection.idle_since_s -= 9.0
        assert not connection.is_reusable()

    in_loop(work)


def test_health_response_is_parsed():
    headers = [
        (b"instance-id", b"i-1"),
        (b"backend-load", b"3,1,8,700"),
        (b"cold-ms", b"1200"),
    ]
    report = read_health(ResponseHead(200, headers), PLATFORM_DIALECT)
    assert (report.upstream, report.healthy, report.cold_ms) == ("i-1", True, 1_200.0)
    assert (report.load.queued, report.load.slowness) == (1, 7.0)


@pytest.mark.parametrize(
    "headers", [[], [(b"cold-ms", b"soon"), (b"backend-load", b"many")]]
)
def test_health_response_without_valid_fields_gives_no_values(headers):
    report = read_health(ResponseHead(503, headers), PLATFORM_DIALECT)
    assert (report.healthy, report.load, report.cold_ms) == (False, None, None)


@pytest.mark.parametrize("size", [1, EVENTS_PER_TURN - 1, EVENTS_PER_TURN, 5_000])
def test_tiny_chunks_leave_other_work_its_turn(size):
    # One read of tiny chunks held the loop for seconds: every other call was late.
    async def run():
        made = UpstreamConnection(lambda _: None)
        transport = RecordingTransport()
        made.connection_made(transport)
        owner = send(made, "r")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        made.data_received(head + b"1\r\nx\r\n" * size + b"0\r\n\r\n")
        seen = 0
        while owner.ended is None:
            assert len(owner.body) - seen <= EVENTS_PER_TURN
            assert not transport.reading
            seen = len(owner.body)
            await asyncio.sleep(0)
        return owner, transport

    owner, transport = asyncio.run(run())
    assert (owner.ended, len(owner.body)) == ("whole", size)
    assert transport.reading


def test_owner_that_pauses_is_read_no_faster_between_turns():
    async def run():
        made = UpstreamConnection(lambda _: None)
        transport = RecordingTransport()
        made.connection_made(transport)
        send(made, "r")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        made.data_received(head + b"1\r\nx\r\n" * (EVENTS_PER_TURN + 50))
        made.pause()
        for _ in range(3):
            await asyncio.sleep(0)
            assert not transport.reading
        made.resume()
        return transport.reading

    assert asyncio.run(run())
