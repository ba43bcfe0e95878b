"""A data centre is set out and in, also while entries have outdated views."""

import asyncio

import pytest
from processes import FROZEN, READ, THAWED, CallStream, frozen, make_topology, unix_ms

from bench.calls import CallOutcome
from bench.launcher import wait_for

OUT_GRACE_MS = 3_000
WATCHED_MS = 1_000
OUT = "kushiro-b"


@pytest.fixture(scope="module")
def site(start_site):
    return start_site(make_topology(booking=3), add_ways)


async def add_ways(site):
    await site.add_control_links()
    await site.add_replica_links()


@pytest.fixture(autouse=True)
def restored_site(runner, site):
    """Remove all proxy faults and set the data centre in again after each test."""
    yield

    async def restore():
        for proxy in site.proxies:
            proxy.set_faults(THAWED)
        await bring_back(site)
        await site.wait_members(len(site.nodes))

    runner.run(restore())


def set_way_faults(ways, faults):
    for way in ways:
        way.set_faults(faults)


async def watch_out(site, stream, out_ms):
    """Return the calls that started in the data centre after the grace period."""
    until_ms = out_ms + OUT_GRACE_MS + WATCHED_MS
    await site.wait(lambda: unix_ms() > until_ms, "end of the observation period")
    await stream.end()
    return [
        record
        for record in site.records()
        if record.data_centre == OUT
        and out_ms + OUT_GRACE_MS <= record.at_ms < until_ms
    ]


async def bring_back(site):
    await site.set_data_centre(OUT, "in")

    async def served():
        calls = [site.make_call(READ) for _ in site.nodes]
        await asyncio.gather(*map(site.send, site.nodes, calls))
        return {r.data_centre for c in calls for r in site.runs(c)} >= {OUT}

    await wait_for(served, "calls in the data centre after its return", 10_000)


def test_out_and_in_under_load(runner, site):
    async def work():
        stream = CallStream(site, site.nodes, width=6)
        await site.wait(
            lambda: len(stream.ends) > 20, "calls before the data centre is set out"
        )
        out_ms = await site.set_data_centre(OUT, "out", force=True)
        assert await watch_out(site, stream, out_ms) == []
        assert set(stream.ends) == {CallOutcome.ANSWERED}

    runner.run(work())


def test_out_while_entries_have_an_old_view(runner, site):
    async def work():
        # Reads only: requests that must not be repeated need a claim from control,
        # which two of the entries cannot reach.
        stream = CallStream(site, site.nodes, (READ,), width=6)
        for place in (site.nodes[0], site.nodes[2]):
            set_way_faults(site.control_links[place.name], FROZEN)
        out_ms = await site.set_data_centre(OUT, "out", force=True)
        late = await watch_out(site, stream, out_ms)
        assert late == []
        assert set(stream.ends) == {CallOutcome.ANSWERED}

    runner.run(work())


def test_out_while_its_own_node_is_cut_off_from_control(runner, site):
    async def work():
        ways = site.control_links[site.nodes[1].name]
        stream = CallStream(site, site.nodes, (READ,), width=6)
        set_way_faults(ways, FROZEN)
        out_ms = await site.set_data_centre(OUT, "out", force=True)
        late = await watch_out(site, stream, out_ms)
        assert late == []

    runner.run(work())


@pytest.mark.parametrize("how", ["frozen", "cut off"])
def test_out_while_a_replica_is_lost_to_the_others(runner, site, how):
    async def work():
        leader = await site.leader()
        victim = next(place for place in site.replicas if place is not leader)
        ways = [
            way for names, way in site.replica_links.items() if victim.name in names
        ]
        stream = CallStream(site, site.nodes, width=6)
        if how == "cut off":
            set_way_faults(ways, FROZEN)
            out_ms = await site.set_data_centre(OUT, "out", force=True)
            late = await watch_out(site, stream, out_ms)
            set_way_faults(ways, THAWED)
        else:
            with frozen(victim.process):
                out_ms = await site.set_data_centre(OUT, "out", force=True)
                late = await watch_out(site, stream, out_ms)
        assert late == []
        assert set(stream.ends) == {CallOutcome.ANSWERED}

    runner.run(work())
