"""When a gate pushes a load report to the entries."""

import pytest

from cicadawheel.gate.news import LoadChangeFilter
from cicadawheel.messages import LoadReport


def make_load(in_flight=0, slowness=1.0, queued=0, **fields):
    values = {"limit": 6, "cold_share": 1.0, "leaving": False, "boot": "b", **fields}
    return LoadReport(
        in_flight=in_flight,
        queued=queued,
        service_time_ms=100.0,
        revision=0,
        slowness=slowness,
        **values,
    )


@pytest.fixture
def news():
    made = LoadChangeFilter()
    assert made.should_push(make_load(1))
    return made


@pytest.mark.parametrize(
    "load",
    [
        make_load(1, 7.0),
        make_load(6),
        make_load(1, cold_share=0.3),
        make_load(1, leaving=True),
        make_load(1, boot="c"),
    ],
)
def test_change_that_affects_placement_is_reported_once(news, load):
    assert news.should_push(load)
    assert not news.should_push(load)


@pytest.mark.parametrize("load", [make_load(0), make_load(2), make_load(1, 1.2)])
def test_insignificant_change_is_not_reported(news, load):
    assert not news.should_push(load)


def test_end_of_a_slow_period_is_reported(news):
    news.should_push(make_load(1, 7.0))
    assert news.should_push(make_load(1, 1.0))


def test_small_changes_accumulate(news):
    assert not news.should_push(make_load(1, 1.3))
    assert news.should_push(make_load(1, 1.5))
