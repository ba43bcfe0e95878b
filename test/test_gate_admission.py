"""Admission control with a learnt limit, with a model upstream that has cold starts."""

from random import Random

import pytest
from admission_run import FAR_MS, SLOTS, ModelUpstream, Run

from cicadawheel.gate.admission import ALONE_RUN_MS, Admission
from cicadawheel.gate.decision import Result, Verdict
from cicadawheel.gate.limit import AimdLimit, GradientLimit, make_limit
from cicadawheel.messages import RefusalReason
from cicadawheel.settings import GateSettings


@pytest.fixture
def admission():
    """Return an open, warm admission with ten slots."""
    made = Admission(GateSettings())
    made.upstream_started("boot-1", SLOTS, 0.0)
    for i in range(200):
        made.offer(-i, FAR_MS, i * 30.0)
        made.finish(-i, Result.ANSWERED, i * 30.0 + 5.0)
    assert made.warm_up.warm
    return made


def fill(admission, count, now_ms):
    """Offer requests, send those that are admitted, and return the verdicts."""
    verdicts = []
    for ticket in range(1_000, 1_000 + count):
        verdicts.append(admission.offer(ticket, FAR_MS, now_ms).verdict)
        admission.sent(ticket, now_ms)
    return verdicts


def test_admits_exactly_the_slots(admission):
    verdicts = fill(admission, SLOTS + 1, 9_000.0)
    assert verdicts == [Verdict.ADMIT] * SLOTS + [Verdict.WAIT]
    decisions = admission.finish(1_000, Result.ANSWERED, 9_005.0)
    assert [(d.ticket, d.verdict) for d in decisions] == [
        (1_000 + SLOTS, Verdict.ADMIT)
    ]
    assert admission.in_flight == SLOTS


def test_announced_cold_start_is_never_overloaded():
    run = Run(ModelUpstream())
    run.admission.upstream_started("boot-1", SLOTS, 0.0)
    run.run(5_000.0, rate_per_ms=4.0)
    assert run.upstream.failures == []
    assert run.admission.warm_up.warm
    assert run.admission.load(0, 5_000.0).cold_share == 1.0


@pytest.mark.parametrize("service_ms", [2.0, 5.0, 40.0, 200.0])
def test_unannounced_cold_start_fails_at_most_once(service_ms):
    run = Run(ModelUpstream(service_ms=service_ms))
    run.admission.upstream_started("boot-1", SLOTS, 0.0)
    rate = 0.9 * SLOTS / service_ms
    run.run(12_000.0, rate)
    assert run.admission.warm_up.warm
    run.upstream.cold_at_ms = run.now_ms
    run.run(30_000.0, rate)
    assert len(run.upstream.failures) == 1
    assert run.admission.warm_up.warm


def test_lasting_slowness_is_accepted_as_usual():
    run = Run(ModelUpstream())
    run.admission.upstream_started("boot-1", SLOTS, 0.0)
    run.run(5_000.0, rate_per_ms=1.0)
    run.upstream.service_ms = 30.0
    run.run(30_000.0, rate_per_ms=0.3)
    assert run.admission.warm_up.warm


def test_late_answers_restart_the_warm_up(admission):
    fill(admission, SLOTS, 9_000.0)
    admission.check_late(9_010.0)
    assert admission.warm_up.warm
    admission.check_late(9_020.0)
    assert not admission.warm_up.warm


@pytest.mark.parametrize(
    ("result", "count"),
    [(Result.SHED, 3), (Result.FAILED, 5), (Result.UNREACHABLE, 1)],
)
def test_failing_upstream_returns_to_the_cold_share(admission, result, count):
    fill(admission, SLOTS, 9_000.0)
    for i in range(count):
        assert admission.warm_up.warm
        admission.finish(1_000 + i, result, 9_005.0)
    load = admission.load(0, 9_005.0)
    assert load.cold_share == pytest.approx(0.2)


def test_one_slow_route_is_not_taken_for_a_cold_start(admission):
    for i in range(200):
        now_ms = 9_000.0 + 30.0 * i
        kind = "export" if i % 4 == 0 else ""
        admission.offer(i, FAR_MS, now_ms, kind)
        taken_ms = 100.0 if kind else 5.0
        admission.finish(i, Result.ANSWERED, now_ms + taken_ms)
    assert admission.warm_up.warm


def test_reopened_gate_starts_a_warm_up(admission):
    admission.close(RefusalReason.DATA_CENTRE_OUT)
    refused = admission.offer(1, FAR_MS, 9_000.0)
    assert refused.reason is RefusalReason.DATA_CENTRE_OUT
    admission.open(9_000.0)
    assert fill(admission, 3, 9_000.0).count(Verdict.ADMIT) == 2


def test_request_that_cannot_start_in_time_is_refused_at_once(admission):
    fill(admission, SLOTS, 9_000.0)
    assert admission.offer(1, 9_100.0, 9_000.0).verdict is Verdict.WAIT
    assert admission.offer(2, 9_000.5, 9_000.0).reason is RefusalReason.QUEUE_DEADLINE
    decisions = admission.tick(9_100.0)
    assert decisions[0].reason is RefusalReason.QUEUE_DEADLINE


def test_exclusive_request_waits_for_an_empty_upstream(admission):
    fill(admission, 2, 9_000.0)
    assert admission.offer(1, FAR_MS, 9_000.0, alone=True).verdict is Verdict.WAIT
    assert admission.offer(2, FAR_MS, 9_000.0).verdict is Verdict.WAIT
    admission.finish(1_000, Result.ANSWERED, 9_003.0)
    admitted = admission.finish(1_001, Result.ANSWERED, 9_005.0)
    assert [decision.ticket for decision in admitted] == [1]
    later = admission.tick(9_005.0 + ALONE_RUN_MS)
    assert [decision.ticket for decision in later] == [2]


@pytest.mark.parametrize("learner", [AimdLimit(), GradientLimit()])
def test_limit_falls_with_slow_answers_and_recovers(learner):
    learner.reset(SLOTS)
    for _ in range(400):
        learner.answered(4.0, int(learner.limit))
    assert learner.limit < SLOTS / 2
    for _ in range(400):
        learner.answered(1.0, int(learner.limit))
    assert learner.limit == pytest.approx(SLOTS)
    learner.overloaded(4)
    assert learner.limit < 4


def test_fixed_limit_never_changes():
    learner = make_limit("fixed")
    learner.reset(SLOTS)
    learner.answered(9.0, SLOTS)
    learner.overloaded(1)
    assert learner.limit == SLOTS


def test_spread_of_service_times_is_not_taken_for_a_cold_start():
    run = Run(ModelUpstream())
    draw = Random(3)
    run.admission.upstream_started("boot-1", SLOTS, 0.0)
    usual_start = run.upstream.start
    run.upstream.start = lambda now_ms: (
        usual_start(now_ms) * draw.lognormvariate(0, 0.6)
    )
    run.run(20_000.0, rate_per_ms=1.0)
    assert run.admission.warm_up.warm
    assert run.admission.warm_up.restarts == 1


def test_very_long_requests_do_not_block_the_warm_up():
    made = Admission(GateSettings())
    made.upstream_started("boot-1", SLOTS, 0.0)
    fill(made, 30, 0.0)
    for now_ms in range(0, 60_000, 5):
        made.tick(float(now_ms))
        if now_ms == 2_500:
            assert made.in_flight == 2
        made.offer(now_ms, FAR_MS, float(now_ms))
    assert made.in_flight == SLOTS
