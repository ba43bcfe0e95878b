"""Bodies in very small chunks are read in turns, and none is refused for them."""

import asyncio
import contextlib

import pytest

from cicadawheel.configuration import CallerLimits
from cicadawheel.holdings import Holdings
from cicadawheel.http.caller import CallerConnection
from cicadawheel.http.exchange import HttpAnswer, serve_http
from cicadawheel.http.pieces import PieceTurns
from cicadawheel.settings import Address, HoldingSettings
from cicadawheel.timer import SystemClock

BODY_BYTES = 24_000
UPLOADS = 8
TIMEOUT_S = 30.0
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class Upload:
    """A call that is answered with the size of its body."""

    def __init__(self, request, service):
        self.request = request
        self.service = service
        self.size_bytes = 0

    def body_received(self, data):
        self.size_bytes += len(data)

    def body_ended(self):
        self.request.respond(200, (), b"%d" % self.size_bytes)

    def caller_lost(self):
        self.service.lost += 1

    def caller_writable(self):
        pass


class Service:
    """Accepts all calls of callers, without limits."""

    def __init__(self):
        self.lost = 0

    def begin_call(self, request, head):
        if head.target == b"/none":
            request.respond(404, (), b"%d" % BODY_BYTES)
            return None
        return Upload(request, self)

    def connection_opened(self, connection):
        return True

    def connection_closed(self, connection):
        pass

    def caller_limits(self):
        return CallerLimits()


class Ports:
    """A port for callers and one for operators, which share one account."""

    async def __aenter__(self):
        account = Holdings(HoldingSettings(), SystemClock())
        self.service = Service()
        loop = asyncio.get_running_loop()
        entry = await loop.create_server(
            lambda: CallerConnection(self.service, 16_384, holdings=account),
            "127.0.0.1",
            0,
        )
        orders = await serve_http(Address("127.0.0.1", 0), self._echo, holdings=account)
        self._servers = (entry, orders)
        self.at = {
            "entry": entry.sockets[0].getsockname(),
            "orders": orders.sockets[0].getsockname(),
        }
        return self

    async def __aexit__(self, *error):
        for server in self._servers:
            server.close()

    async def _echo(self, request):
        return HttpAnswer(200, b"%d" % len(request.body))

    async def upload(self, port, chunk_bytes, size_bytes=BODY_BYTES):
        """Return the status and the body of the answer to one upload."""
        reader, writer = await asyncio.open_connection(*self.at[port])
        chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
        writer.write(HEAD + chunk * (size_bytes // chunk_bytes) + b"0\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        body = await reader.readexactly(len(b"%d" % size_bytes))
        writer.close()
        return head.split()[1], body

    async def send_on(self, port):
        """Send a body in chunks of one byte that never ends."""
        _, writer = await asyncio.open_connection(*self.at[port])
        writer.write(HEAD)
        with contextlib.suppress(OSError):
            while True:
                writer.write(b"1\r\nx\r\n" * 1_000)
                await writer.drain()


@pytest.fixture
def on_ports():
    def run(work):
        async def main():
            async with asyncio.timeout(TIMEOUT_S), Ports() as ports:
                await work(ports)

        asyncio.run(main())

    return run


# Guards against 413 for uploads and documents far below the limit, as they are sent by
# programs that write one field at a time.
@pytest.mark.parametrize("chunk_bytes", [1, 10])
@pytest.mark.parametrize("port", ["entry", "orders"])
def test_bodies_in_small_chunks_are_served(on_ports, port, chunk_bytes):
    async def work(ports):
        uploads = (ports.upload(port, chunk_bytes) for _ in range(UPLOADS))
        answers = await asyncio.gather(*uploads)
        assert answers == [(b"200", b"%d" % BODY_BYTES)] * UPLOADS

    on_ports(work)


@pytest.mark.parametrize("port", ["entry", "orders"])
def test_endless_bodies_in_tiny_chunks_hold_up_no_other(on_ports, port):
    async def work(ports):
        crowd = [asyncio.ensure_future(ports.send_on(port)) for _ in range(50)]
        await asyncio.sleep(0.5)
        try:
            for chunk_bytes in (10, 1_000):
                assert (await ports.upload(port, chunk_bytes))[0] == b"200"
        finally:
            for client in crowd:
                client.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)

    on_ports(work)


# Guards against connections that are reset before their client has read a refusal.
def test_answer_to_the_head_reaches_a_client_that_sends_small_chunks(on_ports):
    async def work(ports):
        reader, writer = await asyncio.open_connection(*ports.at["entry"])
        writer.write(HEAD.replace(b"/x", b"/none"))
        for _ in range(100):
            writer.write(b"a\r\nxxxxxxxxxx\r\n" * 1_000)
            await writer.drain()
        assert (await reader.read()).endswith(b"%d" % BODY_BYTES)
        writer.close()

    on_ports(work)


def test_client_that_leaves_while_its_body_waits_ends_its_call(on_ports):
    async def work(ports):
        crowd = [asyncio.ensure_future(ports.send_on("entry")) for _ in range(20)]
        await asyncio.sleep(0.5)
        _, writer = await asyncio.open_connection(*ports.at["entry"])
        writer.write(HEAD + b"1\r\nx\r\n" * 10_000)
        await asyncio.sleep(0.1)
        writer.transport.abort()
        while not ports.service.lost:
            await asyncio.sleep(0.01)
        for client in crowd:
            client.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)

    on_ports(work)


def test_body_with_the_fewest_chunks_is_next():
    async def run():
        turns, begun = PieceTurns(), []
        for name, pieces in (("long", 9_000), ("first", 1_200), ("second", 1_200)):
            turns.wait(pieces, lambda name=name: begun.append(name))
        turns.wait(1_000, lambda: begun.append("left")).cancel()
        while len(begun) < 3:
            await asyncio.sleep(0.001)
        return begun

    assert asyncio.run(run()) == ["first", "second", "long"]
