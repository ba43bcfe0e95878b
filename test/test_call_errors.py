"""An unexpected error in one call ends no other call on the stream between nodes."""

import asyncio

import pytest
from lone_gate import make_call, serve_gate
from site_in_loop import SHOP, call, hold_call, until

from cicadawheel.announcement import Announcement
from cicadawheel.configuration import Configuration
from cicadawheel.control.command import ANY_REVISION, ApplyConfiguration
from cicadawheel.entry.call import EntryCall
from cicadawheel.gate.call import GateCall
from cicadawheel.gate.gate import Gate
from cicadawheel.messages import Refused

BODY = bytes(100_000)
"""Larger than a call's first message, so that more messages follow it."""


@pytest.mark.parametrize(
    ("owner", "method", "get_target"),
    [
        pytest.param(
            Gate, "open", lambda gate, opened, sink: opened.target, id="gate, open"
        ),
        pytest.param(
            GateCall, "_take_body", lambda one, data: one.call.target, id="gate, body"
        ),
        pytest.param(
            EntryCall, "_handle_head", lambda one, *_: one.plan.target, id="entry"
        ),
    ],
)
def test_error_in_one_call_ends_no_other(
    on_site, monkeypatch, owner, method, get_target
):
    # The stream between the nodes closed, and broke off every call on it.
    unchanged = getattr(owner, method)

    def fail_in_one(self, *args):
        if get_target(self, *args) == "/fails":
            raise RuntimeError("injected")
        return unchanged(self, *args)

    monkeypatch.setattr(owner, method, fail_in_one)

    async def work(site):
        await site.leave(site.upstreams[0])
        held = await hold_call(site, "key-1")
        failed = await call(
            site.nodes[0], "POST", "/fails", BODY, cicadawheel_deadline_ms="500"
        )
        assert failed.status in (502, 504)
        site.upstreams[1].release()
        assert (await held).status == 200

    on_site(work)


def test_calls_of_a_service_that_is_removed_are_answered(on_site):
    # The answer raised KeyError at the entry, and the other calls got 502.
    async def work(site):
        await site.leave(site.upstreams[0])
        held = [await hold_call(site, f"key-{number}") for number in range(3)]
        without = Configuration(data_centres=SHOP.data_centres)
        await site.control.server.log.propose(
            ApplyConfiguration(
                now_ms=1,
                operation="op-2",
                expected_revision=ANY_REVISION,
                configuration=without,
            )
        )
        await until(lambda: not site.nodes[0].entry.configuration.services)
        site.upstreams[1].release()
        assert {answer.status for answer in await asyncio.gather(*held)} == {200}

    on_site(work)


class SilentUpstream:
    """Accepts connections and reads nothing."""

    open = 0

    async def serve(self, reader, writer):
        self.open += 1
        await reader.read()
        writer.close()
        self.open -= 1


def test_request_that_is_no_valid_http_is_refused_unsent():
    # An upstream id that no header can hold raised an error in the gate.
    async def run():
        messages = []
        async with serve_gate(SilentUpstream()) as gate:
            address = gate.pool.address
            gate.announce(
                Announcement("a\nb", "2", "s", "v1", address.port, 4, 20, address.host)
            )
            gate.open(make_call("r"), messages.append)
            await until(lambda: messages)
        return messages

    messages = asyncio.run(run())
    assert [type(message) for message in messages] == [Refused]
    assert messages[0].not_run
