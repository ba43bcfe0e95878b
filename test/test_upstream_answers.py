"""Answers of upstreams that are late, doubled, unframed or not an upstream's own."""

import asyncio

import pytest

from cicadawheel.gate.health import read_health
from cicadawheel.http.fields import ResponseHead, find_field
from cicadawheel.http.upstream import ExchangeEnd, UpstreamConnection
from cicadawheel.platform.headers import PLATFORM_DIALECT

ID = b"attempt-id"


class Transport(asyncio.Transport):
    """Keeps what is written to it."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.aborted = False

    def get_extra_info(self, name, default=None):
        return NoSocket() if name == "socket" else default

    def write(self, data):
        self.written += data

    def abort(self):
        self.aborted = True

    close = abort

    def is_closing(self):
        return self.aborted

    def resume_reading(self):
        pass


class NoSocket:
    """Takes options."""

    def setsockopt(self, *options):
        pass


class Owner:
    """Expects the answer to one request."""

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
            transport = Transport()
            made.connection_made(transport)
            work(made, transport)

        asyncio.run(main())

    return run


def send(connection, request, method="GET", body=b"", more=False):
    connection.owner = owner = Owner(request.encode())
    fields = [(b"host", b"h"), (ID, request.encode())]
    if body or more:
        fields.append((b"content-length", b"%d" % (len(body) or 10)))
    connection.send_request(method, "/x", fields, body, more)
    return owner


def test_answer_of_an_earlier_request_is_passed_over(in_loop):
    def work(connection, transport):
        owner = send(connection, "b")
        connection.data_received(answer("a", "not yours") + answer("b", "yours"))
        assert (owner.ended, owner.body) == ("whole", b"yours")
        assert transport.aborted

    in_loop(work)


def test_late_answer_in_pieces_is_passed_over(in_loop):
    def work(connection, transport):
        owner = send(connection, "b", "POST", b"0123456789")
        data = answer("a", "late") + answer("b", "yours")
        for i in range(len(data)):
            connection.data_received(data[i : i + 1])
        assert (owner.ended, owner.body) == ("whole", b"yours")

    in_loop(work)


def test_surplus_between_requests_ends_the_connection(in_loop):
    def work(connection, transport):
        owner = send(connection, "a")
        connection.data_received(answer("a", "yours"))
        assert owner.ended == "whole"
        connection.data_received(answer("a", "again"))
        assert transport.aborted

    in_loop(work)


def test_surplus_beside_an_answer_ends_the_connection(in_loop):
    def work(connection, transport):
        owner = send(connection, "a")
        connection.data_received(answer("a", "yours") + answer("a", "again"))
        assert (owner.ended, owner.body) == ("whole", b"yours")
        assert transport.aborted

    in_loop(work)


def test_foreign_answer_while_the_body_is_sent_is_malformed(in_loop):
    def work(connection, transport):
        owner = send(connection, "b", "POST", more=True)
        connection.data_received(answer("a", "late"))
        assert owner.ended is ExchangeEnd.MALFORMED

    in_loop(work)


def test_bytes_that_are_no_answer_are_malformed(in_loop):
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
def test_unframed_answer_is_whole_only_if_its_connection_ends_well(
    in_loop, error, ended
):
    def work(connection, transport):
        owner = send(connection, "a")
        connection.data_received(b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\nsome")
        connection.connection_lost(error)
        assert owner.ended == ended

    in_loop(work)


def test_idle_connection_is_not_used_near_the_end_of_its_time(in_loop):
    def work(connection, transport):
        send(connection, "a")
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 0\r\n"
        connection.data_received(head + b"Keep-Alive: timeout=10\r\n\r\n")
        assert connection.is_reusable()
        connection.idle_since_s -= 9.0
        assert not connection.is_reusable()

    in_loop(work)


def test_health_answer_is_read():
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
def test_health_answer_that_says_nothing_changes_nothing(headers):
    report = read_health(ResponseHead(503, headers), PLATFORM_DIALECT)
    assert (report.healthy, report.load, report.cold_ms) == (False, None, None)
