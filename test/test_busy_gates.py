"""Calls that meet a busy gate are placed elsewhere, and load reports stay few.

The fleet has 42 upstreams with 3 slots each, and 81 entries. A quarter of the VMs is
seven times slower at any time, in periods of half a second.
"""

import asyncio
import math
from types import SimpleNamespace

import pytest
from lone_gate import make_call, serve_gate
from msgspec.structs import replace
from news_fleet import SLOTS, WORK_MS, NewsFleet
from site_in_loop import call, until
from spells import SLOW_SHARE, SLOWNESS

from cicadawheel.entry.body import DEFERRED_BODY_BYTES, RequestBody
from cicadawheel.entry.moves import MOVED_BODY_LIMIT_BYTES, may_move_on
from cicadawheel.gate import news
from cicadawheel.gate.decision import Decision, SchedulingHints, Verdict
from cicadawheel.gate.reported_admission import ReportedAdmission
from cicadawheel.messages import Cancel, RefusalReason

GATES = 42
MEAN_WORK_MS = WORK_MS * 1.046
"""The mean of the lognormal work times, whose median is ``WORK_MS``."""

CAPACITY_PER_S = (
    GATES * SLOTS * (1 - SLOW_SHARE + SLOW_SHARE / SLOWNESS) / MEAN_WORK_MS * 1_000
)
SECONDS = 5.0


@pytest.mark.parametrize("seed", [1, 2])
def test_calls_below_capacity_are_answered_in_time_with_few_messages(seed):
    fleet = NewsFleet(seed)
    ends = fleet.run(0.75 * CAPACITY_PER_S, SECONDS)
    calls = sum(ends.values())
    assert ends["in time"] >= 0.9 * calls
    assert fleet.reports + 2 * fleet.moves <= 10 * calls


@pytest.mark.parametrize("seed", [1, 2])
def test_answers_in_time_stay_near_capacity_in_an_overload(seed):
    ends = NewsFleet(seed).run(2.0 * CAPACITY_PER_S, SECONDS)
    assert ends["in time"] >= 0.8 * CAPACITY_PER_S * SECONDS


def test_moving_calls_replaces_most_reports(monkeypatch):
    load_per_s = 0.75 * CAPACITY_PER_S
    moved = NewsFleet(1)
    ends = moved.run(load_per_s, SECONDS)
    monkeypatch.setattr(news, "SLOT_REPORTS_PER_S", math.inf)
    monkeypatch.setattr("news_fleet.MOVE_LIMIT", 0)
    reported = NewsFleet(1)
    ends_with_reports = reported.run(load_per_s, SECONDS)
    share = ends["in time"] / sum(ends.values())
    assert (
        share >= ends_with_reports["in time"] / sum(ends_with_reports.values()) - 0.02
    )
    assert moved.reports + 2 * moved.moves <= 0.25 * reported.reports


def test_immediate_request_is_refused_where_another_would_wait():
    admission = ReportedAdmission()
    admission.upstream_started("b", 1, 0.0)
    assert admission.offer(1, 9_000.0, 0.0).verdict is Verdict.ADMIT
    refused = admission.offer(2, 9_000.0, 0.0, hints=SchedulingHints(immediate=True))
    assert refused.reason is RefusalReason.BUSY
    assert admission.offer(3, 9_000.0, 0.0).verdict is Verdict.WAIT


def test_call_queues_at_a_gate_that_was_busy_before(on_site, monkeypatch):
    """The gate's load may show a slot that is reserved for a higher priority."""
    refusals = []

    async def work(site):
        for node in site.nodes:
            node.entry.repeats.shared = True
            monkeypatch.setattr(node.gate.admission, "offer", refuse_immediate(node))
        answer = await call(site.nodes[0], "GET", "/list")
        assert answer.status == 200

    def refuse_immediate(node):
        offer = node.gate.admission.offer

        def offer_or_refuse(ticket, deadline_at_ms, now_ms, kind, alone, hints):
            if hints.immediate:
                refusals.append(node.node)
                return Decision(ticket, Verdict.REFUSE, RefusalReason.BUSY)
            return offer(ticket, deadline_at_ms, now_ms, kind, alone, hints)

        return offer_or_refuse

    on_site(work)
    assert refusals
    assert len(refusals) == len(set(refusals))


@pytest.mark.parametrize(
    ("size_bytes", "complete", "busy", "moves_on"),
    [
        (0, True, set(), True),
        (0, True, {"n2", "n3"}, True),
        (0, True, {"n1"}, False),
        (0, True, {"n2", "n3", "n4"}, False),
        (MOVED_BODY_LIMIT_BYTES, True, set(), True),
        (MOVED_BODY_LIMIT_BYTES + 1, True, set(), False),
        (DEFERRED_BODY_BYTES, True, set(), True),
        (100, False, set(), False),
    ],
)
def test_only_what_costs_little_moves_on(size_bytes, complete, busy, moves_on):
    body = RequestBody(SimpleNamespace(), 65_536, complete=False)
    body.receive(b"x" * size_bytes)
    if complete:
        body.receive_end()
    assert may_move_on("n1", busy, body) is moves_on


class CountingUpstream:
    """Counts the requests that it reads, and never answers."""

    def __init__(self):
        self.open = 0
        self.requests = 0

    async def serve(self, reader, writer):
        self.open += 1
        while await reader.readline():
            self.requests += 1
            await reader.readuntil(b"\r\n\r\n")
        writer.close()
        self.open -= 1


def test_busy_gate_refuses_an_immediate_call_without_running_it():
    async def run():
        upstream = CountingUpstream()
        async with serve_gate(upstream) as gate:
            calls = [
                gate.open(make_call(f"r{number}"), lambda message: None)
                for number in range(4)
            ]
            await until(lambda: upstream.requests == 4)
            messages = []
            gate.open(replace(make_call("r4"), immediate=True), messages.append)
            (refused,) = messages
            assert refused.reason is RefusalReason.BUSY
            assert refused.not_run
            assert not refused.reached
            assert refused.load.in_flight == 4
            for running in calls:
                running.receive(Cancel(1, "left"))
        assert upstream.requests == 4

    asyncio.run(run())
