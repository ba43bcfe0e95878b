"""Each gate enforces its part of the retry budget of a service."""

from random import Random

import pytest

from cicadawheel.gate.repeat_budget import (
    FORMER_GATE_WINDOWS,
    STARTUP_PART,
    VIEW_PROPAGATION_MS,
    RepeatBudget,
)
from cicadawheel.gate.repeat_need import HEDGE_PART
from cicadawheel.gate.repeats import GateRepeats, RepeatedRuns
from cicadawheel.messages import CallOpen, Repeat

SHARE = 0.2
SLACK = 56.0
WINDOW_MS = 10_000.0
LONG_AGO_MS = 100_000.0


class FixedClock:
    """A clock that always returns 0."""

    def now_ms(self):
        return 0.0


def make_budget(share=SHARE, slack=SLACK, gates=1):
    budget = RepeatBudget(share, slack, WINDOW_MS, -LONG_AGO_MS)
    budget.share_with(gates, 0.0)
    return budget


def send_repeat(budget, now_ms, part=1.0):
    """Send one repeat if the budget allows it, and return whether it does."""
    allowed = budget.reserve(now_ms, part)
    if allowed:
        budget.spend(now_ms)
    return allowed


def make_call(repeat, request="r"):
    fields = ("s", "", "GET", "/", (), b"", False, 100.0, 0, True, "f")
    return CallOpen(0, request, *fields, repeat=repeat)


def test_slack_is_divided_among_the_gates():
    budget = make_budget(gates=8)
    assert sum(send_repeat(budget, 0.0) for _ in range(100)) == int(SLACK / 8)


def test_spent_budget_is_available_again_after_the_window():
    budget = make_budget(slack=5.0)
    while send_repeat(budget, 0.0):
        pass
    assert not send_repeat(budget, WINDOW_MS - 1.0)
    assert send_repeat(budget, WINDOW_MS)


def test_hedges_may_use_only_a_part_of_the_budget():
    budget = make_budget(slack=8.0)
    assert sum(send_repeat(budget, 0.0, HEDGE_PART) for _ in range(20)) == 6
    assert sum(send_repeat(budget, 0.0) for _ in range(20)) == 2


def test_gate_that_starts_spends_only_a_part_of_its_own_earnings():
    budget = RepeatBudget(SHARE, SLACK, WINDOW_MS, 0.0)
    assert not send_repeat(budget, WINDOW_MS)
    for _ in range(10):
        budget.request_sent(WINDOW_MS)
    assert (
        sum(send_repeat(budget, WINDOW_MS) for _ in range(10))
        == 10 * SHARE * STARTUP_PART
    )
    assert send_repeat(budget, WINDOW_MS + VIEW_PROPAGATION_MS)


def test_slack_of_former_gates_is_redistributed_after_a_delay():
    budget = make_budget(gates=8)
    budget.share_with(4, 0.0)
    assert budget.report(WINDOW_MS).limit == SLACK / 8
    assert budget.report(FORMER_GATE_WINDOWS * WINDOW_MS).limit == SLACK / 4


def test_budget_restarts_with_another_service():
    repeats = GateRepeats(FixedClock())
    repeats.budget = make_budget(slack=8.0)
    repeats.share_with("s", 2)
    assert repeats.report().limit == 4.0
    repeats.share_with("other", 2)
    assert repeats.report().limit == 0.0


def test_reservation_counts_until_it_is_cancelled():
    budget = make_budget(slack=1.0)
    assert budget.reserve(0.0)
    assert not budget.reserve(0.0)
    budget.cancel_reservation()
    assert budget.reserve(0.0)


def test_request_that_is_never_sent_costs_nothing():
    repeats = GateRepeats(FixedClock())
    repeats.budget = make_budget(slack=1.0)
    assert repeats.offer(1, make_call(Repeat.REFUSED))
    assert not repeats.offer(2, make_call(Repeat.FAILED))
    assert not repeats.may_repeat()
    repeats.ended(1)
    assert repeats.offer(3, make_call(Repeat.WITHIN))
    repeats.sent(3, make_call(Repeat.WITHIN), 100.0)
    repeats.ended(3)
    assert repeats.report().spent == 1
    assert repeats.offer(4, make_call(Repeat.FIRST))


def test_calls_of_repeats_are_recognised_by_their_ids():
    runs = RepeatedRuns()
    runs.add("4f", 1_000.0, 0.0)
    assert runs.contains("4f.1")
    assert runs.contains("4f")
    assert not runs.contains("4f2")
    assert not runs.contains("5e.1")
    runs.add("5e", 9_000.0, 8_000.0)
    assert not runs.contains("4f.1")


@pytest.mark.parametrize("seed", range(5))
def test_all_gates_together_keep_the_budget_in_any_window(seed):
    draw = Random(seed)
    budgets = [make_budget(gates=9) for _ in range(9)]
    requests, repeats = [], []
    now_ms = 0.0
    while now_ms < 60_000.0:
        now_ms += draw.expovariate(0.05 if now_ms < 20_000 else 0.005)
        budget = draw.choice(budgets)
        budget.request_sent(now_ms)
        requests.append(now_ms)
        if draw.random() < 0.9 and send_repeat(budget, now_ms):
            repeats.append(now_ms)
    assert repeats
    for end_ms in repeats:
        in_window = [at for at in repeats if end_ms - WINDOW_MS < at <= end_ms]
        asked = [at for at in requests if end_ms - WINDOW_MS < at <= end_ms]
        assert len(in_window) <= SHARE * len(asked) + SLACK
