"""Planned stops of nodes and upstreams under load do not interrupt calls."""

import asyncio

import msgspec
import pytest
from processes import BOOK, QUICK, CallStream, make_topology, unix_ms

from bench.calls import CallOutcome

SERVICE_MS = 300.0
BURST = 8
LEAVE_GRACE_MS = 3_000
LATER_MS = 1_500
ALL_ANSWERED = {CallOutcome.ANSWERED}


@pytest.fixture(scope="module")
def site(start_site):
    behaviour = msgspec.structs.replace(QUICK, service_time_ms=SERVICE_MS)
    return start_site(make_topology(booking=3, behaviour=behaviour))


def test_node_stop_interrupts_no_calls(runner, site):
    async def work():
        stopped, *others = site.nodes
        stream = CallStream(site, others)
        _, sent = await site.begin_burst(stopped, BURST)
        stopped.node.send(15)
        assert set(await asyncio.gather(*sent)) == ALL_ANSWERED
        assert await stopped.node.wait_ended() == 0
        answered = len(stream.ends)
        await site.wait(
            lambda: len(stream.ends) > answered + BURST, "further calls after the stop"
        )
        assert set(await stream.end()) == ALL_ANSWERED
        site.check_history()
        await site.restart(stopped.node)

    runner.run(work())


def test_upstream_that_leaves_finishes_and_gets_nothing_new(runner, site):
    async def work():
        place = site.nodes[0]
        stream = CallStream(site, site.nodes)
        _, sent = await site.begin_burst(place, BURST)
        left_ms = unix_ms()
        place.upstream.send(15)
        assert set(await asyncio.gather(*sent)) == ALL_ANSWERED
        assert await place.upstream.wait_ended() == 0
        until_ms = left_ms + LEAVE_GRACE_MS + LATER_MS
        await site.wait(lambda: unix_ms() > until_ms, "end of the grace period")
        assert set(await stream.end()) == ALL_ANSWERED
        name = place.options.upstream
        late = [r for r in site.records() if r.upstream == name and r.leaving]
        assert all(record.at_ms < left_ms + LEAVE_GRACE_MS for record in late)
        assert any(record.at_ms > until_ms - LATER_MS for record in site.records())
        site.check_history()
        place.upstream.start()
        await site.wait_members(len(site.nodes))

    runner.run(work())


def test_leaving_upstream_that_stays_up_gets_nothing_new(runner, site):
    """A stalled drain: the upstream announced that it leaves, but still listens."""

    async def work():
        place = site.nodes[1]
        stuck = site.make_call(msgspec.structs.replace(BOOK, deadline_ms=6_000))
        slow = msgspec.structs.replace(QUICK, service_time_ms=LEAVE_GRACE_MS + 2_000)
        await place.change(slow)
        sent = asyncio.ensure_future(site.send(place, stuck))
        await site.wait(lambda: site.runs(stuck), "start of the long call")
        left_ms = unix_ms()
        running_place = site.place_of(site.runs(stuck)[0].upstream)
        running_place.upstream.send(15)
        stream = CallStream(site, site.nodes)
        until_ms = left_ms + LEAVE_GRACE_MS + LATER_MS
        await site.wait(lambda: unix_ms() > until_ms, "end of the grace period")
        ends = await stream.end()
        assert CallOutcome.ANSWERED in ends
        name = running_place.options.upstream
        late = [r for r in site.records() if r.upstream == name and r.leaving]
        assert all(record.at_ms < left_ms + LEAVE_GRACE_MS for record in late)
        await sent
        await running_place.upstream.wait_ended()
        running_place.upstream.start()
        await site.wait_members(len(site.nodes))

    runner.run(work())
