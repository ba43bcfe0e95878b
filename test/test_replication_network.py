"""Replacement of the stream to a replica that doesn't respond."""

import asyncio

import pytest

from bench.ports import free_port
from cicadawheel.control.raft.membership import Membership
from cicadawheel.control.replica import network
from cicadawheel.control.replica.message import Introduction, Report
from cicadawheel.control.replica.network import SILENCE_LIMIT_MS, Network
from cicadawheel.settings import Address
from cicadawheel.wire.stream import FRAME_HEADER, Identity


class Clock:
    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        return self.at_ms


class Owner:
    """Sends an introduction, and records what is received."""

    repeats = True

    def __init__(self):
        self.introductions = asyncio.Queue()
        self.messages = asyncio.Queue()

    def introduce(self):
        memberships = (Membership(), Membership())
        return Introduction("folder", (), *memberships, repeats=self.repeats)

    def replica_introduced(self, peer, introduction):
        self.introductions.put_nowait(peer)

    def replica_message(self, peer, message):
        self.messages.put_nowait(message)


@pytest.fixture
def run_pair():
    """Run a coroutine with the networks of two replicas; a is connected to b."""

    def run(body):
        async def main():
            clock = Clock()
            addresses = {name: Address("127.0.0.1", free_port()) for name in "ab"}
            networks = {
                name: Network(
                    addresses[name], Identity(name, "boot", b"k"), Owner(), clock
                )
                for name in "ab"
            }
            tasks = [
                asyncio.ensure_future(network.run(lambda: None))
                for network in networks.values()
            ]
            networks["a"].set_targets({"b": addresses["b"]})
            await networks["a"].owner.introductions.get()
            await networks["b"].owner.introductions.get()
            try:
                await body(networks["a"], networks["b"], clock)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run(main())

    return run


def test_stream_to_unresponsive_replica_is_replaced(run_pair):
    async def body(a, b, clock):
        assert a.send("b", Report(b"1"))
        clock.at_ms += SILENCE_LIMIT_MS + 1
        assert not a.send("b", Report(b"2"))
        await b.owner.introductions.get()
        await a.owner.introductions.get()
        assert a.send("b", Report(b"3"))

    run_pair(body)


def test_stream_to_responding_replica_is_kept(run_pair):
    async def body(a, b, clock):
        for _ in range(3):
            assert a.send("b", Report(b"1"))
            assert b.send("a", Report(b"2"))
            await a.owner.messages.get()
            clock.at_ms += SILENCE_LIMIT_MS + 1

    run_pair(body)


def test_send_ends_while_two_streams_to_a_replica_are_silent(run_pair):
    async def body(a, b, clock):
        a.set_seed_addresses({b.listen})
        await a.owner.introductions.get()
        assert a.send("b", Report(b"1"))
        clock.at_ms += SILENCE_LIMIT_MS + 1
        assert not a.send("b", Report(b"2"))

    run_pair(body)


def test_idle_stream_to_a_replica_of_an_older_version_is_kept(run_pair, monkeypatch):
    repeat = Network._keep_alive

    async def keep_alive(self):
        await (asyncio.Event().wait() if self.identity.name == "b" else repeat(self))

    monkeypatch.setattr(Owner, "repeats", False)
    monkeypatch.setattr(Network, "_keep_alive", keep_alive)
    monkeypatch.setattr(network, "KEEP_ALIVE_INTERVAL_MS", 1.0)

    async def body(a, b, clock):
        stream = a._outgoing["b"]
        for _ in range(3):
            clock.at_ms += SILENCE_LIMIT_MS + 1
            await b.owner.introductions.get()
        assert a._outgoing["b"] is stream

    run_pair(body)


def test_stream_that_brings_a_long_message_slowly_is_kept(run_pair):
    async def body(a, b, clock):
        assert a.send("b", Report(b"1"))
        clock.at_ms += SILENCE_LIMIT_MS
        received_bytes = a._outgoing["b"].received_bytes
        b._incoming["a"]._transport.write(FRAME_HEADER.pack(1_000) + b"part")
        async with asyncio.timeout(5.0):
            while a._outgoing["b"].received_bytes == received_bytes:
                await asyncio.sleep(0)
        clock.at_ms += 1
        assert a.send("b", Report(b"2"))

    run_pair(body)


def test_replica_is_dialled_at_its_new_address(run_pair):
    async def body(a, b, clock):
        moved = Address("127.0.0.1", free_port())
        c = Network(moved, Identity("c", "boot", b"k"), Owner(), clock)
        running = asyncio.ensure_future(c.run(lambda: None))
        a.set_targets({"b": b.listen, "c": Address("127.0.0.1", free_port())})
        a.set_targets({"b": b.listen, "c": moved})
        async with asyncio.timeout(5.0):
            assert await a.owner.introductions.get() == "c"
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_pair(body)


def test_replica_that_joins_is_dialled_while_other_targets_change(run_pair):
    async def body(a, b, clock):
        c = Network(
            Address("127.0.0.1", free_port()),
            Identity("c", "boot", b"k"),
            Owner(),
            clock,
        )
        a.add_target("c", c.listen)
        a.set_targets({"b": b.listen})
        running = asyncio.ensure_future(c.run(lambda: None))
        async with asyncio.timeout(5.0):
            assert await a.owner.introductions.get() == "c"
        a.drop_target("c")
        assert ("c", c.listen) not in a._dials
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_pair(body)


@pytest.mark.timeout(20)
def test_several_silent_streams_to_one_replica_do_not_block_the_event_loop(run_pair):
    async def body(a, b, clock):
        twin = Network(Address("127.0.0.1", free_port()), a.identity, Owner(), b.clock)
        running = asyncio.ensure_future(twin.run(lambda: None))
        twin.set_targets({"b": b.listen})
        await b.owner.introductions.get()
        streams = [stream for stream in b._streams if stream.peer == "a"]
        assert len(streams) == 2
        for stream in streams:
            b._send_on(stream, Report(b"1"))
        clock.at_ms += SILENCE_LIMIT_MS + 1
        assert not b.send("a", Report(b"2"))
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_pair(body)
