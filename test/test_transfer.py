"""Large answers avoid busy links, and gates tell how busy theirs is."""

import pytest
from site_in_loop import call, until
from test_load_news import ENTRIES, LATER_MS, make_load
from test_placement import make_member, make_router

from cicadawheel.entry.placement import CallProfile
from cicadawheel.entry.transfer import LARGE_ANSWER_BYTES, LinkMeter, delayed_ms
from cicadawheel.gate.news import LINK_USE_STEP, LoadChangeFilter
from cicadawheel.node.bandwidth import LinkWatch

MBPS = 5.0
ANSWER_BYTES = 90_000
STEP_MS = 100.0


def measured(sent, received, steps=30, mbps=MBPS):
    """Return the meter after steps in which so many bytes passed."""
    meter = LinkMeter(mbps)
    for step in range(steps + 1):
        meter.update(step * sent, step * received, step * STEP_MS)
    return meter


def test_use_is_that_of_the_busier_direction_and_falls_when_idle():
    half = MBPS * 1e6 / 8 * STEP_MS / 1_000 / 2
    meter = measured(half / 5, half)
    assert measured(half, half / 5).use == meter.use == pytest.approx(0.5, abs=0.02)
    meter.update(6 * half, 30 * half, 6_000.0)
    assert meter.use < 0.05
    assert measured(10 * half, 0).use == 1.0
    assert measured(half, half, mbps=0.0).use == 0.0


def test_count_that_falls_with_a_closed_stream_is_no_traffic():
    meter = measured(0, 30_000)
    before = meter.use
    meter.update(0, 1_000, 3_100.0)
    assert 0.0 < meter.use < before


def test_large_answers_take_longer_on_the_busier_of_both_links():
    meter = LinkMeter(MBPS)
    idle_ms = meter.answer_ms(ANSWER_BYTES)
    assert idle_ms == pytest.approx(144.0)
    assert delayed_ms(idle_ms, 0.5, 0.1) == delayed_ms(idle_ms, 0.2, 0.5) == 288.0
    assert delayed_ms(idle_ms, 1.0, 1.0) < 2_000.0
    assert meter.answer_ms(LARGE_ANSWER_BYTES - 1) == 0.0
    assert LinkMeter(0.0).answer_ms(ANSWER_BYTES) == 0.0


@pytest.mark.parametrize(
    ("own", "use", "slowness", "picked"), [("", 0.9, 1.0, "n1"), ("n0", 0.0, 1.5, "n0")]
)
def test_large_answers_avoid_a_busy_link_and_keep_to_the_own_upstream(
    own, use, slowness, picked
):
    router = make_router([make_member("n0"), make_member("n1")], node=own)
    router.observe("n0", make_load(0, slowness, link_use=use), 0.0)
    router.observe("n1", make_load(0, 1.3 if use else 1.0), 0.0)
    large = CallProfile(160.0, transfer_ms=144.0)
    assert router.pick("s", "", set(), 0.0, large).node == picked
    assert router.pick("s", "", set(), 0.0, CallProfile(160.0)).node != picked


def test_only_a_big_step_of_the_use_is_reported():
    news = LoadChangeFilter()
    assert news.should_push(make_load(1), 0.0, ENTRIES)
    steps = [LINK_USE_STEP - 0.01, LINK_USE_STEP + 0.01, 0.1, 0.0]
    pushed = [
        news.should_push(make_load(1, link_use=use), LATER_MS, ENTRIES) for use in steps
    ]
    assert pushed == [False, True, False, True]


def test_node_tells_of_the_bytes_that_answers_take(on_site):
    async def work(site):
        one, other = site.nodes
        other.entry.transfers.link.link_mbps = MBPS
        watch = LinkWatch(other.entry, other.gate, other.links, other.peer_streams)
        watch.measure(0.0)
        for _ in range(4):
            await call(other, "GET", "/big/100000")
        watch.measure(1_000.0)
        told = other.gate.load().link_use
        assert told > 0.4
        one.links.connect([one.entry.router.member(other.node)])

        def heard():
            seen = one.entry.router.report(one.clock.now_ms()).candidates
            loads = [item.load for item in seen if item.node == other.node]
            return loads[0] is not None and loads[0].link_use == told

        await until(heard)

    on_site(work)
