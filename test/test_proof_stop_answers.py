"""Answers that callers read slowly are delivered before a stopped process ends."""

import asyncio
import socket

import h11
import msgspec
import pytest
from processes import READ, make_topology

from bench.caller import request_of
from bench.calls import CallKind

RECEIVE_BUFFER_BYTES = 65_536
READ_BYTES = 262_144
# The end of some of these fits into the buffers of the node, but not of the kernel.
ANSWERS_BYTES = range(3_500_000, 6_000_000, 100_000)
DOWNLOAD = CallKind("download", "materials", path="/materials/script")
DOWNLOADS = [
    msgspec.structs.replace(DOWNLOAD, answer_bytes=size_bytes, deadline_ms=60_000)
    for size_bytes in ANSWERS_BYTES
]


@pytest.fixture(scope="module")
def site(start_site):
    return start_site(make_topology(booking=1, materials=4, replicas=1))


class SlowReader:
    """A caller that reads its answer only when told to."""

    def __init__(self, place, call):
        self.place = place
        self.call = call
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.setblocking(False)
        self.data = bytearray()

    async def send(self):
        address = self.place.caller
        await self.loop.sock_connect(self.socket, (address.host, address.port))
        http = h11.Connection(h11.CLIENT)
        request = request_of(self.call, f"{self.call.token}.0", str(address))
        data = http.send(request) + http.send(h11.EndOfMessage())
        await self.loop.sock_sendall(self.socket, data)

    async def read(self):
        """Read some bytes, and return whether there were any."""
        data = await self.loop.sock_recv(self.socket, READ_BYTES)
        self.data += data
        return bool(data)

    def body_bytes(self):
        return len(self.data.partition(b"\r\n\r\n")[2])

    async def read_all(self):
        """Read to the end of the answer or of the connection."""
        while self.body_bytes() < self.call.kind.answer_bytes and await self.read():
            pass
        return self.body_bytes()


def test_node_stop_delivers_the_ends_of_answers_to_slow_readers(runner, site):
    # What the node had not sent yet was dropped when its process ended.
    async def work():
        place = site.nodes[-1]
        await site.wait_warm(READ, DOWNLOAD)
        readers = [SlowReader(place, site.make_call(kind)) for kind in DOWNLOADS]
        for reader in readers:
            await reader.send()
        await site.wait_running([reader.call for reader in readers])
        place.node.send(15)
        sizes_bytes = [await reader.read_all() for reader in reversed(readers)]
        assert sizes_bytes == list(reversed(ANSWERS_BYTES))
        assert await place.node.wait_ended() == 0

    runner.run(work())
