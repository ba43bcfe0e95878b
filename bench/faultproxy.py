"""A fault-injecting TCP proxy whose faults can change while connections are open."""

import asyncio
import random
import socket
import struct
from enum import Flag, auto

import msgspec

from cicadawheel.errors import CicadawheelError
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

READ_SIZE_BYTES = 65_536
PIECES_IN_DELAY = 256
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(Flag):
    """The direction of a byte stream."""

    NONE = 0
    TO_TARGET = auto()
    FROM_TARGET = auto()
    BOTH = TO_TARGET | FROM_TARGET


class Faults(msgspec.Struct, frozen=True):
    """The faults that the proxy injects into its connections.

    A frozen direction forwards neither bytes nor the end of the stream; data sent
    meanwhile is buffered and delivered afterwards, as after a network partition.
    A connection is closed, without a reset, once ``truncate_after_bytes`` were
    forwarded in a truncated direction. A refused connection is reset on accept.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    frozen: Direction = Direction.NONE
    truncated: Direction = Direction.NONE
    truncate_after_bytes: int = 0
    refuse: bool = False


class _TruncatedError(CicadawheelError):
    """The truncation limit of a direction was reached."""


class _Pipe:
    """Forwards bytes in one direction, in order, each chunk after its delay."""

    def __init__(self, proxy: "FaultProxy", direction: Direction):
        self._proxy = proxy
        self._direction = direction
        self._pieces: asyncio.Queue = asyncio.Queue(PIECES_IN_DELAY)
        self._flowed_bytes = 0
        self._silencings = proxy.silencings[direction]

    async def run(self, reader, writer) -> None:
        """Forward bytes until the stream ends or is truncated."""
        receiving = asyncio.ensure_future(self._receive(reader))
        try:
            await self._deliver(writer)
        finally:
            receiving.cancel()

    async def _receive(self, reader) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data = await reader.read(READ_SIZE_BYTES)
            due_s = loop.time() + self._proxy.draw_delay_ms() / MS_PER_S
            await self._pieces.put((due_s, data))
            if not data:
                return

    async def _deliver(self, writer) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await self._pieces.get()
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            await self._proxy.wait_thawed(self._direction)
            if self._silencings != self._proxy.silencings[self._direction]:
                await asyncio.Event().wait()
            if not data:
                writer.write_eof()
                return
            left_bytes = self._proxy.bytes_left(self._direction, self._flowed_bytes)
            self._flowed_bytes += len(data)
            writer.write(data[:left_bytes])
            await writer.drain()
            if left_bytes is not None and left_bytes <= len(data):
                raise _TruncatedError("truncated", step="forward")


class FaultProxy:
    """Forwards connections to a target and injects faults.

    Parameters
    ----------
    target : Address
        The address to forward connections to.
    seed : int
        The seed of the delay jitter.
    """

    def __init__(self, target: Address, seed: int = 1):
        self.target = target
        self.faults = Faults()
        self.accepted = 0
        self.silencings = {Direction.TO_TARGET: 0, Direction.FROM_TARGET: 0}
        self._rng = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._connections: set[asyncio.Task] = set()

    @property
    def address(self) -> Address:
        """The address at which the proxy listens."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def start(self, address: Address) -> None:
        """Listen at an address; port 0 selects a free port."""
        self._server = await asyncio.start_server(
            self._on_connection, address.host, address.port
        )

    def set_faults(self, faults: Faults) -> None:
        """Set the faults of open and new connections."""
        self.faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    def silence(self, silenced: Direction = Direction.BOTH) -> None:
        """Forward nothing on the open connections any more, not even their end.

        New connections work.
        """
        for direction in self.silencings:
            self.silencings[direction] += bool(direction & silenced)

    def cut(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            reset(writer)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.cut()
        for task in self._connections:
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections)
        await self._server.wait_closed()

    def draw_delay_ms(self) -> float:
        """Return the delay of one chunk."""
        return self.faults.delay_ms + self._rng.uniform(0, self.faults.jitter_ms)

    def bytes_left(self, direction: Direction, flowed_bytes: int) -> int | None:
        """Return how many bytes may still be forwarded, or None without a limit."""
        if not direction & self.faults.truncated:
            return None
        return max(0, self.faults.truncate_after_bytes - flowed_bytes)

    async def wait_thawed(self, direction: Direction) -> None:
        """Wait while a direction is frozen."""
        while direction & self.faults.frozen:
            await self._changed.wait()

    async def _on_connection(self, reader, writer) -> None:
        self.accepted += 1
        self._writers.add(writer)
        task = asyncio.current_task()
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)
        try:
            if self.faults.refuse:
                reset(writer)
                return
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Only `close` cancels this task, and it waits for the task to end.
            reset(writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _forward(self, reader, writer) -> None:
        host, port = self.target.host, self.target.port
        target_reader, target_writer = await asyncio.open_connection(host, port)
        self._writers.add(target_writer)
        to_target = _Pipe(self, Direction.TO_TARGET)
        from_target = _Pipe(self, Direction.FROM_TARGET)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(to_target.run(reader, target_writer))
                group.create_task(from_target.run(target_reader, writer))
        except* OSError:
            reset(writer)
            reset(target_writer)
        except* _TruncatedError:
            pass
        finally:
            self._writers.discard(target_writer)
            target_writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def start_proxy(target: Address, seed: int = 1) -> FaultProxy:
    """Start a proxy on a free loopback port and return it."""
    proxy = FaultProxy(target, seed)
    await proxy.start(Address("127.0.0.1", 0))
    return proxy
