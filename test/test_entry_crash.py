"""Requests that crash each upstream that runs them, over real sockets."""

import asyncio

from site_in_loop import call, until

CRASH_REASONS = ("upstream died", "quarantined", "suspected")


def crashes(site):
    return sum(upstream.crashes for upstream in site.upstreams)


def test_crashing_request_crashes_at_most_two_upstreams(on_site):
    async def work(site):
        for number in range(12):
            answer = await call(site.nodes[number % 5], "GET", "/crash")
            assert answer.status in (502, 503)
            assert answer.headers["cicadawheel-reason"] in CRASH_REASONS
        assert crashes(site) == 2
        await until(lambda: all(node.entry.quarantined for node in site.nodes))
        answer = await call(site.nodes[0], "GET", "/crash")
        assert answer.status == 503
        assert answer.headers["cicadawheel-reason"] == "quarantined"
        assert answer.headers["cicadawheel-not-run"] == "1"
        assert crashes(site) == 2

    on_site(work, node_count=5)


def test_concurrent_requests_are_answered_despite_a_crash(on_site):
    async def work(site):
        held = [
            asyncio.ensure_future(call(node, "GET", f"/hold/{i}"))
            for i, node in enumerate(site.nodes)
        ]
        await until(lambda: sum(len(u.held) for u in site.upstreams) == 3)
        crash = asyncio.ensure_future(call(site.nodes[0], "GET", "/crash"))
        answered = asyncio.gather(*held)
        while not answered.done():
            for upstream in site.upstreams:
                upstream.release()
            await asyncio.sleep(0.01)
        assert [answer.status for answer in await answered] == [200, 200, 200]
        assert (await crash).status in (502, 503)
        assert crashes(site) == 2

    on_site(work, node_count=3)


def test_reset_of_one_connection_does_not_count_as_a_crash(on_site):
    async def work(site):
        answer = await call(site.nodes[0], "GET", "/reset")
        assert answer.status == 502
        suspects = [node.gate.guard.suspects.report(0.0) for node in site.nodes]
        assert suspects == [[], []]
        assert (await call(site.nodes[0], "GET", "/fine")).status == 200

    on_site(work)


def test_restarted_upstream_serves_again(on_site):
    async def work(site):
        await call(site.nodes[0], "POST", "/crash", b"1")
        for upstream in site.upstreams:
            if upstream.crashes:
                await site.start_upstream(upstream)
        answers = [await call(node, "GET", "/list") for node in site.nodes]
        assert [answer.status for answer in answers] == [200, 200, 200]

    on_site(work, node_count=3)
