"""Streams of an entry to other nodes that go silent, while new ones work."""

import asyncio
import contextlib
from types import SimpleNamespace

import msgspec
import pytest
from lone_gate import make_call
from site_in_loop import POLL_S, call, until

from bench.faultproxy import start_proxy
from cicadawheel.configuration import Configuration, Member
from cicadawheel.control.messages import View
from cicadawheel.entry import peers
from cicadawheel.entry.peers import SILENCE_LIMIT_MS, PeerLink, PeerLinks
from cicadawheel.gate.gate import Gate
from cicadawheel.gate.server import PeerStreams, serve_peers
from cicadawheel.messages import RefusalReason
from cicadawheel.platform.headers import PLATFORM_DIALECT
from cicadawheel.settings import Address, GateSettings
from cicadawheel.timer import make_timer_service
from cicadawheel.wire.stream import Identity

CONTACT_WINDOW_S = 3.0
CONNECT_TIMEOUT_MS = 2_000.0
MANY_LINKS = 60


def identity(name):
    return Identity(name, "boot", b"a key of sixteen characters")


class Loads:
    """Counts the load reports of each node."""

    def __init__(self):
        self.counts = {}

    def load_received(self, node, load):
        self.counts[node] = self.counts.get(node, 0) + 1


class LinkedEntry:
    """The links of one entry, each through a proxy, to addresses of one gate."""

    def __init__(self):
        self.timers = make_timer_service()
        self.gate = Gate(GateSettings(), "dc", self.timers, "n1", PLATFORM_DIALECT)
        self.streams = []
        self.servers = []
        self.proxies = []
        self.members = []
        self.loads = Loads()
        self.links = PeerLinks(identity("n0"), CONNECT_TIMEOUT_MS, self.loads)

    async def start(self, count):
        for number in range(1, count + 1):
            await self.add_member(f"n{number}")
        self.links.set_wanted({member.node for member in self.members})
        self.links.connect(self.members)
        await until(lambda: len(self.loads.counts) == count)
        self.timers.every(peers.CHECK_INTERVAL_MS, self.links.check)

    async def add_member(self, node):
        view = View(5, Configuration(1), (), ())
        address, streams = Address("127.0.0.1", 0), PeerStreams()
        server = await serve_peers(
            address, identity(node), self.gate, lambda: view, streams
        )
        proxy = await start_proxy(Address(*server.sockets[0].getsockname()))
        host, port = proxy.address.host, proxy.address.port
        self.members.append(
            Member(node, f"u-{node}", "s", "v1", "d0", host, port, 4, 10)
        )
        self.streams.append(streams)
        self.servers.append(server)
        self.proxies.append(proxy)

    def silence(self):
        for proxy in self.proxies:
            proxy.silence()

    async def close(self):
        self.links.close()
        for server in self.servers:
            server.close()
        for proxy in self.proxies:
            await proxy.close()
        self.gate.close()


@contextlib.asynccontextmanager
async def linked_entry(count):
    entry = LinkedEntry()
    await entry.start(count)
    try:
        yield entry
    finally:
        await entry.close()


@pytest.mark.parametrize("count", [1, MANY_LINKS])
def test_idle_links_that_went_silent_are_replaced_before_the_next_call(count):
    async def work():
        async with linked_entry(count) as entry:
            entry.silence()
            entry.loads.counts.clear()
            async with asyncio.timeout(CONTACT_WINDOW_S):
                while len(entry.loads.counts) < count:
                    await asyncio.sleep(POLL_S)
            answers = []
            entry.links.link(entry.members[-1]).open(make_call("r"), answers.append)
            async with asyncio.timeout(peers.CHECK_INTERVAL_MS / 1_000.0):
                while not answers:
                    await asyncio.sleep(POLL_S)
            assert answers[0].reason is not RefusalReason.PEER_LOST

    asyncio.run(work())


def test_load_of_a_node_arrives_after_its_link_went_silent_with_a_call_in_progress():
    async def work():
        async with linked_entry(1) as entry:
            entry.silence()
            link, answers = entry.links.link(entry.members[0]), []
            link.open(make_call("r"), answers.append)
            entry.loads.counts.clear()
            async with asyncio.timeout(CONTACT_WINDOW_S):
                while not entry.loads.counts:
                    await asyncio.sleep(POLL_S)
            assert answers[0].reason is RefusalReason.PEER_LOST
            assert not answers[0].not_run

    asyncio.run(work())


def test_probes_of_idle_links_are_bounded():
    async def work():
        async with linked_entry(MANY_LINKS) as entry:
            now_ms = entry.timers.clock.now_ms()
            entry.links.check(now_ms)
            later_ms = now_ms + peers.IDLE_PROBE_INTERVAL_MS
            entry.links.check(later_ms)
            probed = [one for one in links_of(entry) if one.quiet_ms(later_ms + 1.0)]
            assert len(probed) == peers.IDLE_PROBES_PER_CHECK

    asyncio.run(work())


def links_of(entry):
    return [entry.links.link(member) for member in entry.members]


def test_call_that_never_repeats_is_answered_after_idle_links_went_silent(on_site):
    async def work(site):
        entry, other = site.nodes
        proxy = await start_proxy(other.settings.node.peer_address)
        link = entry.links.link

        def link_by_proxy(member):
            host, port = proxy.address.host, proxy.address.port
            return link(msgspec.structs.replace(member, host=host, port=port))

        entry.links.link = link_by_proxy
        await site.leave(site.upstreams[0])
        entry.links.set_wanted({other.node})
        answer = await call(entry, "GET", "/list")
        assert answer.status == 200
        accepted = proxy.accepted
        proxy.silence()
        async with asyncio.timeout(CONTACT_WINDOW_S):
            while proxy.accepted == accepted:
                await asyncio.sleep(POLL_S)
        async with asyncio.timeout(1.0):
            answer = await call(entry, "POST", "/book", idempotency_key="k")
        assert answer.status == 200
        await proxy.close()

    on_site(work)


class FakeStream:
    """An open stream whose peer answers when the test says so."""

    received_bytes = 0
    aborted = False

    def is_open(self):
        return True

    def send(self, message):
        pass

    def abort(self, error):
        self.aborted = True


@pytest.fixture
def fake_link():
    """A link on a fake stream, at rest at a time of 1 s."""
    member = SimpleNamespace(node="n1", host="h", port=1)
    link = PeerLink(member, identity("n0"), CONNECT_TIMEOUT_MS, Loads())
    link._stream = FakeStream()
    link.check(1_000.0)
    return link


def test_entry_that_was_frozen_keeps_a_stream_that_it_has_not_probed(fake_link):
    fake_link._sinks[1] = lambda message: None
    fake_link.check(1_000.0 + 2 * SILENCE_LIMIT_MS)
    assert not fake_link._stream.aborted


def test_idle_streams_to_a_slow_node_are_replaced_once(fake_link):
    late_ms = 1_200.0
    replaced = 0
    for now_ms in range(2_000, 22_000, 250):
        stream = fake_link._stream
        fake_link.check(float(now_ms))
        if stream.aborted:
            replaced += 1
            fake_link._stream = FakeStream()
            fake_link._awaiting_since_ms = None
        elif fake_link.quiet_ms(now_ms) >= late_ms:
            stream.received_bytes += 1
        elif fake_link.probe_due_ms() <= now_ms:
            fake_link.probe_idle(float(now_ms))
    assert replaced == 1
