"""Requests that a caller sends before the earlier ones are answered."""

import asyncio

import pytest
from site_in_loop import until
from test_caller_limits import LIMITS, Transport, head
from test_entry_calls import Caller, total

from cicadawheel.http.caller import PIPELINE_LIMIT_BYTES, CallerConnection
from cicadawheel.http.run_order import DEFAULT_LIMITS, AheadLimits

ONCE = b"DELETE"


class Call:
    """A call that starts as soon as its request may run."""

    def __init__(self, request, once):
        self.request = request
        self.once = once
        self.started = self.lost = False
        self.written = 0
        self.body = b""
        self.begin()

    def begin(self):
        self.started = self.started or self.request.may_start(not self.once)

    def body_received(self, data):
        self.body += data

    def body_ended(self):
        self.begin()

    def caller_lost(self):
        self.lost = True

    def caller_writable(self):
        self.written += 1

    def answer(self, body):
        self.request.respond(200, (), body)


class Service:
    """Call service that keeps its calls for the test to answer."""

    def __init__(self):
        self.calls = []

    def begin_call(self, request, request_head):
        self.calls.append(Call(request, request_head.method == ONCE))
        return self.calls[-1]

    def connection_opened(self, connection):
        return True

    def connection_closed(self, connection):
        pass

    def caller_limits(self):
        return LIMITS

    def started(self):
        return [number for number, call in enumerate(self.calls) if call.started]


class CountingTransport(Transport):
    """Transport that has a write buffer and records whether reading is paused."""

    paused = False

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def is_closing(self):
        return True


@pytest.fixture
def on_ahead():
    def run(scenario, limits=DEFAULT_LIMITS):
        async def main():
            service, transport = Service(), CountingTransport()
            connection = CallerConnection(service, 16_384, limits)
            connection.connection_made(transport)
            scenario(connection, service, transport)

        asyncio.run(main())

    return run


def bodies(transport):
    return [part.partition(b"\r\n\r\n")[2] for part in transport.written.split(b"HTTP")]


def test_answers_are_sent_in_order_and_whole_behind_a_slow_one(on_ahead):
    def scenario(connection, service, transport):
        connection.data_received(head("GET") * 3)
        assert service.started() == [0, 1, 2]
        service.calls[2].answer(b"third")
        service.calls[1].request.start_response(200, ())
        service.calls[1].request.send_body(b"sec")
        assert not transport.written
        assert connection.held_bytes() == connection.unsent_bytes() > 0
        service.calls[0].answer(b"first")
        service.calls[1].request.send_body(b"ond")
        assert b"third" not in transport.written
        service.calls[1].request.end_response()
        texts = (b"first", b"sec", b"ond", b"third")
        places = [transport.written.index(text) for text in texts]
        assert places == sorted(places)
        connection.data_received(head("GET"))
        assert service.calls[3].started
        assert not connection.held_bytes()

    on_ahead(scenario)


def test_once_only_request_runs_alone_in_its_turn(on_ahead):
    def scenario(connection, service, transport):
        connection.data_received(head("GET") * 2 + head("DELETE") + head("GET") * 2)
        assert service.started() == [0, 1]
        service.calls[1].answer(b"second")
        assert service.started() == [0, 1]
        service.calls[0].answer(b"first")
        assert service.started() == [0, 1, 2]
        service.calls[2].answer(b"third")
        assert service.started() == [0, 1, 2, 3, 4]

    on_ahead(scenario)


def test_caller_that_leaves_ends_all_its_calls(on_ahead):
    def scenario(connection, service, transport):
        connection.data_received(head("GET") * 2 + head("DELETE"))
        service.calls[1].answer(b"second")
        connection.connection_lost(None)
        assert [call.lost for call in service.calls] == [True, False, True]
        assert service.started() == [0, 1]
        service.calls[0].answer(b"first")
        assert not transport.written

    on_ahead(scenario)


def test_nothing_follows_an_answer_that_ends_the_connection(on_ahead):
    def scenario(connection, service, transport):
        connection.data_received(head("GET") * 2 + head("DELETE") + head("GET"))
        service.calls[1].request.start_response(200, ())
        service.calls[1].request.send_body(b"part")
        service.calls[1].request.abort()
        assert [call.lost for call in service.calls] == [False, False, True, True]
        connection.data_received(head("GET"))
        assert not transport.closed
        service.calls[0].answer(b"first")
        assert transport.closed
        assert bodies(transport)[1:] == [b"first"]
        assert service.started() == [0, 1]

    on_ahead(scenario)


def test_malformed_request_is_refused_after_the_answers_before_it(on_ahead):
    def scenario(connection, service, transport):
        connection.data_received(head("GET") + b"no request\r\n\r\n" + head("GET"))
        connection.data_received(bytes(PIPELINE_LIMIT_BYTES))
        assert transport.paused
        assert not transport.written
        assert not service.calls[0].lost
        service.calls[0].answer(b"first")
        assert transport.written.index(b"first") < transport.written.index(b" 400 ")
        assert transport.closed
        assert len(service.calls) == 1

    on_ahead(scenario)


def test_stop_answers_what_was_read_and_closes_after_the_last(on_ahead):
    def scenario(connection, service, transport):
        connection.data_received(head("GET") * 2)
        connection.close_when_idle()
        connection.data_received(head("GET"))
        assert len(service.calls) == 2
        service.calls[0].answer(b"first")
        assert b"connection: close" not in transport.written.lower()
        assert not transport.closed
        service.calls[1].answer(b"second")
        assert transport.written.lower().count(b"connection: close") == 1
        assert transport.closed
        assert len(service.calls) == 2

    on_ahead(scenario)


def test_requests_are_read_up_to_their_limit(on_ahead):
    def scenario(connection, service, transport):
        connection.data_received(head("GET") * 4)
        assert len(service.calls) == 2
        connection.data_received(bytes(PIPELINE_LIMIT_BYTES))
        assert transport.paused
        service.calls[0].answer(b"")
        assert len(service.calls) == 3

    on_ahead(scenario, AheadLimits(requests=2))


def test_answer_that_does_not_fit_stops_until_its_turn(on_ahead):
    def scenario(connection, service, transport):
        connection.data_received(head("GET") * 2)
        request = service.calls[1].request
        request.start_response(200, ())
        assert request.writable
        request.send_body(bytes(1_000))
        assert not request.writable
        connection.data_received(head("GET"))
        assert len(service.calls) == 2
        service.calls[0].answer(b"")
        assert request.writable
        assert service.calls[1].written == 1
        assert len(service.calls) == 3

    on_ahead(scenario, AheadLimits(size_bytes=1_000))


def test_body_behind_is_read_within_the_limits_before_its_call_starts(on_ahead):
    def scenario(connection, service, transport):
        fields = {"Content_Length": 90, "Expect": "100-continue"}
        connection.data_received(head("GET") + head("PUT", **fields))
        assert not transport.written
        connection.data_received(bytes(60))
        assert transport.paused
        service.calls[0].answer(b"")
        assert not transport.paused
        assert service.started() == [0, 1]
        connection.data_received(bytes(30) + head("GET"))
        assert len(service.calls[1].body) == 90
        assert service.started() == [0, 1, 2]

    on_ahead(scenario, AheadLimits(size_bytes=60))


@pytest.mark.parametrize(
    "first", [b"HTTP/1.0\r\n", b"HTTP/1.1\r\nConnection: close\r\n"]
)
def test_request_behind_one_that_closes_is_not_read(on_ahead, first):
    def scenario(connection, service, transport):
        connection.data_received(b"GET /x " + first + b"Host: h\r\n\r\n" + head("GET"))
        service.calls[0].answer(b"first")
        assert len(service.calls) == 1
        assert bodies(transport)[1:] == [b"first"]
        assert transport.closed

    on_ahead(scenario)


def test_node_serves_requests_ahead_over_sockets(on_site):
    async def work(site):
        async with Caller(site.nodes[0]) as caller:
            caller.send("GET", "/hold")
            caller.send("HEAD", "/list")
            caller.send("GET", "/big/4000000")
            await until(lambda: total(site, "runs") == 3)
            (connection,) = site.nodes[0].entry._connections
            await until(lambda: connection.held_bytes() >= DEFAULT_LIMITS.size_bytes)
            caller.send("POST", "/book", b"x", "Idempotency-Key: k")
            caller.send("GET", "/list/last")
            for upstream in site.upstreams:
                upstream.release()
            assert (await caller.answer())[0] == 200
            assert "200" in await caller.head()
            assert await caller.answer() == (200, bytes(4_000_000))
            assert (await caller.answer())[1].endswith(b"x")
            assert (await caller.answer())[0] == 200
        runs = [target for upstream in site.upstreams for target in upstream.runs]
        assert runs.count("/book") == 1

    on_site(work)


def test_node_ends_the_calls_of_a_caller_that_leaves(on_site):
    async def work(site):
        async with Caller(site.nodes[0]) as caller:
            caller.send("GET", "/hold/1")
            caller.send("GET", "/hold/2")
            caller.send("POST", "/book", b"x", "Idempotency-Key: k")
            await until(lambda: total(site, "held") == 2)
        await until(lambda: not site.nodes[0].entry.calls)
        held = [one for upstream in site.upstreams for one, *_ in upstream.held]
        await until(lambda: all(transport.is_closing() for transport in held))
        assert total(site, "runs") == 2

    on_site(work)
