"""Uploads of callers that leave while nothing more of them is read."""

import asyncio
import socket
import struct

import pytest
from test_caller_limits import Service, head

from cicadawheel.configuration import CallerLimits
from cicadawheel.http.caller import LEFT_CHECK_INTERVAL_MS, CallerConnection
from cicadawheel.timer import MS_PER_S

BODY_BYTES = 8_000_000
KEPT_BYTES = 20_000
NOTICED_S = 0.5


class HoldingService(Service):
    """A service without a slot: it takes no more than the beginning of a body."""

    def __init__(self):
        super().__init__()
        self.request = None
        self.connections = set()

    def connection_opened(self, connection):
        self.connections.add(connection)
        return True

    def connection_closed(self, connection):
        self.connections.discard(connection)

    def caller_limits(self):
        return CallerLimits()

    def begin_call(self, request, head):
        self.request = request
        return self

    def body_received(self, data):
        self.request.pause_body()

    async def check(self):
        while True:
            await asyncio.sleep(LEFT_CHECK_INTERVAL_MS / MS_PER_S)
            for connection in list(self.connections):
                connection.end_if_left()


def leave(writer, resets):
    """Close the connection, or reset it."""
    if resets:
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
    else:
        writer.close()


# Guards against uploads that are passed on after their client has left.
@pytest.mark.parametrize("resets", [True, False])
@pytest.mark.parametrize("stays", [True, False])
def test_caller_that_leaves_a_paused_upload_is_noticed(resets, stays):
    async def run():
        service = HoldingService()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(service, 16_384), "127.0.0.1", 0
        )
        checking = asyncio.ensure_future(service.check())
        address = server.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(*address)
        writer.write(head(Content_Length=BODY_BYTES) + bytes(1_000))
        await asyncio.sleep(0.1)
        assert service.request is not None
        # The end comes behind bytes that the kernel keeps.
        writer.write(bytes(KEPT_BYTES))
        await writer.drain()
        await asyncio.sleep(0.1)
        if not stays:
            leave(writer, resets)
        await asyncio.sleep(NOTICED_S)
        lost = service.lost
        checking.cancel()
        writer.transport.abort()
        server.close()
        return lost

    assert asyncio.run(run()) == (0 if stays else 1)
