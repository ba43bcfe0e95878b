"""Releases: statistics, stages, shares, withdrawal, and simulated releases."""

import random

import pytest
from msgspec.structs import replace

from bench.releases.fault import Fault
from bench.releases.model import run_release
from cicadawheel.configuration import (
    Configuration,
    ReleaseHabits,
    ReleaseRule,
    ReleaseState,
    ServiceRule,
)
from cicadawheel.control.command import (
    AdvanceRelease,
    OutcomeState,
    StartRelease,
    StopRelease,
)
from cicadawheel.release.chooser import VersionChooser
from cicadawheel.release.evidence import Counts
from cicadawheel.release.judge import RouteBlock, Verdict, VersionJudge
from cicadawheel.release.plan import (
    deadline_warning,
    make_stages,
    stage_index,
    stage_ms,
)
from cicadawheel.release.statistics import Comparison, log_e_value

HABITS = ReleaseHabits()
UPSTREAMS = {
    version: tuple(f"{version}-{n}" for n in range(5)) for version in ("v1", "v2")
}


@pytest.fixture
def started(driver):
    """Return a driver with an active release."""
    outcome = start(driver, "op-1")
    assert outcome.state is OutcomeState.DONE
    return driver


def start(driver, operation, version="v2", deadline_ms=600_000):
    return driver.operate(
        StartRelease,
        operation,
        service="booking",
        version=version,
        deadline_at_ms=driver.now_ms + deadline_ms,
    )


def advance(driver, state, share):
    return driver.apply(
        AdvanceRelease,
        service="booking",
        version="v2",
        state=state,
        share=share,
        reason="test",
    ).state


def current(driver):
    configuration = driver.state.configuration
    return (
        configuration.release_of("booking").state,
        configuration.services["booking"].current_version,
        configuration.is_withdrawn("booking", "v2"),
    )


def test_release_state_transitions(started):
    assert advance(started, ReleaseState.STAGED, 0.05) is OutcomeState.DONE
    assert advance(started, ReleaseState.RISING, 0.4) is OutcomeState.DONE
    assert current(started) == (ReleaseState.RISING, "v1", False)
    assert advance(started, ReleaseState.DONE, 1.0) is OutcomeState.DONE
    assert current(started) == (ReleaseState.DONE, "v2", False)
    assert advance(started, ReleaseState.RISING, 0.2) is OutcomeState.DONE
    assert current(started) == (ReleaseState.RISING, "v1", False)
    assert advance(started, ReleaseState.TAKEN_BACK, 0.0) is OutcomeState.DONE
    assert current(started) == (ReleaseState.TAKEN_BACK, "v1", True)


def test_withdrawal_persists_until_a_new_release_is_started(started):
    advance(started, ReleaseState.TAKEN_BACK, 0.0)
    assert advance(started, ReleaseState.RISING, 0.4) is OutcomeState.REFUSED
    started.restart()
    assert current(started) == (ReleaseState.TAKEN_BACK, "v1", True)
    assert start(started, "op-2").state is OutcomeState.DONE
    assert current(started) == (ReleaseState.STAGED, "v1", False)


def test_stopped_release_cannot_be_stopped_again(started):
    stopped = started.operate(StopRelease, "op-2", service="booking")
    again = started.operate(StopRelease, "op-3", service="booking")
    assert (stopped.state, again.state) == (OutcomeState.DONE, OutcomeState.REFUSED)
    assert current(started) == (ReleaseState.STOPPED, "v1", True)


def test_share_above_the_proof_limit_is_refused(started):
    assert advance(started, ReleaseState.STAGED, 0.06) is OutcomeState.REFUSED


@pytest.mark.parametrize(
    ("version", "deadline_ms", "text"),
    [("v1", 1_000, "runs version v1"), ("v2", -5, "the deadline passed 5 ms ago")],
)
def test_start_is_refused_with_its_reason(driver, version, deadline_ms, text):
    outcome = start(driver, "op-1", version, deadline_ms)
    assert outcome.state is OutcomeState.REFUSED
    assert text in outcome.message


def test_second_release_is_refused_while_one_is_active(started):
    assert "stop it first" in start(started, "op-2", "v3").message


def test_start_with_a_short_deadline_gives_a_warning(driver):
    assert "the release will be late" in start(driver, "op-1", "v2", 5_000).message


def test_change_of_a_share_is_no_revision_conflict(started):
    seen = started.state.configuration.revision
    advance(started, ReleaseState.STAGED, 0.01)
    stop = started.operate(StopRelease, "op-2", seen, service="booking")
    assert stop.state is OutcomeState.DONE


def test_command_with_a_revision_before_a_withdrawal_conflicts(started):
    seen = started.state.configuration.revision
    advance(started, ReleaseState.TAKEN_BACK, 0.0)
    outcome = started.operate(StopRelease, "op-2", seen, service="booking")
    assert outcome.state is OutcomeState.CONFLICT
    assert "taken back" in outcome.message


def test_stages_never_shorten_below_the_minimum():
    stages = make_stages(HABITS)
    assert [stage.share for stage in stages] == [0.01, 0.05, 0.1, 0.2, 0.4, 0.7]
    assert stage_ms(stages, 1, 80_000, HABITS) == 30_000
    assert stage_ms(stages, 1, 1_000, HABITS) == HABITS.stage_min_ms
    assert [stage_index(stages, share) for share in (0, 0.05, 0.7)] == [-1, 1, 5]


def test_stages_leave_time_for_a_change_before_the_deadline():
    stages = make_stages(HABITS)
    without_minimum = replace(HABITS, stage_min_ms=0.0)
    assert stage_ms(stages, 5, 4_000, without_minimum) == 1_000
    assert stage_ms(stages, 4, 4_000, without_minimum) == 500
    assert stage_ms(stages, 5, 2_000, without_minimum) == 0


def test_short_deadline_warning_states_both_times():
    rule = ReleaseRule("s", "v2", "v1", ReleaseState.STAGED, 0, 0, 30_000)
    assert "leaves 30 s, the stages need 78 s" in deadline_warning(rule, HABITS)
    assert deadline_warning(replace(rule, deadline_at_ms=80_000), HABITS) == ""


def test_mean_e_value_of_equal_versions_is_one():
    rng = random.Random(7)
    values = []
    for _ in range(20_000):
        hits = [rng.random() < 0.2 for _ in range(40)]
        block = Comparison(sum(hits[:10]), 10, sum(hits[10:]), 30)
        values.append(2.718281828 ** log_e_value(block, 3.0))
    assert sum(values) / len(values) == pytest.approx(1.0, abs=0.05)


def make_counts(ended, failed, latency_bucket=28):
    return Counts(ended, failed, {latency_bucket: ended - failed})


def judge_blocks(*blocks):
    judge = VersionJudge(HABITS, routes=1)
    for new, old in blocks:
        judge.add({"book": RouteBlock(new, old)})
    return judge.judge()


def test_version_that_fails_is_bad_within_two_blocks():
    block = (make_counts(10, 10), make_counts(90, 0))
    judgement = judge_blocks(block, block)
    assert judgement.verdict is Verdict.BAD
    assert "book: 20 of 20 calls failed, 0 of 180" in judgement.reason


def test_disturbance_of_both_versions_is_not_bad():
    block = (make_counts(10, 5, 40), make_counts(90, 45, 40))
    assert judge_blocks(*[block] * 100).verdict is not Verdict.BAD


def test_slow_version_is_bad_only_after_a_sustained_slowdown():
    usual = (make_counts(20, 0), make_counts(180, 0))
    slow = (make_counts(20, 0, 35), make_counts(180, 0))
    assert judge_blocks(usual, *[slow] * 3).verdict is not Verdict.BAD
    assert judge_blocks(usual, *[slow] * 12).verdict is Verdict.BAD


def test_failing_route_is_bad_without_concurrent_calls_of_the_old_version():
    judge = VersionJudge(HABITS, routes=2)
    search = RouteBlock(make_counts(10, 2), make_counts(40, 8))
    upload = RouteBlock(make_counts(1, 1), make_counts(0, 0))
    judge.add({"upload": RouteBlock(make_counts(0, 0), make_counts(200, 0))})
    for _ in range(14):
        judge.add({"search": search, "upload": upload})
    judgement = judge.judge()
    assert judgement.verdict is Verdict.BAD
    assert judgement.reason.startswith("upload: 14 of 14 calls failed")


def test_route_that_fails_equally_on_both_versions_is_not_bad():
    rng = random.Random(11)
    judge = VersionJudge(HABITS, routes=2)
    for _ in range(4_000):
        counts = {(n, v): Counts(0, 0, {}) for n in ("search", "upload") for v in "on"}
        for _ in range(50):
            name = "upload" if rng.random() < 0.05 else "search"
            version = "n" if rng.random() < 0.2 else "o"
            counts[name, version].add(name == "upload" and rng.random() < 0.5, 10.0)
        judge.add(
            {
                name: RouteBlock(counts[name, "n"], counts[name, "o"])
                for name in ("search", "upload")
            }
        )
        assert judge.judge().verdict is not Verdict.BAD


def make_configuration(share, state=ReleaseState.STAGED):
    release = ReleaseRule("booking", "v2", "v1", state, share, 0, 600_000)
    rule = ServiceRule("booking", 1_000.0, current_version="v1")
    return Configuration(services={"booking": rule}, releases=(release,))


def choose(chooser, configuration, calls, spacing_ms=5.0, **fields):
    return [
        chooser.choose(
            "booking", configuration, UPSTREAMS, number * spacing_ms, **fields
        )
        for number in range(calls)
    ]


@pytest.mark.parametrize("share", [0.01, 0.05, 0.4])
def test_share_is_met_and_never_exceeded_by_more_than_one_call(share):
    chooser = VersionChooser(random.Random(3))
    choices = choose(chooser, make_configuration(share), 20_000)
    new = sum(choice.version == "v2" for choice in choices)
    assert 0.75 * share * 20_000 <= new <= share * 20_000 + 1


def test_proof_stage_gives_one_upstream_its_full_load_in_bursts():
    chooser = VersionChooser(random.Random(3))
    choices = choose(chooser, make_configuration(0.05), 20_000)
    compared = [choice for choice in choices if choice.compared]
    new = [choice for choice in compared if choice.version == "v2"]
    assert len(compared) == pytest.approx(5_000, rel=0.01)
    assert len(new) / len(compared) == pytest.approx(0.2, abs=0.04)
    assert {choice.upstream for choice in new} == set(UPSTREAMS["v2"])


def test_retries_and_withdrawn_releases_use_the_old_version():
    chooser = VersionChooser(random.Random(3))
    configuration = make_configuration(0.4, ReleaseState.RISING)
    assert {c.version for c in choose(chooser, configuration, 99, retry=True)} == {"v1"}
    chooser.withdraw(configuration.releases[0])
    assert {c.version for c in choose(chooser, configuration, 99)} == {"v1"}


def test_good_release_as_a_session(snapshot):
    outcome = run_release(Fault.GOOD, seed=1)
    assert outcome.is_right
    assert outcome.events == snapshot


def test_release_that_fails_on_one_route_as_a_session(snapshot):
    outcome = run_release(Fault.FAILS_ROUTE, seed=1)
    assert outcome.state is ReleaseState.TAKEN_BACK
    assert outcome.new_share_proof <= HABITS.proof_share_limit
    assert outcome.events == snapshot


def test_stages_of_a_short_release_begin_at_the_limit():
    habits = ReleaseHabits(proof_share_limit=0.1, first_share=0.1, stage_min_ms=1_000.0)
    shares = [stage.share for stage in make_stages(habits)]
    assert shares == [0.1, 0.2, 0.4, 0.7]


def test_short_release_of_a_quiet_service_is_done_in_time():
    habits = ReleaseHabits(0.1, 1_000.0, first_share=0.1, calls_min=10)
    stages = make_stages(habits)
    left_ms = 13_000.0
    for index in range(len(stages)):
        length_ms = stage_ms(stages, index, left_ms, habits)
        calls_per_s = 40.0 * stages[index].share
        left_ms -= max(length_ms, habits.calls_min / calls_per_s * 1_000.0) + 500.0
    assert left_ms >= 0.0
