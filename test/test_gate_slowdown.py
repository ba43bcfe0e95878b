"""Slowdowns and unannounced cold starts are detected before the upstream fails."""

import pytest
from admission_run import FAR_MS, SLOTS, Run, SlowingUpstream

from cicadawheel.gate.admission import Admission
from cicadawheel.gate.decision import Result
from cicadawheel.settings import GateSettings

LOAD = 0.75
WARM_UP_MS = GateSettings().warm_up_ms


def start_run(upstream):
    run = Run(upstream)
    run.admission.upstream_started("boot-1", SLOTS, 0.0)
    rate_per_ms = LOAD * SLOTS / upstream.behaviour.service_time_ms
    run.run(4 * WARM_UP_MS, rate_per_ms)
    assert run.admission.warm_up.warm
    return run, rate_per_ms


def slow_by(factor, every_ms, for_ms):
    """Return noise that slows the upstream down for a part of each period."""
    return lambda now_ms, service_ms: (
        service_ms * factor if now_ms % every_ms < for_ms else service_ms
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("service_ms", [5.0, 20.0, 50.0])
def test_unannounced_cold_start_causes_no_failure(service_ms, seed):
    upstream = SlowingUpstream(service_ms, seed)
    run, rate_per_ms = start_run(upstream)
    for _ in range(2):
        restarts = run.admission.warm_up.restarts
        upstream.cold.restart(run.now_ms)
        run.run(run.now_ms + 2 * WARM_UP_MS, rate_per_ms)
        assert upstream.failures == []
        assert run.admission.warm_up.restarts == restarts + 1
        assert run.admission.warm_up.warm


@pytest.mark.parametrize(("service_ms", "seed"), [(5.0, 1), (50.0, 1), (50.0, 2)])
@pytest.mark.parametrize(
    "disturb",
    [None, slow_by(1.5, 2_000.0, 400.0), slow_by(2.0, 2_000.0, 100.0)],
    ids=["quiet", "slower", "spells"],
)
def test_noise_is_not_taken_for_a_cold_start(service_ms, seed, disturb):
    run, rate_per_ms = start_run(SlowingUpstream(service_ms, seed, disturb=disturb))
    refused = len(run.refused)
    offered = run.ticket
    run.run(run.now_ms + 10 * WARM_UP_MS, rate_per_ms)
    assert run.admission.warm_up.restarts == 1
    assert len(run.refused) - refused <= 0.05 * (run.ticket - offered)


def test_lasting_slowdown_restarts_the_warm_up_once():
    upstream = SlowingUpstream(20.0, 1)
    run, rate_per_ms = start_run(upstream)
    upstream.disturb = slow_by(2.0, 1.0, 1.0)
    run.run(run.now_ms + 10 * WARM_UP_MS, rate_per_ms / 2)
    assert run.admission.warm_up.restarts == 2
    assert run.admission.warm_up.warm


@pytest.fixture
def admission():
    """Return a warm admission that has learnt service times of 5 ms."""
    made = Admission(GateSettings())
    made.upstream_started("boot-1", SLOTS, 0.0)
    for i in range(200):
        made.offer(-i, FAR_MS, i * 30.0)
        made.sent(-i, i * 30.0)
        made.finish(-i, Result.ANSWERED, i * 30.0 + 5.0)
    assert made.warm_up.warm
    return made


@pytest.mark.parametrize("how", ["uploads", "downloads", "waits"])
def test_slow_callers_do_not_count_as_late_answers(admission, how):
    for ticket in range(SLOTS):
        admission.offer(ticket, FAR_MS, 9_000.0)
        if how != "uploads":
            admission.sent(ticket, 9_000.0)
        if how == "downloads":
            admission.replying(ticket)
    for after_ms in (5.0, 10.0, 15.0, 30.0):
        admission.check_late(9_000.0 + after_ms)
    late = admission.slowdown.suspected or not admission.warm_up.warm
    assert late == (how == "waits")
