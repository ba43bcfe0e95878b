"""Unresponsive peers: frozen nodes, lapsed upstreams and stalled callers."""

import asyncio

from site_in_loop import call, until

from cicadawheel.entry import peers
from cicadawheel.gate.server import PeerServer
from cicadawheel.http import caller


def test_calls_at_a_frozen_node_are_retried_elsewhere(on_site, monkeypatch):
    monkeypatch.setattr(peers, "SILENCE_LIMIT_MS", 200.0)
    monkeypatch.setattr(PeerServer, "message_received", lambda *_: None)

    async def work(site):
        entry = site.nodes[0]
        answers = [await call(entry, "GET", "/list") for _ in range(8)]
        assert {answer.status for answer in answers} == {200}

    on_site(work)


def test_upstream_that_stops_announcing_is_marked_as_leaving(on_site):
    async def work(site):
        node = site.nodes[0]
        site.stop_announcing(site.upstreams[0])
        node.announced_at_ms -= 60_000.0
        await until(lambda: node.gate.load().leaving)
        await until(lambda: site.nodes[1].control.view.members[node.node].leaving)
        site.upstreams[0].boots -= 1
        await site.start_upstream(site.upstreams[0])
        await until(lambda: not site.nodes[1].control.view.members[node.node].leaving)
        assert not node.gate.load().leaving

    on_site(work)


def test_stalled_and_idle_callers_are_closed(on_site, monkeypatch):
    monkeypatch.setattr(caller, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(caller, "IDLE_TIMEOUT_S", 0.05)

    async def work(site):
        address = site.nodes[0].settings.node.caller_address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: sh")
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 408")
        writer.close()
        reader, writer = await asyncio.open_connection(address.host, address.port)
        assert await reader.read() == b""
        writer.close()

    on_site(work)
