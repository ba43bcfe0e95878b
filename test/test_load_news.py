"""When a gate pushes a load report to the entries."""

import asyncio
import math

import pytest
from lone_gate import make_call, serve_gate
from msgspec.structs import replace
from site_in_loop import until

from cicadawheel.gate.news import (
    SLOT_REPORTS_BURST,
    SLOT_REPORTS_PER_S,
    LoadChangeFilter,
)
from cicadawheel.messages import Cancel, LoadReport

ENTRIES = 30
LATER_MS = 1_000.0


def make_load(in_flight=0, slowness=1.0, queued=0, **fields):
    values = {"limit": 6, "cold_share": 1.0, "leaving": False, "boot": "b", **fields}
    return LoadReport(
        in_flight=in_flight,
        queued=queued,
        service_time_ms=100.0,
        revision=0,
        slowness=slowness,
        **values,
    )


@pytest.fixture
def news():
    made = LoadChangeFilter()
    assert made.should_push(make_load(1), 0.0, ENTRIES)
    return made


@pytest.mark.parametrize(
    "load",
    [
        make_load(1, 7.0),
        make_load(6),
        make_load(1, cold_share=0.3),
        make_load(1, leaving=True),
        make_load(1, boot="c"),
    ],
)
def test_change_that_affects_placement_is_reported_once(news, load):
    assert news.should_push(load, LATER_MS, ENTRIES)
    assert not news.should_push(load, LATER_MS, ENTRIES)


@pytest.mark.parametrize("load", [make_load(0), make_load(2), make_load(1, 1.2)])
def test_insignificant_change_is_not_reported(news, load):
    assert not news.should_push(load, LATER_MS, ENTRIES)


def test_end_of_a_slow_period_is_reported(news):
    news.should_push(make_load(1, 7.0), 1.0, ENTRIES)
    assert news.should_push(make_load(1, 1.0), 2.0, ENTRIES)


def test_small_changes_accumulate(news):
    assert not news.should_push(make_load(1, 1.3), 1.0, ENTRIES)
    assert news.should_push(make_load(1, 1.5), 2.0, ENTRIES)


class SilentUpstream:
    """Reads requests and never answers."""

    open = 0

    async def serve(self, reader, writer):
        self.open += 1
        await reader.read(-1)
        writer.close()
        self.open -= 1


def test_queued_call_that_is_cancelled_is_reported(monkeypatch):
    monkeypatch.setattr("cicadawheel.gate.news.SLOT_REPORTS_PER_S", math.inf)

    async def run():
        async with serve_gate(SilentUpstream()) as gate:
            loads = []
            gate.publisher.listeners.add(loads.append)
            calls = []
            for number, priority in enumerate((0, 1, 1, 1)):
                call = replace(make_call(f"r{number}"), priority=priority)
                calls.append(gate.open(call, lambda message: None))
            await until(lambda: loads[-1].queued == 1)
            calls[-1].receive(Cancel(1, "left"))
            assert loads[-1].queued == 0
            for call in calls[:-1]:
                call.receive(Cancel(1, "left"))

    asyncio.run(run())


@pytest.mark.parametrize("entries", [5, 50, 500])
def test_free_slots_are_reported_within_a_budget(entries):
    news = LoadChangeFilter()
    news.should_push(make_load(1), 0.0, entries)
    pushed = sum(
        news.should_push(make_load(6 if now_ms % 2 else 1), now_ms, entries)
        for now_ms in range(1, 10_001)
    )
    budget = SLOT_REPORTS_BURST + 10 * SLOT_REPORTS_PER_S
    assert budget - 2 * entries <= pushed * entries <= budget + entries


def test_changes_in_a_small_deployment_are_reported_at_once():
    news = LoadChangeFilter()
    for now_ms in range(10):
        assert news.should_push(make_load(6 if now_ms % 2 else 1), now_ms, entries=3)


def test_slot_that_becomes_free_soon_after_a_report_is_reported_later():
    async def run():
        async with serve_gate(SilentUpstream(), limit="fixed") as gate:
            loads = []
            gate.publisher.listeners.add(loads.append)
            others = [[] for _ in range(ENTRIES)]
            gate.publisher.listeners.update(other.append for other in others)
            gate.publisher._changes._tokens = 0.0
            for load in (make_load(1), make_load(6)):
                gate.load = lambda load=load: load
                gate.publisher.push()
            await until(lambda: loads[-1].in_flight == 6)
            gate.load = lambda: make_load(1)
            gate.publisher.push()
            await until(lambda: loads[-1].in_flight == 1)

    asyncio.run(run())
