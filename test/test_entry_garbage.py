"""Ended calls are freed at once by reference counting, without a garbage collection."""

import gc

import pytest
from site_in_loop import call, until

from cicadawheel.entry.call import EntryCall
from cicadawheel.gate.call import GateCall

CALLS = 10


@pytest.fixture
def no_collections():
    """Disable the garbage collector, so that reference cycles are not freed."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def calls_in_memory():
    return sum(isinstance(item, EntryCall | GateCall) for item in gc.get_objects())


@pytest.mark.parametrize(
    ("method", "target", "body"),
    [("GET", "/list", b""), ("POST", "/any", b"body"), ("GET", "/big/200000", b"")],
)
def test_answered_call_is_freed_at_once(on_site, no_collections, method, target, body):
    async def work(site):
        await site.warm_up()
        gc.collect()
        for _ in range(CALLS):
            for node in site.nodes:
                assert (await call(node, method, target, body)).status == 200
        await until(lambda: not calls_in_memory())

    on_site(work)


def test_claimed_call_is_freed_at_once(on_site, no_collections):
    async def work(site):
        await site.warm_up()
        gc.collect()
        for number in range(CALLS):
            for node in site.nodes:
                fields = {"Idempotency_Key": f"{node.node}-{number}"}
                answer = await call(node, "POST", "/book", b"seat", **fields)
                assert answer.status == 200
        await until(lambda: not calls_in_memory())

    on_site(work)


def test_refused_call_is_freed_at_once(on_site, no_collections):
    async def work(site):
        await site.warm_up()
        gc.collect()
        for node in site.nodes:
            node.gate.drain()
        for node in site.nodes:
            assert (await call(node, "GET", "/list")).status == 503
        await until(lambda: not calls_in_memory())

    on_site(work)
