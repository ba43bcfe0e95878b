"""Tests of nodes that fail together, restart often, or reuse a dead node's name."""

import asyncio

import msgspec
import pytest
from processes import CONDITION_TIMEOUT_MS, READ, CallStream, make_topology

from bench.calls import CallOutcome
from bench.launcher import wait_for
from bench.ports import free_port

FLAPS = 4
# A read in flight at a node that dies may fail, but is never wrong or run twice.
ALLOWED_ENDS = {CallOutcome.ANSWERED, CallOutcome.FAILED, CallOutcome.NOT_RUN}


@pytest.fixture(scope="module")
def site(start_site):
    return start_site(make_topology(booking=5, replicas=1))


async def wait_answered(stream, count):
    """Wait until the last ``count`` calls were all answered."""

    async def answered():
        return stream.ends[-count:] == [CallOutcome.ANSWERED] * count

    await wait_for(answered, f"{count} answers in a row", CONDITION_TIMEOUT_MS)


async def wait_listed(site, name, listed=True):
    async def found():
        names = [member["node"] for member in await site.members()]
        return (name in names) is listed

    await wait_for(found, f"{name} listed: {listed}", CONDITION_TIMEOUT_MS)


def test_nodes_that_fail_together(runner, site):
    async def work():
        failed, kept = site.nodes[:3], site.nodes[3:]
        stream = CallStream(site, kept, (READ,))
        await wait_answered(stream, 20)
        for place in failed:
            place.node.kill()
            place.upstream.kill()
        for place in failed:
            await wait_listed(site, place.name, listed=False)
        await site.wait_members(len(kept), kept)
        await wait_answered(stream, 20)
        for place in failed:
            place.node.start()
            place.upstream.start()
        await site.wait_members(len(site.nodes))
        await wait_answered(stream, 20)
        assert set(await stream.end()) <= ALLOWED_ENDS
        site.check_history()

    runner.run(work())


async def wait_epoch(site, place):
    """Wait until a node is registered, and return its epoch."""
    epochs = []

    async def registered():
        epochs.append((await site.dump(place.admin))["epoch"])
        return epochs[-1] > 0

    await wait_for(registered, f"{place.name} registered", CONDITION_TIMEOUT_MS)
    return epochs[-1]


def test_node_that_restarts_repeatedly(runner, site):
    async def work():
        flapping, *others = site.nodes
        stream = CallStream(site, others)
        epochs = []
        for _ in range(FLAPS):
            flapping.node.kill()
            flapping.node.start()
            await site.wait_members(len(site.nodes))
            epochs.append(await wait_epoch(site, flapping))
        await wait_answered(stream, 20)
        await stream.end()
        assert CallOutcome.WRONG not in stream.ends
        assert epochs == sorted(set(epochs))
        site.check_history()

    runner.run(work())


def test_node_with_the_address_of_a_dead_node(runner, site):
    async def work():
        dead, *others = site.nodes
        stream = CallStream(site, others, (READ,))
        await wait_answered(stream, 10)
        dead.node.kill()
        dead.upstream.kill()
        node, upstream = site.add_node(
            dead, "node-heir", upstream="materials-9", service="materials"
        )
        await wait_listed(site, "node-heir")
        await wait_listed(site, dead.name, listed=False)
        await wait_answered(stream, 20)
        assert set(await stream.end()) <= ALLOWED_ENDS
        unexpected = [r for r in site.records() if r.upstream == "materials-9"]
        assert unexpected == []
        await end_all(upstream, node)
        await wait_listed(site, "node-heir", listed=False)
        dead.node.start()
        dead.upstream.start()
        await site.wait_members(len(site.nodes))

    runner.run(work())


async def end_all(*processes):
    for process in processes:
        process.send(15)
    await asyncio.gather(*(process.wait_ended() for process in processes))


def test_two_nodes_that_register_the_same_upstream(runner, site):
    async def work():
        first = site.nodes[0]
        rival = msgspec.structs.replace(first)
        assign_new_addresses(site, rival)
        node, upstream = site.add_node(
            rival,
            "node-rival",
            port=free_port(),
            control_port=free_port(),
            node_admin=rival.admin,
        )
        await wait_refused(site, node)
        named = [m["node"] for m in await site.members() if is_of(m, first)]
        assert named == [first.name]
        first.node.kill()
        first.upstream.kill()
        await wait_listed(site, "node-rival")
        named = [m["node"] for m in await site.members() if is_of(m, first)]
        assert named == ["node-rival"]
        await end_all(upstream, node)
        await wait_listed(site, "node-rival", listed=False)
        first.node.start()
        first.upstream.start()
        await site.wait_members(len(site.nodes))

    runner.run(work())


def is_of(member, place):
    return member["upstream"] == place.options.upstream


def assign_new_addresses(site, place):
    """Give a node its own addresses, under another name."""
    settings = (site.folder / f"{place.name}.ini").read_text()
    for field in ("caller", "peer", "admin"):
        old = getattr(place, field)
        new = msgspec.structs.replace(old, port=free_port())
        settings = settings.replace(str(old), str(new))
        setattr(place, field, new)
    settings = settings.replace(place.name, "node-like")
    place.name = "node-like"
    (site.folder / "node-like.ini").write_text(settings)


async def wait_refused(site, node):
    """Wait until control has refused the node's registration."""

    async def refused():
        control = site.replicas[0].process.log_path.read_text()
        return "is held by node" in control or "is held by node" in (
            node.log_path.read_text()
        )

    await wait_for(refused, "the registration refused", CONDITION_TIMEOUT_MS)
