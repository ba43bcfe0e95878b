"""The Retry-After times of refused requests."""

from random import Random

import pytest

from cicadawheel.entry.retry_after import (
    JITTER_RANGE,
    MAX_DELAY_MS,
    MIN_DELAY_MS,
    retry_after_ms,
)
from cicadawheel.messages import RefusalReason

CALLERS = 200


def draw_delays(reason, wait_ms):
    draw = Random(1)
    return [retry_after_ms(reason, wait_ms, draw) for _ in range(CALLERS)]


def test_retry_times_are_spread_around_the_expected_wait():
    times_ms = draw_delays(RefusalReason.OVERLOAD, 400.0)
    assert min(times_ms) >= 400.0 * JITTER_RANGE[0]
    assert max(times_ms) <= 400.0 * JITTER_RANGE[1]
    intervals = {int(at_ms / 50) for at_ms in times_ms}
    assert len(intervals) >= 4


@pytest.mark.parametrize(
    ("wait_ms", "within_ms"), [(0.0, MIN_DELAY_MS), (60_000.0, MAX_DELAY_MS)]
)
def test_retry_times_are_bounded(wait_ms, within_ms):
    times_ms = draw_delays(RefusalReason.COLD, wait_ms)
    assert within_ms * JITTER_RANGE[0] <= min(times_ms)
    assert max(times_ms) <= within_ms * JITTER_RANGE[1]


@pytest.mark.parametrize("reason", [RefusalReason.QUARANTINED, RefusalReason.DEADLINE])
def test_no_retry_time_where_a_retry_is_useless(reason):
    assert retry_after_ms(reason, 100.0, Random(1)) == 0.0
