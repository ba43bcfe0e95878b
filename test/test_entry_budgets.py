"""The budgets of an entry for retries, hedges and probes."""

from random import Random

import pytest

from cicadawheel.configuration import MeasuringBudget
from cicadawheel.entry.latency import Latencies
from cicadawheel.entry.probing import (
    PROBE_COST_BYTES,
    REPORT_COST_BYTES,
    ProbeLimiter,
)
from cicadawheel.entry.retry import (
    ATTEMPT_LIMIT,
    BUDGET_LIMIT,
    RetryBudget,
    is_retriable,
    retry_cost,
)
from cicadawheel.messages import LoadReport, RefusalReason, Refused

LOAD = LoadReport(0, 0, 1, 0.0, 1.0, False, "b", 0)


def refused(reason, not_run):
    return Refused(1, reason, not_run, LOAD)


def test_retries_are_limited_to_a_share_of_the_calls():
    budget = RetryBudget()
    taken = 0
    for i in range(10_000):
        now_ms = i * 0.5
        budget.call_ended("s", 0.1, now_ms)
        taken += budget.take("s", 1.0, now_ms)
    assert 900 <= taken <= 1_020


def test_minimum_budget_allows_a_quiet_service_to_retry():
    budget = RetryBudget()
    assert [budget.take("s", 1.0, 0.0) for _ in range(3)] == [True, True, False]
    assert budget.take("s", 1.0, 1_000.0)
    assert budget.report()[0].refused == 1


def test_retry_budget_is_bounded():
    budget = RetryBudget()
    for _ in range(10_000):
        budget.call_ended("s", 0.1, 0.0)
    assert budget.report()[0].left == BUDGET_LIMIT


@pytest.mark.parametrize(
    ("reason", "not_run", "repeatable", "expected"),
    [
        (RefusalReason.OVERLOAD, True, False, True),
        (RefusalReason.UPSTREAM_DIED, False, False, False),
        (RefusalReason.UPSTREAM_DIED, False, True, True),
        (RefusalReason.DEADLINE, True, True, False),
        (RefusalReason.QUARANTINED, True, True, False),
    ],
)
def test_retriable_refusals(reason, not_run, repeatable, expected):
    message = refused(reason, not_run)
    assert is_retriable(message, repeatable, True, 1) is expected
    assert not is_retriable(message, repeatable, False, 1)
    assert not is_retriable(message, repeatable, True, ATTEMPT_LIMIT)


def test_retries_after_a_stale_view_cost_nothing():
    assert retry_cost(refused(RefusalReason.LEAVING, True)) == 0.0
    assert retry_cost(refused(RefusalReason.OVERLOAD, True)) > 0.0


@pytest.mark.parametrize(
    "budget", [MeasuringBudget(10.0, 3_000.0), MeasuringBudget(1_000.0, 1_000.0)]
)
def test_probes_never_exceed_the_budget_of_any_second(budget):
    probes = ProbeLimiter()
    random = Random(5)
    now_ms = 0.0
    sent_at_ms = []
    while now_ms < 30_000.0:
        if probes.allows(budget, PROBE_COST_BYTES, now_ms):
            sent_at_ms.append(now_ms)
        now_ms += random.choice([1.0, 2.0, 500.0])
    allowed = min(budget.probes_per_s, budget.bytes_per_s / PROBE_COST_BYTES)
    assert len(sent_at_ms) > 10
    assert probes.probes <= allowed * 30.0
    for start in sent_at_ms:
        later = [at_ms for at_ms in sent_at_ms if start <= at_ms < start + 1_000.0]
        assert len(later) <= allowed


def test_reports_share_the_budget_of_the_probes():
    budget = MeasuringBudget(100.0, 1_000.0)
    probe_limiter = ProbeLimiter()
    for now_ms in range(0, 10_000, 5):
        probe_limiter.allows(budget, REPORT_COST_BYTES, float(now_ms))
        probe_limiter.allows(budget, PROBE_COST_BYTES, float(now_ms))
    assert 0 < probe_limiter.size_bytes <= 10_000.0


def test_latency_quantiles_follow_recent_answers():
    latencies = Latencies()
    assert latencies.quantile_ms("s", 0.95) is None
    for i in range(1_000):
        latencies.add("s", 100.0 if i % 20 == 0 else 5.0)
    assert 5.0 <= latencies.quantile_ms("s", 0.9) <= 6.0
    assert latencies.quantile_ms("s", 0.99) >= 100.0
    for _ in range(20_000):
        latencies.add("s", 2.0)
    assert latencies.quantile_ms("s", 0.99) <= 2.4
