"""Requests that must not be repeated run at most once when processes are killed."""

import asyncio
import random

import pytest
from processes import SLOW, make_topology

from bench.calls import CallOutcome

BURST = 6
FINAL_OUTCOMES = {CallOutcome.ANSWERED, CallOutcome.MAY_HAVE_RUN}
LONGEST_DELAY_S = 0.03


@pytest.fixture(scope="module")
def site(start_site):
    return start_site(make_topology(booking=3, behaviour=SLOW))


async def find_victim(site, kind, calls):
    """Return the process to kill while calls sent through node 0 run."""
    entry = site.nodes[0]
    if kind == "entry":
        return entry.node
    if kind == "leader":
        return (await site.leader()).process
    tokens = {call.token for call in calls}
    ran = {each.upstream for each in site.records() if each.token in tokens}
    others = sorted(ran - {entry.options.upstream}) or [entry.options.upstream]
    place = site.place_of(others[0])
    return place.node if kind == "gate" else place.upstream


async def resend_and_check(site, calls, sent):
    await asyncio.gather(*sent)
    again = [site.resend(site.nodes[1], call) for call in calls]
    ends = await asyncio.gather(*again)
    third = [site.resend(site.nodes[2], call) for call in calls]
    assert set(ends) <= FINAL_OUTCOMES
    assert await asyncio.gather(*third) == ends
    site.check_history()


@pytest.mark.parametrize("kind", ["entry", "gate", "upstream", "leader"])
def test_kill_while_bookings_run(runner, site, kind):
    async def work():
        calls, sent = await site.begin_burst(site.nodes[0], BURST)
        victim = await find_victim(site, kind, calls)
        victim.kill()
        if kind in ("gate", "entry"):
            victim.start()
        await resend_and_check(site, calls, sent)
        if not victim.running:
            await site.restart(victim)
        await site.wait_members(len(site.nodes))

    runner.run(work())


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("kind", ["entry", "leader"])
def test_kill_while_bookings_are_claimed(runner, site, kind, seed):
    async def work():
        calls = [site.make_call() for _ in range(BURST)]
        victim = await find_victim(site, kind, calls)
        sent = [asyncio.ensure_future(site.send(site.nodes[0], c)) for c in calls]
        # The random delay places the kill between the claim and the dispatch.
        await asyncio.sleep(random.Random(seed).uniform(0.0, LONGEST_DELAY_S))
        victim.kill()
        await resend_and_check(site, calls, sent)
        await site.restart(victim)

    runner.run(work())
