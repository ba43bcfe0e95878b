"""Resends of requests that must run at most once."""

import asyncio

import pytest
from site_in_loop import call, until


@pytest.fixture
def held(on_site):
    """Return a function that runs work on a site whose upstreams hold answers."""

    def run(work):
        async def on_held_site(site):
            for upstream in site.upstreams:
                upstream.holding = True
            try:
                await work(site)
            finally:
                release(site)

        on_site(on_held_site)

    return run


def release(site):
    for upstream in site.upstreams:
        upstream.release()


def count_runs(site):
    return sum(len(upstream.bodies) for upstream in site.upstreams)


def book(node, **fields):
    return call(node, "POST", "/book", b"slot 7", idempotency_key="k-7", **fields)


@pytest.mark.parametrize("entry", [0, 1])
def test_resend_that_times_out_keeps_the_claim(held, entry):
    async def work(site):
        first = asyncio.ensure_future(book(site.nodes[0]))
        await until(lambda: count_runs(site) == 1)
        short = await book(site.nodes[entry], cicadawheel_deadline_ms="200")
        assert short.headers["cicadawheel-not-run"] == "0"
        third = asyncio.ensure_future(book(site.nodes[1 - entry]))
        await site.until_claims_requested(third)
        release(site)
        answers = await asyncio.gather(first, third)
        assert count_runs(site) == 1
        assert answers[0].body == answers[1].body

    held(work)


@pytest.mark.parametrize("entry", [0, 1])
def test_answer_is_stored_after_the_caller_disconnects(held, entry):
    async def work(site):
        first = asyncio.ensure_future(book(site.nodes[0]))
        await until(lambda: count_runs(site) == 1)
        first.cancel()
        await until(lambda: not site.nodes[0].entry._connections)
        release(site)
        again = await book(site.nodes[entry])
        assert again.status == 200
        assert count_runs(site) == 1

    held(work)


def test_disconnect_before_the_claim_is_granted_releases_it(held):
    async def work(site):
        release(site)
        node = site.nodes[0]
        answered = node.claims.handle_answer
        node.claims.handle_answer = lambda answer: None
        first = asyncio.ensure_future(book(node))
        await until(lambda: node.entry.calls)
        first.cancel()
        await until(lambda: not node.entry.calls)
        node.claims.handle_answer = answered
        again = await book(site.nodes[1])
        assert again.status == 200
        assert count_runs(site) == 1

    held(work)
