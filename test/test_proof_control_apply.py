"""Tests that a data centre that is out stays out when applied answers omit it."""

import asyncio

import msgspec
import pytest
from processes import CallStream, make_topology, unix_ms

from bench.calls import CallOutcome
from bench.launcher import wait_for
from cicadawheel.answers import generate_configuration, read_answers
from cicadawheel.configuration import DataCentreState

OUT = "kushiro-b"
OUT_GRACE_MS = 3_000
WATCHED_MS = 2_000


@pytest.fixture(scope="module")
def site(start_site):
    return start_site(make_topology(booking=3))


def answers_without(site, name):
    configuration = generate_configuration(
        read_answers(site.deployment.topology.answers)
    )
    rest = {
        held.name: msgspec.structs.replace(
            held, distance_ms={n: d for n, d in held.distance_ms.items() if n != name}
        )
        for held in configuration.data_centres.values()
        if held.name != name
    }
    return msgspec.structs.replace(configuration, data_centres=rest)


async def watch(site):
    """Return the calls that start in the data centre within `WATCHED_MS`."""
    begins_ms = unix_ms()
    await site.wait(
        lambda: unix_ms() > begins_ms + WATCHED_MS, "the watched time has passed"
    )
    assert any(record.at_ms > begins_ms for record in site.records())
    return [
        record
        for record in site.records()
        if record.data_centre == OUT and record.at_ms >= begins_ms
    ]


def test_apply_without_the_data_centre_that_is_out_gives_it_no_calls(runner, site):
    async def work():
        stream = CallStream(site, site.nodes, width=6)
        out_ms = await site.set_data_centre(OUT, "out", force=True)
        await site.wait(
            lambda: unix_ms() > out_ms + OUT_GRACE_MS, "the grace period has passed"
        )
        outcome = await site.deployment.apply(answers_without(site, OUT))
        await site.deployment.wait_in_force(outcome.revision)
        assert await watch(site) == []
        newest = await site.deployment.configuration()
        assert newest.data_centres[OUT].state is DataCentreState.OUT
        assert set(await stream.end()) == {CallOutcome.ANSWERED}

    runner.run(work())


def test_data_centre_gets_calls_again_once_it_is_brought_in(runner, site):
    async def work():
        await site.set_data_centre(OUT, "in")

        async def served():
            calls = [site.make_call() for _ in site.nodes]
            await asyncio.gather(*map(site.send, site.nodes, calls))
            return {r.data_centre for c in calls for r in site.runs(c)} >= {OUT}

        await wait_for(served, "calls in the data centre again", 10_000)

    runner.run(work())
