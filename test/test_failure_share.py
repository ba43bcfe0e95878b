"""Upstreams that fail a part of their requests get fewer of them."""

from collections import Counter

import pytest
from news_fleet import NewsFleet

from cicadawheel.entry import placement
from cicadawheel.gate.decision import Result
from cicadawheel.gate.failures import HALF_LIFE_MS, FailureShare, is_failure
from cicadawheel.messages import LoadReport

GREY_NODES = [f"n{number}" for number in range(0, 42, 7)]
GREY_SHARE = 0.45
SECONDS = 5.0
SEEDS = (1, 2, 3)


def play(calls_per_s):
    """Return the shares of the calls that failed and that were answered in time."""
    ends = Counter()
    for seed in SEEDS:
        fleet = NewsFleet(seed)
        for node in GREY_NODES:
            fleet.gates[node].failing = GREY_SHARE
        ends += fleet.run(calls_per_s, SECONDS)
    return ends["failed"] / ends.total(), ends["in time"] / ends.total()


@pytest.mark.parametrize("calls_per_s", [300.0, 700.0])
def test_grey_upstreams_are_avoided_by_all_entries(calls_per_s, monkeypatch):
    failed, in_time = play(calls_per_s)
    monkeypatch.setattr(placement, "FAILURE_COST", 0.0)
    failed_before, in_time_before = play(calls_per_s)
    assert failed <= 0.6 * failed_before
    assert in_time > in_time_before


def test_share_follows_recent_results_and_fades():
    share = FailureShare()
    for number in range(40):
        share.add(number % 2 == 0, 10.0 * number)
    now_ms = 390.0
    assert 0.35 <= share.value(now_ms) <= 0.65
    assert share.value(now_ms + HALF_LIFE_MS) == pytest.approx(share.value(now_ms) / 2)


@pytest.mark.parametrize(
    ("result", "took_ms", "had_free_slot", "failed"),
    [
        (Result.ANSWERED, 900.0, True, False),
        (Result.FAILED, 1.0, True, True),
        (Result.DIED, 1.0, True, True),
        (Result.SHED, 1.0, True, True),
        (Result.SHED, 1.0, False, None),
        (Result.CANCELLED, 399.0, True, None),
        (Result.CANCELLED, 401.0, True, True),
        (Result.UNREACHABLE, 1.0, True, None),
    ],
)
def test_only_what_the_upstream_failed_counts(result, took_ms, had_free_slot, failed):
    in_flight = 4 if had_free_slot else 5
    load = LoadReport(in_flight, 0, 4, 50.0, 1.0, False, "b", 1, slowness=2.0)
    assert is_failure(result, load, took_ms, work_ms=50.0) is failed
    assert is_failure(result, load, took_ms, work_ms=0.0) is failed
