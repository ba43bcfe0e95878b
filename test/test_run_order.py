"""Which requests of a connection run side by side, without a connection."""

from types import SimpleNamespace

import pytest

from cicadawheel.http.run_order import DEFAULT_LIMITS, RunOrder

REPEATABLE, ONCE, PARTIAL = "repeatable", "once", "partial"


def make_places(*kinds):
    return [
        SimpleNamespace(runs_once=kind is ONCE, whole=kind is not PARTIAL, waits=True)
        for kind in kinds
    ]


@pytest.mark.parametrize(
    ("kinds", "startable"),
    [
        ([ONCE, REPEATABLE], [0]),
        ([REPEATABLE, ONCE, REPEATABLE], [0]),
        ([PARTIAL], [0]),
        ([REPEATABLE, REPEATABLE, PARTIAL], [0, 1]),
    ],
)
def test_requests_run_side_by_side_unless_one_runs_once(kinds, startable):
    places = make_places(*kinds)
    started = [id(place) for place in RunOrder(DEFAULT_LIMITS).startable(places)]
    assert started == [id(places[number]) for number in startable]


def test_callers_that_send_ahead_wait_for_the_slowest_and_not_for_the_sum():
    """Each request takes its work; one that takes ten times as long is in front."""
    work_ms = [400.0] + [40.0] * 9

    def answered_ms(kinds):
        places, order = make_places(*kinds), RunOrder(DEFAULT_LIMITS)
        running, ends_ms, now_ms = {}, [], 0.0
        waiting = list(zip(places, work_ms, strict=True))
        while places:
            for place, own_ms in waiting:
                if place.waits and order.may_start(places, place):
                    place.waits = False
                    running[id(place)] = now_ms + own_ms
            now_ms = max(now_ms, running[id(places.pop(0))])
            ends_ms.append(now_ms)
        return ends_ms

    assert answered_ms([REPEATABLE] * 10) == [400.0] * 10
    assert answered_ms([ONCE] * 10)[-1] == sum(work_ms)
