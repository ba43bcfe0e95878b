"""Tests of requests that must not run twice, while their node's lease expires."""

import asyncio

import msgspec
import pytest
from processes import FROZEN, THAWED, make_topology
from site_calls import BOOK

from bench.calls import CallOutcome
from bench.launcher import wait_for
from bench.topology import Override

LEASE_OVER_MS = 5_000
# Short, so that it expires before the booking's deadline even on a busy host.
SHORT_LEASE = Override("control", "lease_ms", "1500")


@pytest.fixture(scope="module")
def site(start_site):
    usual = make_topology(booking=3)
    overrides = (*usual.overrides, SHORT_LEASE)
    return start_site(msgspec.structs.replace(usual, overrides=overrides), add_ways)


async def add_ways(site):
    await site.add_control_links()


async def wait_expired(site, name):
    """Wait until control has removed a node from its members."""

    async def expired():
        return all(member["node"] != name for member in await site.members())

    await wait_for(expired, "the lease expires", LEASE_OVER_MS)


@pytest.mark.parametrize("count", [1, 8])
def test_booking_is_served_after_the_lease_of_its_entry_expired(runner, site, count):
    """The booking has not run when the lease expires, and is served afterwards."""

    async def work():
        place = site.nodes[0]
        for way in site.control_links[place.name]:
            way.set_faults(FROZEN)
        calls = [site.make_call(BOOK) for _ in range(count)]
        sent = [asyncio.ensure_future(site.outcome(place, call)) for call in calls]
        await wait_expired(site, place.name)
        for way in site.control_links[place.name]:
            way.set_faults(THAWED)
        assert set(await asyncio.gather(*sent)) == {CallOutcome.ANSWERED}
        await site.wait_members(len(site.nodes))

    runner.run(work())
