"""Requests that crash every upstream that runs them, among harmless requests."""

import asyncio

import msgspec
import pytest
from processes import BOOK, QUICK, READ, CallStream, make_topology

from bench.calls import CallOutcome
from bench.launcher import wait_for
from bench.record import RecordKind

RESENDS = 6
CRASHES_MAX = 2
SERVED_AGAIN_MS = 10_000
CRASHING_READ = msgspec.structs.replace(READ, path="/availability/deadly", crash=True)
CRASHING_BOOK = msgspec.structs.replace(BOOK, crash=True)
SHARED = msgspec.structs.replace(READ, path="/availability/today")


@pytest.fixture(scope="module")
def site(start_site):
    behaviour = msgspec.structs.replace(QUICK, service_time_ms=60.0)
    return start_site(make_topology(booking=5, replicas=1, behaviour=behaviour))


class UpstreamRestarter:
    """Restarts upstreams that have exited."""

    def __init__(self, site):
        self.site = site
        self.task = asyncio.ensure_future(self._run())

    async def _run(self):
        while True:
            for place in self.site.nodes:
                if not place.upstream.running:
                    place.upstream.start()
            await asyncio.sleep(0.2)

    async def end(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@pytest.mark.parametrize("kind", [CRASHING_READ, CRASHING_BOOK], ids=["read", "book"])
def test_crashing_request_costs_two_upstreams_at_most(runner, site, kind):
    async def work():
        restarter = UpstreamRestarter(site)
        stream = CallStream(site, site.nodes, (READ,), width=10)
        await site.wait(
            lambda: len(stream.ends) > 40, "calls before the crashing request"
        )
        call = site.make_call(kind, shared=True)
        for attempt in range(RESENDS):
            place = site.nodes[attempt % len(site.nodes)]
            outcome = await site.outcome(place, call, attempt)
            assert outcome is not CallOutcome.ANSWERED
        crashes = [r for r in site.records(RecordKind.CRASH) if r.token == call.token]
        assert 1 <= len(crashes) <= CRASHES_MAX
        await stream.end()
        assert CallOutcome.WRONG not in stream.ends
        await site.wait_served()
        await restarter.end()
        site.check_history()

    runner.run(work())


async def send_popular(site):
    """Send concurrent calls of the popular read; return their futures and tokens."""
    calls = [site.make_call(SHARED, shared=True) for _ in range(30)]
    places = [site.nodes[i % len(site.nodes)] for i in range(len(calls))]
    sent = [
        asyncio.ensure_future(site.send(*each))
        for each in zip(places, calls, strict=True)
    ]
    return sent, {call.token for call in calls}


async def wait_reached(site, tokens):
    """Wait for the first upstream that runs one of the calls; return its place."""

    def reached():
        return [r.upstream for r in site.records() if r.token in tokens]

    await site.wait(reached, "popular read running at an upstream", 5_000)
    return site.place_of(reached()[0])


async def wait_popular_served(site):
    async def answered():
        calls = [site.make_call(SHARED, shared=True) for _ in site.nodes]
        ends = await asyncio.gather(*map(site.outcome, site.nodes, calls))
        return set(ends) == {CallOutcome.ANSWERED}

    await wait_for(answered, "popular read answered by all nodes", SERVED_AGAIN_MS)


@pytest.mark.parametrize(("rounds", "all_at_once"), [(4, False), (2, True)])
def test_popular_read_outlives_the_loss_of_upstreams(runner, site, rounds, all_at_once):
    """The read is in flight at each killed upstream, but caused no crash.

    It must not be treated as a request that crashes upstreams.
    """

    async def work():
        restarter = UpstreamRestarter(site)
        for _ in range(rounds):
            await site.wait_served()
            await wait_popular_served(site)
            sent, tokens = await send_popular(site)
            reached = await wait_reached(site, tokens)
            victims = site.nodes if all_at_once else [reached]
            for place in victims:
                place.upstream.kill()
            await asyncio.gather(*sent)
        await site.wait_served()
        await wait_popular_served(site)
        await restarter.end()

    runner.run(work())
