"""Tests each fault of the fault proxy as seen by a client."""

import asyncio

import pytest

from bench.faultproxy import Direction, Faults, start_proxy
from cicadawheel.settings import Address

QUIET_S = 0.1


class Echo:
    """An echo server behind a proxy."""

    async def __aenter__(self):
        async def echo(reader, writer):
            try:
                while data := await reader.read(65_536):
                    writer.write(data)
                    await writer.drain()
            except OSError:
                pass
            writer.close()

        self.server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = await start_proxy(Address("127.0.0.1", port))
        return self

    async def __aexit__(self, *_error):
        await self.proxy.close()
        self.server.close()

    async def connect(self):
        address = self.proxy.address
        return await asyncio.open_connection(address.host, address.port)


def run_with_echo(scenario):
    async def run():
        async with asyncio.timeout(10), Echo() as echo:
            return await scenario(echo)

    return asyncio.run(run())


async def stays_silent(reader):
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(QUIET_S):
            await reader.read(1)


def test_data_and_eof_pass_unchanged():
    async def scenario(echo):
        reader, writer = await echo.connect()
        data = bytes(range(256)) * 2_000
        writer.write(data)
        writer.write_eof()
        assert await reader.read(-1) == data

    run_with_echo(scenario)


def test_delay_applies_in_both_directions():
    async def scenario(echo):
        echo.proxy.set_faults(Faults(delay_ms=50.0, jitter_ms=5.0))
        reader, writer = await echo.connect()
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        writer.write(b"x")
        await reader.readexactly(1)
        assert loop.time() - begin_s >= 0.1

    run_with_echo(scenario)


def test_cut_resets_open_connections():
    async def scenario(echo):
        reader, writer = await echo.connect()
        writer.write(b"x")
        await reader.readexactly(1)
        echo.proxy.cut()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)

    run_with_echo(scenario)


@pytest.mark.parametrize("direction", list(Direction.BOTH) + [Direction.BOTH])
def test_frozen_data_is_delivered_after_the_freeze(direction):
    async def scenario(echo):
        reader, writer = await echo.connect()
        echo.proxy.set_faults(Faults(frozen=direction))
        writer.write(b"late")
        await stays_silent(reader)
        echo.proxy.set_faults(Faults())
        assert await reader.readexactly(4) == b"late"

    run_with_echo(scenario)


def test_frozen_proxy_accepts_new_connections():
    async def scenario(echo):
        echo.proxy.set_faults(Faults(frozen=Direction.BOTH))
        reader, writer = await echo.connect()
        writer.write(b"x")
        await stays_silent(reader)

    run_with_echo(scenario)


@pytest.mark.parametrize("direction", list(Direction.BOTH))
def test_truncation_delivers_at_most_the_set_bytes(direction):
    async def scenario(echo):
        faults = Faults(truncated=direction, truncate_after_bytes=5)
        echo.proxy.set_faults(faults)
        reader, writer = await echo.connect()
        writer.write(b"0123456789")
        received = await reader.read(-1)
        if direction is Direction.FROM_TARGET:
            assert received == b"01234"
        else:
            assert b"01234".startswith(received)

    run_with_echo(scenario)


def test_refused_connection_is_reset():
    async def scenario(echo):
        echo.proxy.set_faults(Faults(refuse=True))
        reader, _ = await echo.connect()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)

    run_with_echo(scenario)
