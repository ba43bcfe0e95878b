"""Tests of control under partitions, conflicts, lost answers and restarts."""

import asyncio
import contextlib
import signal

import pytest
from processes import FROZEN, THAWED, make_topology, operators_of
from test_replication_processes import History, operate, wait_changes

from bench.faultproxy import Direction, Faults, start_proxy
from bench.launcher import wait_for
from cicadawheel.configuration import Configuration, DataCentreRule
from cicadawheel.control.command import ApplyConfiguration
from cicadawheel.errors import CicadawheelError
from cicadawheel.operator import ConflictError, OperatorClient, new_operation_id

CHANGES = 60
MANY_CHANGES = 300
ROUNDS = 10
SHORT_MS = 500.0
POLL_S = 0.02
FROZEN_IN = Faults(frozen=Direction.TO_TARGET)
FROZEN_OUT = Faults(frozen=Direction.FROM_TARGET)


@pytest.fixture(scope="module")
def site(start_site):
    return start_site(make_topology(booking=3), add_ways)


async def add_ways(site):
    await site.add_replica_links()


class RevisionWatch:
    """Polls the revision in force at every node, and records any decrease."""

    def __init__(self, site):
        self.site = site
        self.seen = {}
        self.decreases = []
        self.task = asyncio.ensure_future(self._run())

    async def _run(self):
        while True:
            for place in self.site.nodes:
                with contextlib.suppress(CicadawheelError):
                    self._record(place.name, await self.site.dump(place.admin))
            await asyncio.sleep(POLL_S)

    def _record(self, node, dump):
        revision = dump["configuration"]["revision"]
        before = self.seen.get((node, dump["boot"]), 0)
        if revision < before:
            self.decreases.append((node, before, revision))
        self.seen[node, dump["boot"]] = revision

    async def end(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        assert self.decreases == []


@contextlib.asynccontextmanager
async def concurrent_operators(site):
    """Yield the history of three concurrent operators, and check it at the end."""
    history = History()
    watch = RevisionWatch(site)
    writers = [
        asyncio.ensure_future(operate(site.deployment, history, seed))
        for seed in range(3)
    ]
    try:
        await wait_changes(history, CHANGES // 3)
        yield history
        await wait_changes(history, CHANGES // 3)
    finally:
        for writer in writers:
            writer.cancel()
        await asyncio.gather(*writers, return_exceptions=True)
    newest = (await site.deployment.configuration()).revision
    history.check(newest)
    await wait_in_force(site, newest)
    await watch.end()


async def wait_in_force(site, revision):
    async def everywhere():
        dumps = [await site.dump(place.admin) for place in site.nodes]
        return all(dump["configuration"]["revision"] >= revision for dump in dumps)

    await wait_for(everywhere, f"revision {revision} everywhere", 10_000)


def set_ways(site, name, incoming, outgoing):
    for (source, target), way in site.replica_links.items():
        if target == name:
            way.set_faults(incoming)
        elif source == name:
            way.set_faults(outgoing)


@pytest.mark.parametrize(
    ("incoming", "outgoing"),
    [
        pytest.param(FROZEN, FROZEN, id="both ways"),
        pytest.param(FROZEN_IN, FROZEN_OUT, id="hears nobody"),
        pytest.param(FROZEN_OUT, FROZEN_IN, id="heard by nobody"),
    ],
)
def test_silent_partition_of_the_leader(runner, site, incoming, outgoing):
    async def work():
        async with concurrent_operators(site) as history:
            cut_off = await site.leader()
            others = [place for place in site.replicas if place is not cut_off]
            set_ways(site, cut_off.name, incoming, outgoing)
            await wait_changes(history, CHANGES)
            status = await operators_of(*others).status()
            assert status.leader in [place.name for place in others]
            set_ways(site, cut_off.name, THAWED, THAWED)
            await wait_changes(history, CHANGES // 3)
            dump = await site.dump(cut_off.operator)
            await wait_for(lambda: caught_up(site, cut_off, dump), "caught up", 10_000)

    runner.run(work())


async def caught_up(site, place, before):
    dump = await site.dump(place.operator)
    newest = (await site.deployment.configuration()).revision
    return dump["configuration"]["revision"] >= min(
        newest, before["configuration"]["revision"] + 1
    )


def test_freeze_of_the_leader_past_the_lease(runner, site):
    async def work():
        async with concurrent_operators(site) as history:
            place = await site.leader()
            place.process.send(signal.SIGSTOP)
            await wait_changes(history, CHANGES)
            place.process.send(signal.SIGCONT)

    runner.run(work())


def make_change(expected, name="kushiro-a"):
    rule = DataCentreRule(name)
    return ApplyConfiguration(
        now_ms=0,
        operation=new_operation_id(),
        expected_revision=expected,
        configuration=Configuration(data_centres={name: rule}),
    )


async def try_change(place, change):
    try:
        return await operators_of(place).send(change)
    except ConflictError:
        return None


def test_of_equal_revisions_exactly_one_wins(runner, site):
    async def work():
        for _ in range(ROUNDS):
            newest = (await site.deployment.configuration()).revision
            changes = [make_change(newest) for _ in site.replicas]
            sent = map(try_change, site.replicas, changes)
            outcomes = await asyncio.gather(*sent)
            done = [outcome for outcome in outcomes if outcome is not None]
            assert len(done) == 1
            assert (await site.deployment.configuration()).revision == done[0].revision

    runner.run(work())


async def send_and_drop_answer(place, change):
    """Send a change to a replica, and drop the answer."""
    proxy = await start_proxy(place.operator)
    proxy.set_faults(FROZEN_OUT)
    client = OperatorClient((proxy.address,), timeout_ms=SHORT_MS)
    with pytest.raises(CicadawheelError):
        await client.send(change)
    await proxy.close()


def test_lost_answer_is_given_again_by_any_replica(runner, site):
    async def work():
        first = None
        for place in site.replicas:
            newest = (await site.deployment.configuration()).revision
            change = make_change(newest)
            await send_and_drop_answer(place, change)
            outcomes = [await operators_of(each).send(change) for each in site.replicas]
            assert {outcome.revision for outcome in outcomes} == {newest_of(outcomes)}
            assert (await site.deployment.configuration()).revision == newest_of(
                outcomes
            )
            first = first or (change, outcomes[0])
        again = await site.deployment.operators.send(first[0])
        assert again == first[1]

    runner.run(work())


def newest_of(outcomes):
    return max(outcome.revision for outcome in outcomes)


def test_restart_of_everything_after_hundreds_of_changes(runner, site):
    async def work():
        newest = (await site.deployment.configuration()).revision
        first = make_change(newest)
        outcome = first_outcome = await site.deployment.operate(first)
        for _ in range(MANY_CHANGES):
            outcome = await site.deployment.operate(make_change(outcome.revision))
        for process in site.deployment.processes:
            process.kill()
        for process in reversed(site.deployment.processes):
            process.start()
        await site.leader()
        assert (await site.deployment.configuration()).revision == outcome.revision
        assert await site.deployment.operate(first) == first_outcome
        await wait_in_force(site, outcome.revision)
        await site.wait_members(len(site.nodes))

    runner.run(work())
