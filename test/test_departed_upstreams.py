"""An upstream that has left gets nothing again, whatever it announces late."""

import asyncio
import json

import pytest
from site_in_loop import KEY, free_address

from cicadawheel.configuration import Configuration, ServiceRule
from cicadawheel.http.exchange import HttpRequest
from cicadawheel.node.daemon import Node
from cicadawheel.platform.headers import PLATFORM_DIALECT
from cicadawheel.platform.node import make_handler
from cicadawheel.settings import load_settings
from cicadawheel.timer import make_timer_service

BORN_MS = 1_700_000_000_000


class Upstream:
    """Sends the heartbeats and the deregistration of one upstream to a node."""

    def __init__(self, node):
        self.node = node
        self.handle = make_handler(node)

    async def send(self, call, body):
        target = f"/rpc?call=instances.{call}&of=u1"
        data = json.dumps(body).encode() if body is not None else b""
        return (await self.handle(HttpRequest("POST", target, {}, data))).status

    async def beat(self, sequence, born=BORN_MS, state="ready"):
        body = {
            "service": "s",
            "address": "127.0.0.1:9",
            "zone": "dc-1",
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_remaining_s": 0,
            "sequence": sequence,
            "born": born,
        }
        assert await self.send("heartbeat", body) == 200

    async def leave(self, born=BORN_MS):
        body = None if born is None else {"born": born}
        assert await self.send("deregister", body) == 200

    def lapse(self):
        """Let so much time pass that the node misses the announcements."""
        self.node._check_announcement(self.node.clock.now_ms() + 60_000.0)

    def is_used(self):
        return self.node.gate.admission.closed_reason is None


@pytest.fixture
def with_upstream(tmp_path):
    """Return a function that runs work with an upstream of a node that isn't served."""

    def run(work):
        async def main():
            path = tmp_path / "n1.ini"
            path.write_text(
                f"[process]\nname = n1\nkey = {KEY}\ndata_centre = dc-1\n"
                f"[node]\ncaller_address = {free_address()}\nservice = s\n"
                f"peer_address = {free_address()}\nadmin_address = {free_address()}\n"
                f"control_addresses = {free_address()}\n[gate]\nlimit = told\n"
            )
            node = Node(load_settings(path), make_timer_service(), PLATFORM_DIALECT)
            rules = Configuration(1, services={"s": ServiceRule("s", 1_000.0)})
            node.gate.configure(rules)
            await work(Upstream(node))

        asyncio.run(main())

    return run


@pytest.mark.parametrize("born", [BORN_MS, None])
@pytest.mark.parametrize("lapses", [True, False])
def test_late_heartbeat_after_a_deregistration_changes_nothing(
    with_upstream, lapses, born
):
    # The node had missed heartbeats, and took the late one for the end of the silence.
    async def work(upstream):
        await upstream.beat(1)
        assert upstream.is_used()
        if lapses:
            upstream.lapse()
            assert not upstream.is_used()
        await upstream.leave(born)
        await upstream.beat(2)
        assert not upstream.is_used()
        upstream.lapse()
        await upstream.beat(3)
        assert not upstream.is_used()

    with_upstream(work)


@pytest.mark.parametrize("born", [BORN_MS, None])
def test_late_heartbeat_of_an_upstream_that_left_unknown_is_ignored(
    with_upstream, born
):
    # A node that had just started acknowledged the deregistration and forgot it.
    async def work(upstream):
        await upstream.leave(born)
        await upstream.beat(2)
        assert not upstream.is_used()

    with_upstream(work)


def test_late_heartbeat_after_draining_in_a_silence_changes_nothing(with_upstream):
    async def work(upstream):
        await upstream.beat(1)
        upstream.lapse()
        await upstream.beat(3, state="draining")
        assert not upstream.is_used()
        for sequence in (2, 4):
            await upstream.beat(sequence)
            assert not upstream.is_used()

    with_upstream(work)


def test_upstream_that_starts_again_under_its_id_is_used(with_upstream):
    async def work(upstream):
        await upstream.beat(1)
        await upstream.leave()
        await upstream.beat(1, born=BORN_MS + 5_000)
        assert upstream.is_used()
        await upstream.beat(2)
        await upstream.leave()
        assert upstream.is_used()

    with_upstream(work)


def test_upstream_that_was_only_silent_is_used_again(with_upstream):
    async def work(upstream):
        await upstream.beat(1)
        upstream.lapse()
        await upstream.beat(2)
        assert upstream.is_used()

    with_upstream(work)
