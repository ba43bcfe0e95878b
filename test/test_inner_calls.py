"""Outer requests are refused only if their calls are almost surely refused."""

import pytest

from cicadawheel.gate.inner_calls import HALF_LIFE_S, InnerCalls

KIND = "GET seats"
RUNS = 40


def play(refused_share, calling_share):
    """Return what is known after runs that fail if one of their two calls does."""
    inner = InnerCalls()
    refusals = 0.0
    for number in range(RUNS):
        calls = number % 10 < 10 * calling_share
        failed = False
        for _ in range(2 if calls else 0):
            refusals += refused_share
            refused = refusals >= 1.0
            refusals -= refused
            failed = failed or refused
            inner.call_ended(KIND, refused, 10.0 * number)
        inner.run_ended(KIND, failed, 10.0 * number)
    return inner, 10.0 * RUNS


@pytest.mark.parametrize(
    ("refused_share", "calling_share", "refused"),
    [(1.0, 1.0, True), (0.55, 1.0, False), (1.0, 0.7, False), (0.0, 1.0, False)],
)
def test_only_runs_in_vain_are_refused(refused_share, calling_share, refused):
    inner, now_ms = play(refused_share, calling_share)
    assert inner.are_refused(KIND, now_ms) is refused
    assert not inner.are_refused("GET other", now_ms)


def test_a_run_is_tried_again_after_some_time():
    inner, now_ms = play(1.0, 1.0)
    assert not inner.are_refused(KIND, now_ms + 2.5 * HALF_LIFE_S * 1_000.0)


def test_room_that_is_back_shows_at_the_first_calls():
    inner, now_ms = play(1.0, 1.0)
    for number in range(3):
        inner.call_ended(KIND, refused=False, now_ms=now_ms + number)
    assert not inner.are_refused(KIND, now_ms + 3.0)
