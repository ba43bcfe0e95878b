"""Upstreams in a cold start, announced or not, are not overloaded."""

import signal

import msgspec
import pytest
from processes import READ, CallStream, make_topology

from bench.behaviour import Behaviour
from bench.calls import CallOutcome
from bench.launcher import wait_for
from bench.record import RecordKind

WARM_UP_MS = 3_000.0
COLD = Behaviour(
    service_time_ms=50.0,
    cold_concurrency=2,
    cold_slow_factor=2.0,
    warm_up_ms=WARM_UP_MS,
)
CONCURRENT_CALLS = 18
SERVED_CALLS = 40


@pytest.fixture(scope="module")
def site(start_site):
    topology = make_topology(booking=3, replicas=1, behaviour=COLD)
    kept = tuple(one for one in topology.overrides if one.section != "gate")
    return start_site(msgspec.structs.replace(topology, overrides=kept))


async def wait_warm(site):
    async def warm():
        counters = [await place.counters() for place in site.nodes]
        return not any(each.cold for each in counters)

    await wait_for(warm, "end of the cold start of all upstreams", 15_000)


def count_runs_at(site, place):
    name = place.options.upstream
    return sum(1 for record in site.records() if record.upstream == name)


@pytest.mark.parametrize("how", ["restart", "silent"])
def test_cold_start_under_load(runner, site, how):
    async def work():
        place = site.nodes[0]
        stream = CallStream(site, site.nodes, (READ,), CONCURRENT_CALLS)
        await wait_warm(site)
        before = count_runs_at(site, place)
        await site.wait(
            lambda: count_runs_at(site, place) > before + SERVED_CALLS,
            "load at the upstream",
        )
        if how == "restart":
            place.upstream.send(signal.SIGKILL)
            await place.upstream.wait_ended()
            place.upstream.start()
        else:
            await place.fall_back()
        before = count_runs_at(site, place)
        await site.wait(
            lambda: count_runs_at(site, place) > before + SERVED_CALLS,
            "calls at the cold upstream",
        )
        await wait_warm(site)
        await stream.end()
        assert CallOutcome.WRONG not in stream.ends
        overloaded = [r.upstream for r in site.records(RecordKind.OVERLOAD)]
        assert overloaded == []
        site.check_history()

    runner.run(work())
