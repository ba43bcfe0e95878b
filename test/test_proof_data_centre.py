"""A data centre goes out and in while entries have old views."""

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
def brought_back(runner, site):
    """Thaw all ways and bring the data centre back after each test."""
    yield

    async def restore():
        for proxy in site.proxies:
            proxy.set_faults(THAWED)
        await bring_back(site)
        await site.wait_members(len(site.nodes))

    runner.run(restore())


def freeze_ways(ways, faults):
    for way in ways:
        way.set_faults(faults)


async def watch_out(site, stream, out_ms):
    """Return the calls that began in the data centre after the grace period."""
    until_ms = out_ms + OUT_GRACE_MS + WATCHED_MS
    await site.wait(lambda: unix_ms() > until_ms, "the time is over")
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

    await wait_for(served, "calls in the data centre again", 10_000)


def test_out_and_in_under_load(runner, site):
    async def work():
        stream = CallStream(site, site.nodes, width=6)
        await site.wait(lambda: len(stream.ends) > 20, "calls")
        out_ms = await site.set_data_centre(OUT, "out", force=True)
        assert await watch_out(site, stream, out_ms) == []
        assert set(stream.ends) == {CallOutcome.ANSWERED}

    runner.run(work())


def test_out_while_entries_have_an_old_view(runner, site):
    async def work():
        # A request that must not repeat needs control, which these entries lack.
        stream = CallStream(site, site.nodes, (READ,), width=6)
        for place in (site.nodes[0], site.nodes[2]):
            freeze_ways(site.control_links[place.name], FROZEN)
        out_ms = await site.set_data_centre(OUT, "out", force=True)
        late = await watch_out(site, stream, out_ms)
        assert late == []
        assert set(stream.ends) == {CallOutcome.ANSWERED}

    runner.run(work())


def test_out_while_its_own_node_is_cut_off_from_control(runner, site):
    async def work():
        ways = site.control_links[site.nodes[1].name]
        stream = CallStream(site, site.nodes, (READ,), width=6)
        freeze_ways(ways, FROZEN)
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
            freeze_ways(ways, FROZEN)
            out_ms = await site.set_data_centre(OUT, "out", force=True)
            late = await watch_out(site, stream, out_ms)
            freeze_ways(ways, THAWED)
        else:
            with frozen(victim.process):
                out_ms = await site.set_data_centre(OUT, "out", force=True)
                late = await watch_out(site, stream, out_ms)
        assert late == []
        assert set(stream.ends) == {CallOutcome.ANSWERED}

    runner.run(work())
