"""A TCP echo server with relays in front: the baseline latency of bare network hops.

Messages have a fixed size, so neither side parses anything.
"""

import asyncio
import random
import signal

from hdrh.histogram import HdrHistogram

from bench.arrivals import Arrivals
from bench.load_result import LOWEST_US, make_histogram
from bench.pacing import Pacer, now_ms
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

MESSAGE_BYTES = 200
MESSAGE = b"x" * MESSAGE_BYTES


class EchoServer(asyncio.Protocol):
    """Echoes the received bytes."""

    def connection_made(self, transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Write the bytes back."""
        self._transport.write(data)


class RelayServer(asyncio.Protocol):
    """Forwards the bytes of one caller to a target, and the answers back.

    Parameters
    ----------
    target : Address
        The address to forward to.
    """

    def __init__(self, target: Address):
        self._target = target
        self._unsent: list[bytes] = []
        self._onward: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Start connecting to the target."""
        self._transport = transport
        self._connecting = asyncio.ensure_future(self._connect())

    def data_received(self, data: bytes) -> None:
        """Forward the bytes, or buffer them until the target is connected."""
        if self._onward is None:
            self._unsent.append(data)
        else:
            self._onward.write(data)

    def connection_lost(self, error) -> None:
        """Close the connection to the target."""
        if self._onward is not None:
            self._onward.close()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._target.host, self._target.port
        self._onward, _ = await loop.create_connection(
            lambda: _Backward(self._transport), host, port
        )
        for data in self._unsent:
            self._onward.write(data)


class _Backward(asyncio.Protocol):
    def __init__(self, caller: asyncio.Transport):
        self._caller = caller

    def data_received(self, data: bytes) -> None:
        self._caller.write(data)

    def connection_lost(self, error) -> None:
        self._caller.close()


async def serve_echo(port: int, target: Address | None) -> None:
    """Run an echo server, or a relay if a target is given, until SIGTERM."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)

    def make_server() -> asyncio.Protocol:
        return EchoServer() if target is None else RelayServer(target)

    await loop.create_server(make_server, "127.0.0.1", port)
    await stop.wait()


class _EchoCaller(asyncio.Protocol):
    def __init__(self):
        self.answer: asyncio.Future | None = None
        self._left_bytes = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._left_bytes -= len(data)
        if self._left_bytes <= 0:
            self.answer.set_result(None)

    def send(self) -> asyncio.Future:
        self._left_bytes = MESSAGE_BYTES
        self.answer = asyncio.get_running_loop().create_future()
        self._transport.write(MESSAGE)
        return self.answer

    def close(self) -> None:
        self._transport.close()


class EchoLoad:
    """An open-loop load of echo requests over persistent connections.

    Parameters
    ----------
    address : Address
        The address of the echo server, or of a relay in front of it.
    """

    def __init__(self, address: Address):
        self.address = address
        self.latency_us: HdrHistogram = make_histogram()
        self._idle: list[_EchoCaller] = []

    async def run(
        self, arrivals: Arrivals, duration_ms: float, warm_up_ms: float, seed: int
    ) -> None:
        """Send requests at their arrival times and record their latencies."""
        tasks: set[asyncio.Task] = set()
        started_ms = now_ms()

        def send(at_ms: float) -> None:
            task = asyncio.ensure_future(
                self._echo(started_ms + at_ms, started_ms + warm_up_ms)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        times_ms = arrivals.times_ms(random.Random(seed), duration_ms)
        await Pacer().run(started_ms, times_ms, send)
        if tasks:
            await asyncio.gather(*tasks)

    def close(self) -> None:
        """Close the idle connections."""
        for caller in self._idle:
            caller.close()
        self._idle.clear()

    async def _echo(self, due_ms: float, timed_from_ms: float) -> None:
        caller = self._idle.pop() if self._idle else await self._connect()
        await caller.send()
        self._idle.append(caller)
        if due_ms >= timed_from_ms:
            latency_us = int((now_ms() - due_ms) * MS_PER_S)
            self.latency_us.record_value(max(LOWEST_US, latency_us))

    async def _connect(self) -> _EchoCaller:
        loop = asyncio.get_running_loop()
        host, port = self.address.host, self.address.port
        _, caller = await loop.create_connection(_EchoCaller, host, port)
        return caller
