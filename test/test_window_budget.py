"""The budget that all entries share keeps its bound without a message."""

from random import Random

import pytest

from cicadawheel.entry.window_budget import SPENT_PART, WindowBudget

SHARE = 0.2
SLACK = 56.0
WINDOW_MS = 10_000.0


def test_slack_is_shared_among_the_entries():
    budget = WindowBudget(SHARE, SLACK, WINDOW_MS)
    budget.entries = 8
    taken = sum(budget.take("s", 1.0, 0.0) for _ in range(100))
    assert taken == int(SPENT_PART * SLACK / 8)


def test_what_was_spent_is_free_again_after_the_window():
    budget = WindowBudget(SHARE, 10.0, WINDOW_MS)
    while budget.take("s", 1.0, 0.0):
        pass
    assert not budget.take("s", 1.0, WINDOW_MS - 1.0)
    assert budget.take("s", 1.0, WINDOW_MS)


def test_services_have_budgets_of_their_own():
    budget = WindowBudget(0.0, 2.0, WINDOW_MS)
    assert budget.take("a", 1.0, 0.0)
    assert not budget.take("a", 1.0, 0.0)
    assert budget.take("b", 1.0, 0.0)


@pytest.mark.parametrize("seed", range(5))
def test_all_entries_together_keep_the_bound_in_any_window(seed):
    draw = Random(seed)
    budgets = [WindowBudget(SHARE, SLACK, WINDOW_MS) for _ in range(9)]
    for budget in budgets:
        budget.entries = 9
    requests, repeats = [], []
    now_ms = 0.0
    while now_ms < 60_000.0:
        now_ms += draw.expovariate(0.05 if now_ms < 20_000 else 0.005)
        budget = draw.choice(budgets)
        budget.call_began("s", now_ms)
        requests.append(now_ms)
        if draw.random() < 0.9 and budget.take("s", 1.0, now_ms):
            repeats.append(now_ms)
    assert repeats
    for end_ms in repeats:
        in_window = [at for at in repeats if end_ms - WINDOW_MS < at <= end_ms]
        asked = [at for at in requests if end_ms - WINDOW_MS < at <= end_ms]
        assert len(in_window) <= SHARE * len(asked) + SLACK


def test_calls_of_repeated_calls_are_in_the_bound_too():
    draw = Random(3)
    outer, inner = 1_890, 1_650
    slack, entries, inner_share = 172.0, 66, 0.7
    budgets = [WindowBudget(SHARE, slack, WINDOW_MS) for _ in range(entries)]
    repeats = 0
    for budget in budgets:
        budget.entries = entries
    for service, count in (("outer", outer), ("inner", inner)):
        for number in range(count):
            budget = draw.choice(budgets)
            budget.call_began(service, number * WINDOW_MS / count)
    for budget in budgets:
        while budget.take("outer", 1.0, WINDOW_MS - 1.0):
            repeats += draw.random() < inner_share
        while budget.take("inner", 1.0, WINDOW_MS - 1.0):
            repeats += 1
    assert repeats <= SHARE * inner + slack
