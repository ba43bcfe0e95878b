"""The buffered HTTP client and server, with malformed and truncated messages."""

import asyncio
import contextlib
import os

import pytest

from cicadawheel.errors import ConnectionLostError, ProtocolError
from cicadawheel.http.exchange import HttpAnswer, fetch, serve_http, text_answer
from cicadawheel.http.fields import end_to_end_headers
from cicadawheel.messages import Header
from cicadawheel.settings import Address


async def echo(request):
    if request.path == "/fail":
        raise RuntimeError("handler failed")
    return HttpAnswer(200, request.body)


async def start_echo():
    server = await serve_http(Address("127.0.0.1", 0), echo)
    return server, Address("127.0.0.1", server.sockets[0].getsockname()[1])


def test_response_and_handler_error():
    async def run():
        server, address = await start_echo()
        answer = await fetch(address, "POST", "/x", b"hello")
        failed = await fetch(address, "GET", "/fail")
        server.close()
        return answer, failed

    answer, failed = asyncio.run(run())
    assert (answer.status, answer.body) == (200, b"hello")
    assert failed.status == 500


def test_malformed_request_gets_400():
    async def run():
        server, address = await start_echo()
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"nonsense\r\n\r\n")
        data = await reader.read()
        writer.close()
        server.close()
        return data

    assert asyncio.run(run()).startswith(b"HTTP/1.1 400")


def test_connection_error_names_the_peer():
    async def run():
        server, address = await start_echo()
        server.close()
        await server.wait_closed()
        with pytest.raises(ConnectionLostError) as caught:
            await fetch(address, "GET", "/")
        assert caught.value.peer == str(address)

    asyncio.run(run())


@pytest.mark.parametrize(
    "sent",
    [b"", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"],
)
def test_truncated_response_is_a_connection_lost_error(sent):
    async def close_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        writer.close()

    async def run():
        server = await asyncio.start_server(close_early, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        with pytest.raises(ConnectionLostError, match="closed before") as caught:
            await fetch(address, "GET", "/")
        assert caught.value.peer == str(address)
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "sent", [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"]
)
def test_malformed_response_is_a_protocol_error(sent):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        writer.close()

    async def run():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        with pytest.raises(ProtocolError):
            await fetch(address, "GET", "/")
        server.close()

    asyncio.run(run())


def test_text_answer_has_plain_text_content_type():
    assert text_answer("x").content_type.startswith("text/plain")


def test_fields_that_any_connection_field_lists_are_not_forwarded():
    headers = [
        (b"connection", b"keep-alive"),
        (b"x-first", b"1"),
        (b"connection", b"X-First, x-second"),
        (b"x-second", b"2"),
        (b"x-third", b"3"),
    ]
    assert end_to_end_headers(headers) == (Header(b"x-third", b"3"),)


HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"


@pytest.fixture
def on_held_server():
    """Return a function that runs work with a server that holds its answers."""

    def run(work):
        async def main():
            received, released = asyncio.Event(), asyncio.Event()

            async def hold(request):
                received.set()
                await released.wait()
                return HttpAnswer(200, request.body)

            server = await serve_http(Address("127.0.0.1", 0), hold)
            address = server.sockets[0].getsockname()
            try:
                await work(server, address, received, released)
            finally:
                server.close()

        asyncio.run(main())

    return run


def test_stop_sends_the_answer_of_an_exchange_in_progress(on_held_server):
    """The order had been accepted, and its sender got no answer."""

    async def work(server, address, received, released):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(HEAD + b"order")
        await received.wait()
        finishing = asyncio.ensure_future(server.finish(10_000.0))
        await until_refused(address)
        assert not finishing.done()
        released.set()
        data = await reader.read()
        assert data.startswith(b"HTTP/1.1 200")
        assert data.endswith(b"order")
        assert b"connection: close" in data.lower()
        assert await finishing
        writer.close()

    on_held_server(work)


async def until_refused(address):
    async with asyncio.timeout(10.0):
        with contextlib.suppress(ConnectionError):
            while True:
                _, writer = await asyncio.open_connection(*address)
                writer.close()


def test_stop_reads_a_request_that_has_begun(on_held_server):
    """Its sender got no answer."""

    async def work(server, address, received, released):
        released.set()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(HEAD)
        await until_begun(server)
        finishing = asyncio.ensure_future(server.finish(10_000.0))
        writer.write(b"order")
        assert (await reader.read()).endswith(b"order")
        assert await finishing
        writer.close()

    on_held_server(work)


async def until_begun(server):
    async with asyncio.timeout(10.0):
        while not any(exchanges.in_progress for exchanges in server.connections):
            await asyncio.sleep(0)


def test_stop_closes_idle_connections_at_once(on_held_server):
    async def work(server, address, received, released):
        released.set()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(HEAD + b"order")
        await reader.readuntil(b"order")
        async with asyncio.timeout(10.0):
            assert await server.finish(60_000.0)
            assert not await reader.read()
        writer.close()

    on_held_server(work)


def test_stop_does_not_wait_for_an_exchange_beyond_its_limit(on_held_server):
    async def work(server, address, received, released):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(HEAD + b"order")
        await received.wait()
        assert not await server.finish(50.0)
        writer.close()

    on_held_server(work)


def test_stop_sends_all_of_a_large_answer(on_held_server):
    """The end of a dump was cut."""

    async def work(server, address, received, released):
        body = b"x" * 4_000_000
        reader, writer = await asyncio.open_connection(*address)
        writer.write(HEAD.replace(b"5", b"%d" % len(body)) + body)
        await received.wait()
        released.set()
        await reader.readuntil(b"\r\n\r\n")
        finishing = asyncio.ensure_future(server.finish(10_000.0))
        assert await reader.readexactly(len(body)) == body
        assert await finishing
        writer.close()

    on_held_server(work)


def test_stop_answers_a_request_that_has_arrived(on_held_server):
    """The event loop had not read it yet, and its connection was reset."""

    async def work(server, address, received, released):
        released.set()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(HEAD + b"first")
        await reader.readuntil(b"first")
        sock = writer.get_extra_info("socket")
        # Without a turn of the event loop in between.
        assert os.write(sock.fileno(), HEAD + b"order") == len(HEAD + b"order")
        assert await server.finish(10_000.0)
        assert (await reader.read()).endswith(b"order")
        writer.close()

    on_held_server(work)
