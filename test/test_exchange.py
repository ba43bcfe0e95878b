"""The buffered HTTP client and server, with malformed and truncated messages."""

import asyncio

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
