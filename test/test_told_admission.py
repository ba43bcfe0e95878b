"""Admission control for an upstream that reports its load."""

import itertools

import pytest

from cicadawheel.announcement import Announcement, UpstreamLoad
from cicadawheel.gate.decision import Result, SchedulingHints, Verdict
from cicadawheel.gate.gate import RESTART_MS, Gate
from cicadawheel.gate.reported_admission import ReportedAdmission
from cicadawheel.messages import RefusalReason
from cicadawheel.settings import GateSettings
from cicadawheel.timer import make_timer_service

SLOTS = 4
FAR_MS = 100_000.0


@pytest.fixture
def admission():
    made = ReportedAdmission()
    made.upstream_started("1", SLOTS, 0.0)
    return made


def fill(admission, now_ms=0.0):
    for ticket in range(1_000, 1_000 + SLOTS):
        assert admission.offer(ticket, FAR_MS, now_ms).verdict is Verdict.ADMIT


def report_slowness(admission, slowness):
    admission.load_reported(UpstreamLoad(SLOTS, SLOTS, slowness=slowness))


def test_requests_in_flight_are_limited_to_the_slots(admission):
    fill(admission)
    assert admission.offer(1, FAR_MS, 0.0).verdict is Verdict.WAIT
    admitted = admission.finish(1_000, Result.ANSWERED, 50.0, 50.0)
    assert [(one.ticket, one.verdict) for one in admitted] == [(1, Verdict.ADMIT)]


def test_queue_is_ordered_by_priority_and_reachable_target(admission):
    fill(admission)
    admission.offer(1, FAR_MS, 0.0, hints=SchedulingHints(50_000.0, 2))
    admission.offer(2, FAR_MS, 0.0, hints=SchedulingHints(50.0, 1))
    admission.offer(3, FAR_MS + 1, 0.0, hints=SchedulingHints(50_000.0, 1))
    order = []
    for ticket in range(1_000, 1_004):
        order += admission.finish(ticket, Result.ANSWERED, 200.0, 90.0)
    assert [decision.ticket for decision in order] == [3, 2, 1]


def test_request_that_cannot_be_answered_in_time_is_refused_at_once(admission):
    fill(admission)
    decision = admission.offer(1, 110.0, 0.0)
    assert decision.reason is RefusalReason.QUEUE_DEADLINE


def test_queued_request_is_refused_once_it_cannot_be_answered_in_time(admission):
    fill(admission)
    assert admission.offer(1, 400.0, 0.0).verdict is Verdict.WAIT
    assert admission.tick(200.0) == []
    decisions = admission.tick(310.0)
    assert [one.reason for one in decisions] == [RefusalReason.QUEUE_DEADLINE]


def test_queued_request_is_refused_when_the_upstream_slows_down(admission):
    fill(admission)
    admission.offer(1, FAR_MS, 0.0)
    report_slowness(admission, 7.0)
    decisions = admission.tick(10.0)
    assert [one.reason for one in decisions] == [RefusalReason.OVERLOAD]


def test_request_that_arrived_at_a_slow_upstream_stays_queued(admission):
    fill(admission)
    report_slowness(admission, 7.0)
    admission.offer(1, FAR_MS, 0.0)
    assert admission.tick(10.0) == []


def test_rate_limit_of_a_cold_upstream_holds_in_any_second(admission):
    admission.upstream_started("2", SLOTS, 0.0, cold_ms=3_000.0)
    admission.set_cold_limit(6.4)
    admitted_at_ms = []
    for ticket, now_ms in enumerate(range(0, 3_000, 10)):
        decisions = [admission.offer(ticket, FAR_MS, float(now_ms))]
        decisions += admission.tick(float(now_ms))
        for decision in decisions:
            if decision.verdict is Verdict.ADMIT:
                admitted_at_ms.append(now_ms)
                admission.finish(decision.ticket, Result.ANSWERED, now_ms, 1.0)
    for at_ms in admitted_at_ms:
        second = [one for one in admitted_at_ms if at_ms <= one < at_ms + 1_000]
        assert len(second) <= 6
    assert len(admitted_at_ms) >= 17


def test_gates_that_start_again_keep_what_a_cold_upstream_bears_in_any_second():
    admitted = []
    starts_ms = (0, 900, 2_100, 2_400, 4_200, 6_000)
    for started_ms, ends_ms in itertools.pairwise(starts_ms):
        admission = ReportedAdmission()
        admission.upstream_started("2", 100, started_ms, cold_ms=10_000.0)
        admission.set_cold_limit(6.0)
        for now_ms in range(started_ms, ends_ms, 10):
            offered = admission.offer(now_ms, FAR_MS, float(now_ms))
            if offered.verdict is Verdict.ADMIT:
                admitted.append(now_ms)
            admitted += [now_ms for _ in admission.tick(float(now_ms))]
    assert admitted
    for since_ms in admitted:
        assert sum(since_ms <= at < since_ms + 1_000 for at in admitted) <= 6


def test_gate_that_has_run_for_a_second_admits_to_a_cold_upstream_at_once():
    admission = ReportedAdmission()
    admission.upstream_started("1", SLOTS, 1_500.0, 3_000.0, sole_gate_since_ms=400.0)
    admission.set_cold_limit(3.0)
    verdicts = [admission.offer(ticket, FAR_MS, 1_500.0).verdict for ticket in range(4)]
    assert verdicts == [Verdict.ADMIT] * 3 + [Verdict.WAIT]


def test_cold_limit_above_hundreds_a_second_holds():
    admission = ReportedAdmission()
    admission.upstream_started("1", 2_000, 0.0)
    admission.cold_reported(3_000.0, 0.0)
    admission.set_cold_limit(300.0)
    verdicts = [
        admission.offer(ticket, FAR_MS, ticket / 10).verdict for ticket in range(900)
    ]
    assert verdicts.count(Verdict.ADMIT) == 300


def test_unknown_cold_limit_refuses_what_it_would_not_admit_in_time(admission):
    admission.cold_reported(60_000.0, 0.0)
    assert admission.offer(1, 2_000.0, 0.0).verdict is Verdict.ADMIT
    assert admission.offer(2, 2_000.0, 0.0).verdict is Verdict.WAIT
    assert admission.offer(3, 2_000.0, 0.0).reason is RefusalReason.COLD


def test_upstream_that_reports_the_end_of_its_cold_start_gets_all_slots(admission):
    admission.upstream_started("2", SLOTS, 0.0, cold_ms=3_000.0)
    admission.set_cold_limit(1.0)
    admission.cold_reported(0.0, 10.0)
    fill(admission, 10.0)


def test_cold_start_after_the_announcement_limits_the_rate(admission):
    admission.set_cold_limit(2.0)
    admission.cold_reported(2_000.0, 0.0)
    verdicts = [admission.offer(ticket, 900.0, 0.0).verdict for ticket in range(4)]
    assert verdicts.count(Verdict.ADMIT) == 2


def test_closed_gate_refuses_queued_requests(admission):
    fill(admission)
    admission.offer(1, FAR_MS, 0.0)
    decisions = admission.close(RefusalReason.LEAVING)
    assert [one.ticket for one in decisions] == [1]
    assert admission.offer(2, FAR_MS, 0.0).reason is RefusalReason.LEAVING


def test_load_report_has_slowness_and_queue_length(admission):
    fill(admission)
    admission.offer(1, FAR_MS, 0.0)
    report_slowness(admission, 7.0)
    load = admission.load(3, 0.0)
    assert (load.in_flight, load.queued, load.limit) == (SLOTS, 1, SLOTS)
    assert load.slowness == 7.0


def test_answers_of_a_slow_upstream_do_not_change_the_work_time(admission):
    before_ms = admission.work_ms
    fill(admission)
    report_slowness(admission, 7.0)
    admission.finish(1_000, Result.ANSWERED, 700.0, 700.0)
    assert admission.work_ms == before_ms


def run_both_priorities(admission, count=20):
    """Admit and finish requests of both priorities, one at a time."""
    for number in range(count):
        for priority in (1, 2):
            ticket = 10_000 + 2 * number + priority
            hints = SchedulingHints(FAR_MS, priority, 10.0)
            admission.offer(ticket, FAR_MS, 0.0, hints=hints)
            admission.finish(ticket, Result.ANSWERED, 0.0, 10.0)


def test_slot_is_reserved_for_a_higher_priority(admission):
    run_both_priorities(admission)
    low, high = SchedulingHints(FAR_MS, 2, 600.0), SchedulingHints(FAR_MS, 1, 40.0)
    verdicts = [
        admission.offer(n, FAR_MS, 0.0, hints=low).verdict for n in range(SLOTS)
    ]
    assert verdicts == [Verdict.ADMIT] * (SLOTS - 1) + [Verdict.WAIT]
    assert admission.offer(99, FAR_MS, 0.0, hints=high).verdict is Verdict.ADMIT


def test_low_priority_may_use_all_slots_without_other_requests(admission):
    low = SchedulingHints(FAR_MS, 2, 600.0)
    verdicts = [
        admission.offer(n, FAR_MS, 0.0, hints=low).verdict for n in range(SLOTS)
    ]
    assert verdicts == [Verdict.ADMIT] * SLOTS


def test_reservation_ends_when_the_higher_priority_stops(admission):
    run_both_priorities(admission, 1)
    for number in range(40):
        ticket = 20_000 + number
        at_ms = number * 500.0
        admission.offer(ticket, FAR_MS, at_ms, hints=SchedulingHints(FAR_MS, 2, 600.0))
        admission.finish(ticket, Result.ANSWERED, at_ms, 10.0)
    low = SchedulingHints(FAR_MS, 2, 600.0)
    verdicts = [
        admission.offer(n, FAR_MS, 20_000.0, hints=low).verdict for n in range(SLOTS)
    ]
    assert verdicts == [Verdict.ADMIT] * SLOTS


@pytest.mark.parametrize(
    ("started_before_ms", "verdict"),
    [(0.0, Verdict.ADMIT), (10 * RESTART_MS, Verdict.WAIT)],
)
def test_starting_gate_waits_only_if_another_may_have_sent(started_before_ms, verdict):
    gate = Gate(GateSettings(limit="told"), "dc", make_timer_service(), "n1")
    started_unix_ms = int(gate.clock.unix_ms() - started_before_ms)
    gate.announce(
        Announcement(
            "u",
            "1",
            "s",
            "v1",
            1,
            SLOTS,
            20,
            cold_ms=60_000.0,
            started_unix_ms=started_unix_ms,
        )
    )
    gate.admission.set_cold_limit(2.0)
    now_ms = gate.clock.now_ms()
    assert gate.admission.offer(1, now_ms + FAR_MS, now_ms).verdict is verdict
