"""Tests of nodes whose registration expires or whose control replica is lost."""

import asyncio

from site_in_loop import call, until

from cicadawheel.control.command import ExpireMembers
from cicadawheel.timer import MS_PER_S


def test_node_registers_again_after_its_lease_expired(on_site):
    async def work(site):
        node = site.nodes[0]
        epoch = node.control.epoch
        command = ExpireMembers(now_ms=3, nodes=((node.node, epoch),))
        await site.control.server.log.propose(command)
        await until(lambda: node.control.epoch > epoch)
        await until(lambda: node.node in site.nodes[1].control.view.members)

    on_site(work)


def test_claim_is_released_if_the_call_ends_while_control_is_silent(on_site):
    async def work(site):
        node = site.nodes[0]
        answered = node.claims.handle_answer
        node.claims.handle_answer = lambda answer: None
        fields = {"idempotency_key": "booking-9", "cicadawheel_deadline_ms": "300"}
        refused = await call(node, "POST", "/book", b"slot 9", **fields)
        assert refused.headers["cicadawheel-reason"] == "no claim"
        assert refused.headers["cicadawheel-not-run"] == "0"
        node.claims.handle_answer = answered
        fields["cicadawheel_deadline_ms"] = "5000"
        again = await call(site.nodes[1], "POST", "/book", b"slot 9", **fields)
        assert again.status == 200

    on_site(work)


def test_deadline_of_a_call_that_waits_for_its_claim_is_reported_as_no_claim(on_site):
    async def work(site):
        node = site.nodes[0]

        async def stall(request, timeout_ms):
            await asyncio.sleep(2 * timeout_ms / MS_PER_S)

        node.claims.open = stall
        fields = {"idempotency_key": "booking-4", "cicadawheel_deadline_ms": "200"}
        refused = await call(node, "POST", "/book", b"slot 4", **fields)
        assert (refused.status, refused.headers["cicadawheel-reason"]) == (
            503,
            "no claim",
        )
        assert not any(b"slot 4" in upstream.bodies for upstream in site.upstreams)

    on_site(work)


def test_nodes_keep_their_view_when_control_is_lost(on_site):
    async def work(site):
        site.stop_control()
        await until(lambda: not any(node.control.connected for node in site.nodes))
        answers = [await call(node, "GET", "/list") for node in site.nodes]
        assert {answer.status for answer in answers} == {200}
        fields = {"idempotency_key": "booking-3", "cicadawheel_deadline_ms": "300"}
        refused = await call(site.nodes[0], "POST", "/book", b"slot", **fields)
        assert refused.headers["cicadawheel-not-run"] == "0"
        assert not any(b"slot" in upstream.bodies for upstream in site.upstreams)

    on_site(work)


def test_node_without_a_view_refuses_as_not_run(on_site):
    async def work(site):
        site.stop_control()
        await site.start_node("n9", site.control.settings.control.stream_address)
        refused = await call(site.nodes[-1], "GET", "/list")
        assert refused.status == 503
        assert refused.headers["cicadawheel-reason"] == "no view"
        assert refused.headers["cicadawheel-not-run"] == "1"

    on_site(work)
