"""An upstream that has left gets nothing again, whatever it announces late."""

import asyncio
import json

import pytest
from site_in_loop import KEY, free_address, until

from cicadawheel.configuration import Configuration, ServiceRule
from cicadawheel.control.command import ANY_REVISION, ApplyConfiguration
from cicadawheel.control.daemon import ControlDaemon
from cicadawheel.http.exchange import HttpRequest
from cicadawheel.node.daemon import Node
from cicadawheel.platform.headers import PLATFORM_DIALECT
from cicadawheel.platform.node import make_handler
from cicadawheel.settings import load_settings
from cicadawheel.timer import make_timer_service

BORN_MS = 1_700_000_000_000


class Upstream:
    """Sends the heartbeats and the deregistration of one upstream to a node."""

    def __init__(self, site):
        self.site = site
        self.node = site.node
        self.handle = make_handler(self.node)

    async def restart(self):
        """Replace the node by a new one, as after a kill of its process."""
        await self.site.start_node()
        self.node = self.site.node
        self.handle = make_handler(self.node)

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

    def member(self):
        """Return the registration of the upstream in its node's view, if any."""
        return self.node.control.view.members.get("n1")

    def is_used(self):
        """Return whether the gate is open and control lists the upstream as such."""
        member = self.member()
        registered = member is not None and not member.leaving
        return registered and self.node.gate.admission.closed_reason is None


class LoneNode:
    """A control replica and one node; only their stream is served."""

    def __init__(self, folder):
        self.folder = folder
        self.stop = asyncio.Event()
        self.node = None
        self.link = None
        self.stream_address = free_address()

    def settings(self, name, text):
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[process]\nname = {name}\nkey = {KEY}\ndata_centre = dc-1\n{text}"
        )
        return load_settings(path)

    async def start(self):
        text = f"stream_address = {self.stream_address}\n"
        text = f"[control]\n{text}operator_address = {free_address()}\n"
        self.control = ControlDaemon(self.settings("c1", text), make_timer_service())
        self.serving = asyncio.ensure_future(self.control.run(self.stop))
        rules = Configuration(services={"s": ServiceRule("s", 1_000.0)})
        command = ApplyConfiguration(
            now_ms=1, operation="op-1", expected_revision=0, configuration=rules
        )
        await self.control.server.log.propose(command)
        await self.start_node()

    async def start_node(self):
        await self.stop_node()
        text = f"[node]\ncaller_address = {free_address()}\nservice = s\n"
        text += f"peer_address = {free_address()}\nadmin_address = {free_address()}\n"
        text += f"control_addresses = {self.stream_address}\n[gate]\nlimit = told\n"
        settings = self.settings("n1", text)
        self.node = Node(settings, make_timer_service(), PLATFORM_DIALECT)
        self.link = asyncio.ensure_future(self.node.control.run())
        await until(lambda: self.node.control.view.index > 0)

    async def stop_node(self):
        if self.link is not None:
            self.link.cancel()
            stream = self.node.control._stream
            if stream is not None:
                stream.close()
            await asyncio.gather(self.link, return_exceptions=True)

    async def close(self):
        await self.stop_node()
        self.stop.set()
        await self.serving


@pytest.fixture
def with_upstream(tmp_path):
    """Return a function that runs work with the upstream of a lone node."""

    def run(work):
        async def main():
            site = LoneNode(tmp_path)
            await site.start()
            try:
                await work(Upstream(site))
            finally:
                await site.close()

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
        await until(upstream.is_used)
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
        await until(upstream.is_used)
        await upstream.beat(2)
        await upstream.leave()
        await until(upstream.is_used)

    with_upstream(work)


def test_upstream_that_was_only_silent_is_used_again(with_upstream):
    async def work(upstream):
        await upstream.beat(1)
        upstream.lapse()
        await upstream.beat(2)
        await until(upstream.is_used)

    with_upstream(work)


@pytest.mark.parametrize("state", ["draining", None])
def test_restarted_node_knows_that_its_upstream_has_left(with_upstream, state):
    # The acknowledgement was forgotten with the process, and a late heartbeat put the
    # upstream in use again.
    async def work(upstream):
        await upstream.beat(1)
        await until(upstream.is_used)
        if state is None:
            await upstream.leave()
        else:
            await upstream.beat(3, state=state)
        for _ in range(2):
            before = upstream.member()
            await upstream.restart()
            await upstream.beat(2)
            await until(lambda known=before: upstream.member().epoch != known.epoch)
            assert upstream.member().leaving
            gate = upstream.node.gate
            await until(lambda gate=gate: gate.admission.leaving)
            assert not gate._lapsed
        await upstream.beat(1, born=BORN_MS + 5_000)
        await until(upstream.is_used)

    with_upstream(work)


def test_restarted_node_uses_an_upstream_that_was_only_silent(with_upstream):
    async def work(upstream):
        await upstream.beat(1)
        await until(upstream.is_used)
        upstream.lapse()
        await upstream.restart()
        await upstream.beat(2)
        await until(upstream.is_used)

    with_upstream(work)


def test_departure_is_acknowledged_only_once_control_knows_it(with_upstream):
    async def work(upstream):
        await upstream.beat(1)
        await until(upstream.is_used)
        upstream.site.stop.set()
        await upstream.site.serving
        body = {"born": BORN_MS}
        assert await upstream.send("deregister", body) == 503
        assert not upstream.is_used()

    with_upstream(work)


# Guards against drains that get 400, and so no acknowledgement, for a service that the
# newest configuration no longer names.
def test_drain_is_acknowledged_after_its_service_was_dropped(with_upstream):
    async def work(upstream):
        await upstream.beat(1)
        await until(upstream.is_used)
        rules = Configuration(services={"other": ServiceRule("other", 1_000.0)})
        command = ApplyConfiguration(
            now_ms=1,
            operation="op-2",
            expected_revision=ANY_REVISION,
            configuration=rules,
        )
        await upstream.site.control.server.log.propose(command)
        view = upstream.node.control.view
        await until(lambda: "other" in view.configuration.services)
        await upstream.beat(2, state="draining")
        assert upstream.member().leaving
        assert not upstream.is_used()

    with_upstream(work)
