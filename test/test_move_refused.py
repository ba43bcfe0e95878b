"""A move is refused over HTTP if the other data centres lack capacity."""

import asyncio

import msgspec
from site_in_loop import call, until

from cicadawheel.configuration import DataCentreState
from cicadawheel.control.command import Outcome, OutcomeState, SetDataCentre
from cicadawheel.http.exchange import fetch
from cicadawheel.operator.messages import COMMANDS_PATH


async def take_out(site, operation, revision):
    command = SetDataCentre(
        now_ms=0,
        operation=operation,
        expected_revision=revision,
        data_centre="dc-n1",
        state=DataCentreState.OUT,
    )
    address = site.control.settings.control.operator_address
    body = msgspec.json.encode(command)
    answer = await fetch(address, "POST", COMMANDS_PATH, body)
    return msgspec.json.decode(answer.body, type=Outcome)


async def wait_for_load(site, calls):
    """Wait until control sees this number of calls in flight or queued."""
    server = site.control.server

    def is_reported():
        loads = server.leases.loads(server.clock.now_ms()).values()
        return sum(load.in_flight + load.queued for load in loads) == calls

    await until(is_reported)


def test_loaded_data_centre_is_taken_out_only_when_idle(on_site):
    async def work(site):
        await site.warm_up()
        seen = site.control.state.configuration.revision
        async with asyncio.TaskGroup() as group:
            for _ in range(6):
                group.create_task(call(site.nodes[0], "GET", "/hold"))
            await wait_for_load(site, 6)
            refused = await take_out(site, "op-a", seen)
            for upstream in site.upstreams:
                upstream.release()
        await wait_for_load(site, 0)
        done = await take_out(site, "op-b", seen)
        resent = await take_out(site, "op-b", seen)
        assert refused.state is OutcomeState.REFUSED
        assert "shop needs 6 slots, the remaining 1 upstreams have" in refused.message
        assert (done.state, resent) == (OutcomeState.DONE, done)

    on_site(work)
