"""Tests of partitions that outlast the log, all leases and the claim window."""

import asyncio
import contextlib
import signal

import msgspec
import pytest
from processes import (
    BOOK,
    FROZEN,
    READ,
    THAWED,
    CallStream,
    make_topology,
    operators_of,
    unix_ms,
)
from regions import Regions
from test_proof_control import RevisionWatch, set_ways, wait_in_force

from bench.calls import Call, CallOutcome
from bench.launcher import wait_for
from bench.topology import Override
from cicadawheel.announcement import HEADER_REASON
from cicadawheel.answers import generate_configuration, read_answers
from cicadawheel.configuration import DataCentreState
from cicadawheel.control.command import ApplyConfiguration, SetDataCentre
from cicadawheel.operator import (
    ControlUnreachableError,
    OperatorClient,
    new_operation_id,
)

SNAPSHOT_ENTRIES = 40
CLAIM_WINDOW_S = 4
LEASE_MS = 2_500
CUT_MS = 6_000
CHANGES = 200
CHANGES_IN_MOVE = 10
REFUSED_IN_MS = 1_500.0
CONVERGED_MS = 10_000
MOVED = "kushiro-b"


def make_regions_topology():
    topology = make_topology(booking=4, replicas=5)
    shortened = (
        Override("control", "snapshot_entries", str(SNAPSHOT_ENTRIES)),
        Override("control", "claim_window_s", str(CLAIM_WINDOW_S)),
    )
    return msgspec.structs.replace(
        topology,
        data_centres=("kushiro-a", "kushiro-b"),
        overrides=(*topology.overrides, *shortened),
    )


@pytest.fixture(scope="module")
def regions(start_site):
    made = []

    async def add_ways(site):
        made.append(Regions(site, "kushiro-b"))
        await made[0].add_ways()

    start_site(make_regions_topology(), add_ways)
    return made[0]


@pytest.fixture
def site(regions):
    return regions.site


@pytest.fixture(autouse=True)
def remove_faults(runner, site):
    """Remove all faults after each test, and wait for all nodes to register."""
    yield

    async def restore():
        for proxy in site.proxies:
            proxy.set_faults(THAWED)
        await site.wait_members(len(site.nodes))

    runner.run(restore())


def make_change(site, number, expected):
    """Return the command with a number: a move, or answers with another budget."""
    fields = {
        "now_ms": 0,
        "operation": new_operation_id(),
        "expected_revision": expected,
    }
    turn, place = divmod(number, CHANGES_IN_MOVE)
    if place == 0:
        state = DataCentreState.IN if turn % 2 else DataCentreState.OUT
        return SetDataCentre(**fields, data_centre=MOVED, state=state, force=True)
    answers = read_answers(site.deployment.topology.answers)
    rules = generate_configuration(answers)
    measuring = msgspec.structs.replace(rules.measuring, probes_per_s=10.0 + number)
    rules = msgspec.structs.replace(rules, measuring=measuring)
    return ApplyConfiguration(**fields, configuration=rules)


async def change_often(site, places):
    """Make many changes and moves, for at least `CUT_MS`."""
    operators = operators_of(*places)
    ends_ms = unix_ms() + CUT_MS
    number = 0
    revision = (await operators.configuration()).revision
    while number < CHANGES or unix_ms() < ends_ms or number % (2 * CHANGES_IN_MOVE):
        outcome = await operators.send(make_change(site, number, revision))
        assert outcome.revision > revision
        revision = outcome.revision
        number += 1
    back = make_change(site, CHANGES_IN_MOVE, revision)
    return (await operators.send(back)).revision


async def link_only_to(site, node, replica):
    """Cut a node off from all replicas but one, and wait until it uses that one."""
    for each, way in zip(site.replicas, site.control_links[node.name], strict=True):
        way.set_faults(THAWED if each is replica else FROZEN)

    async def linked():
        dump = await site.dump(node.admin)
        return dump["control"] == replica.name and dump["control_connected"]

    await wait_for(linked, f"{node.name} uses {replica.name}", 10_000)


async def check_refusals(site, replica):
    """Check the errors that a replica which is cut off returns to an operator."""
    client = OperatorClient((replica.operator,), timeout_ms=REFUSED_IN_MS)
    change = make_change(site, 1, 1)
    with pytest.raises(ControlUnreachableError) as refused:
        await client.send(change)
    assert "no leader found in time" in refused.value.message
    assert "nothing was sent to a leader" in refused.value.message
    with pytest.raises(ControlUnreachableError, match="no leader found in time"):
        await client.configuration()
    status = await client.status()
    assert status.leader is None


async def epochs(site):
    return {member["node"]: member["epoch"] for member in await site.members()}


def count_events(place, event):
    return place.process.log_path.read_text().count(f"event={event} ")


class BootWatch(RevisionWatch):
    """Records all revisions in force at each node, for each start of the node."""

    def __init__(self, site):
        self.boots = {}
        super().__init__(site)

    def _record(self, node, dump):
        super()._record(node, dump)
        revision = dump["configuration"]["revision"]
        self.boots.setdefault((node, dump["boot"]), set()).add(revision)


def test_replica_cut_off_longer_than_the_log_leases_and_claim_window(runner, site):
    async def work():
        leader = await site.leader()
        victim = next(place for place in site.replicas if place is not leader)
        others = [place for place in site.replicas if place is not victim]
        linked, *free = reversed(site.nodes)
        await link_only_to(site, linked, victim)
        await site.wait_members(len(site.nodes))
        before = await epochs(site)
        held = (await site.dump(victim.operator))["log"]["applied_index"]
        restored = count_events(victim, "snapshot_restored")
        watch = BootWatch(site)
        stream = CallStream(site, free)
        set_ways(site, victim.name, FROZEN, FROZEN)
        linked.node.kill()
        linked.node.start()
        newest = await change_often(site, others)
        await check_refusals(site, victim)

        # The others have compacted the log entries that the replica lacks.
        log = (await site.dump((await site.leader()).operator))["log"]
        assert log["snapshot_index"] - SNAPSHOT_ENTRIES > held
        assert linked.name not in await epochs(site)
        boot = (await site.dump(linked.admin))["boot"]
        assert watch.boots[linked.name, boot] == {0}
        set_ways(site, victim.name, THAWED, THAWED)

        # The node still reaches no other replica, so this one must serve it.
        await wait_in_force(site, newest)
        assert (await site.dump(linked.admin))["control"] == victim.name
        seen = watch.boots[linked.name, boot]
        await site.wait(lambda: max(seen) >= newest, "the revision seen")
        assert min(seen - {0}) >= newest
        assert count_events(victim, "snapshot_restored") > restored
        await site.deployment.operators.wait_in_force(newest, CONVERGED_MS)
        after = await epochs(site)
        assert after.pop(linked.name) > before.pop(linked.name)
        assert after == before
        ends = await stream.end()
        assert ends.count(CallOutcome.ANSWERED) > CHANGES
        await watch.end()

    runner.run(work())


async def wait_reads(site, places):
    """Wait until ten reads in a row succeed, as ejections may still be in force."""
    for place in places:

        async def served(place=place):
            ends = [await site.outcome(place, site.make_call(READ)) for _ in range(10)]
            return set(ends) == {CallOutcome.ANSWERED}

        await wait_for(served, f"reads at {place.name}", 10_000)


async def wait_without_leader(replicas):
    """Wait until replicas that are cut off report no leader.

    Until then, a claim waits for a majority of the old leader, up to its deadline.
    """

    async def alone():
        seen = [await operators_of(each).status() for each in replicas]
        return all(status.leader is None for status in seen)

    await wait_for(alone, "no leader reported", 10_000)


async def send_claims(site, place):
    """Send bookings one after another until cancelled, and return them."""
    sent = []
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            call = site.make_call(BOOK)
            reply = await site.send(place, call)
            sent.append(call)
            assert (reply.status, reply.text(HEADER_REASON)) == (503, "no claim")
    return sent


async def end_claims(tasks):
    for task in tasks:
        task.cancel()
    sent = await asyncio.gather(*tasks)
    assert all(sent)
    return [call for calls in sent for call in calls]


class TimedCall(Call, frozen=True):
    """A call whose key is a version 7 UUID, which contains its creation time."""

    made_at_ms: int

    @property
    def key(self):
        time = f"{self.made_at_ms:012x}"
        return f"{time[:8]}-{time[8:]}-7000-8000-{int(self.token.split('-')[1]):012x}"


def make_timed_call(site):
    call = site.make_call(BOOK)
    return TimedCall(call.kind, call.token, call.block, unix_ms())


def ran(site):
    return {record.token for record in site.records()}


async def make_lead(site, places):
    """Restart leaders until one of the given replicas leads."""
    while (leader := await site.leader()) not in places:
        leader.process.send(signal.SIGTERM)
        assert await leader.process.wait_ended() == 0
        leader.process.start()


@pytest.mark.parametrize("minority_leads", [False, True])
def test_partition_between_regions(runner, regions, site, minority_leads):
    async def work():
        await make_lead(site, regions.replicas(minority_leads))
        await site.wait_members(len(site.nodes))
        near, far = regions.nodes(False), regions.nodes(True)
        before = await epochs(site)
        watch = BootWatch(site)
        bookings = CallStream(site, near, (BOOK,))
        regions.set_cut(True)
        await wait_without_leader(regions.replicas(True))
        await wait_reads(site, far)
        reads = CallStream(site, far, (READ,), width=2)
        old = make_timed_call(site)
        reply = await site.send(far[0], old)
        assert reply.text(HEADER_REASON) == "no claim"
        claimed = [asyncio.ensure_future(send_claims(site, place)) for place in far]
        newest = await change_often(site, regions.replicas(False))
        refusing = [check_refusals(site, each) for each in regions.replicas(True)]
        await asyncio.gather(*refusing)
        assert set(await reads.end()) == {CallOutcome.ANSWERED}
        refused = await end_claims(claimed)
        assert not {call.token for call in refused} & ran(site)
        held = await epochs(site)
        assert set(held) == {place.name for place in near}
        regions.set_cut(False)

        await wait_in_force(site, newest)
        await site.wait_members(len(site.nodes))
        await site.deployment.operators.wait_in_force(newest, CONVERGED_MS)
        after = await epochs(site)
        for place in site.nodes:
            renewed = after[place.name] > before[place.name]
            assert renewed is (place in far)
        await site.wait_served(BOOK)
        again = [site.resend(far[0], call) for call in refused]
        assert set(await asyncio.gather(*again)) == {CallOutcome.ANSWERED}
        reply = await site.send(far[0], old)
        assert (reply.status, reply.text(HEADER_REASON)) == (409, "claim refused")
        assert old.token not in ran(site)
        await site.wait_served(READ)
        ends = await bookings.end()
        assert ends.count(CallOutcome.ANSWERED) > CHANGES
        await watch.end()

    runner.run(work())
