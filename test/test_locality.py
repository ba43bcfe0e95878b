"""Calls leave their data centre for want of room there, and as a steady flow.

The fleet has 52 upstreams with 3 slots each in three data centres, the least of them in
the one with the most callers, and 25 entries. A quarter of the VMs is seven times
slower at any time, in periods of half a second.
"""

from collections import Counter
from random import Random

import pytest
from locality_fleet import UPSTREAMS, LocalityFleet
from msgspec.structs import replace
from news_fleet import SLOTS, WORK_MS
from spells import SLOW_SHARE, SLOWNESS
from test_placement import SLOTS as ROUTER_SLOTS
from test_placement import TARGET_MS, make_load, make_member, make_router

from cicadawheel.entry import subset
from cicadawheel.entry.flow_watch import FlowWatch
from cicadawheel.entry.locality import Flow, NearState
from cicadawheel.entry.placement import CallProfile

MEAN_WORK_MS = WORK_MS * 1.046
QUICK_SHARE = 1 - SLOW_SHARE + SLOW_SHARE / SLOWNESS
CAPACITY_PER_S = sum(UPSTREAMS) * SLOTS * QUICK_SHARE / MEAN_WORK_MS * 1_000
SEEDS = (1, 2, 3)
CALL_INTERVAL_MS = 20.0
PROFILE = CallProfile(100.0, target_ms=TARGET_MS)


class FleetByCost(LocalityFleet):
    """The same fleet, where each call goes where it alone costs least."""

    profile = CallProfile(WORK_MS)


def play(fleets, load, seconds):
    """Return the share of calls in time, and of those that leave, over all seeds."""
    ends, away = Counter(), 0.0
    for fleet in fleets:
        ends.update(fleet.run(load * CAPACITY_PER_S, seconds))
        away += fleet.share_away() / len(fleets)
    return ends["in time"] / sum(ends.values()), away


def test_at_most_half_as_many_calls_leave_and_no_fewer_are_in_time(monkeypatch):
    in_time, away = play([LocalityFleet(seed) for seed in SEEDS], 0.5, 6.0)
    monkeypatch.setattr(subset, "FAR_STANDBY", subset.FAR_LIMIT)
    before = play([FleetByCost(seed) for seed in SEEDS], 0.5, 6.0)
    assert in_time >= before[0] - 0.005
    assert away <= 0.5 * before[1]


def test_share_sent_away_does_not_swing_at_constant_demand():
    fleet = LocalityFleet(1)
    fleet.run(0.5 * CAPACITY_PER_S, 22.0)
    shares = [
        fleet.share_away("d1", range(begin, begin + 3)) for begin in range(1, 20, 3)
    ]
    mean = sum(shares) / len(shares)
    assert all(abs(share - mean) <= 0.15 for share in shares)


def test_less_leaves_while_the_near_upstreams_suffice(monkeypatch):
    spared = LocalityFleet(1)
    spared.run(0.2 * CAPACITY_PER_S, 4.0)
    monkeypatch.setattr(subset, "FAR_STANDBY", subset.FAR_LIMIT)
    heard = FleetByCost(1)
    heard.run(0.2 * CAPACITY_PER_S, 4.0)
    assert spared.far_reports <= 0.75 * heard.far_reports
    assert spared.share_away() <= heard.share_away()


def test_calls_of_a_lost_data_centre_are_served_by_others_within_a_second():
    fleet = LocalityFleet(1)
    fleet.at(3_000.0, lambda now_ms: fleet.lose("d2", now_ms))
    fleet.run(0.4 * CAPACITY_PER_S, 8.0)
    for second in (4, 5, 6):
        assert fleet.good[second] >= 0.9 * fleet.arrivals[second]


def picks(loads, profile=PROFILE, count=200):
    """Return how often each upstream is picked; names of far ones begin with f."""
    members = [make_member(node, "d1" if node[0] == "f" else "d0") for node in loads]
    router = make_router(members)
    for node, load in loads.items():
        router.observe(node, load, 0.0)
    return Counter(router.pick("s", "", set(), 0.0, profile).node for _ in range(count))


FREE, FULL = make_load(0), make_load(ROUTER_SLOTS, queued=9)
LAST_SLOT, LONG = make_load(ROUTER_SLOTS - 1), make_load(ROUTER_SLOTS, queued=40)
SLOW, USED = make_load(0, SLOWNESS), make_load(1)
FAILING, SHEDDING = replace(FREE, failure_share=0.4), replace(FREE, shed_share=0.4)
LOW_RANK = replace(PROFILE, usable_part=0.5, priority=1)
LATE = replace(PROFILE, target_ms=-1.0, first=False)


def in_time(target_ms):
    return replace(PROFILE, target_ms=target_ms)


@pytest.mark.parametrize(
    ("loads", "profile", "expected"),
    [
        ({"n0": LAST_SLOT, "f0": FREE}, PROFILE, "n0"),
        ({"n0": FULL, "f0": FULL}, PROFILE, "n0"),
        ({"n0": FAILING, "f0": USED}, PROFILE, "f0"),
        ({"n0": SHEDDING, "f0": USED}, PROFILE, "f0"),
        ({"n0": FAILING, "n1": USED, "f0": FREE}, PROFILE, "n1"),
        ({"n0": make_load(ROUTER_SLOTS - 2), "f0": FREE}, LOW_RANK, "f0"),
        ({"n0": LONG, "f0": FULL}, LATE, "f0"),
        ({"n0": LONG, "f0": make_load(ROUTER_SLOTS, queued=36)}, LATE, "n0"),
        ({"n0": LAST_SLOT, "f0": FREE}, in_time(168.0), "f0"),
        ({"n0": LAST_SLOT, "f0": FREE}, in_time(148.0), "n0"),
        ({"n0": SLOW, "f0": USED}, in_time(600.0), "f0"),
        ({"n0": SLOW, "f0": USED}, in_time(800.0), "n0"),
    ],
)
def test_call_leaves_for_want_of_room_in_time_only(loads, profile, expected):
    assert set(picks(loads, profile)) == {expected}


@pytest.mark.parametrize("near", [make_load(ROUTER_SLOTS, queued=4), SLOW])
def test_calls_that_leave_are_spread_by_free_slots(near):
    far = {f"f{used}": make_load(used) for used in (ROUTER_SLOTS - 6, 7, ROUTER_SLOTS)}
    counts = picks({"n0": near, **far}, in_time(300.0))
    assert set(counts) == {"f3", "f7"}
    assert 2.0 < counts["f3"] / counts["f7"] < 4.5


def test_share_counts_all_first_attempts_that_leave():
    router = make_router([make_member("n0"), make_member("f0", "d1")])
    router.observe("n0", LONG, 0.0)
    router.observe("f0", FULL, 0.0)
    for _ in range(60):
        router.pick("s", "", set(), 0.0, PROFILE)
    (shown,) = router.report(0.0).flows
    assert shown.share > 0.9


def test_call_without_any_upstream_gets_none():
    assert make_router([]).pick("s", "", set(), 0.0, PROFILE) is None


def feed(flow, state, begin_ms, seconds):
    """Feed a state for some time; return the share of calls that stay, and the time."""
    draw, count = Random(1), int(seconds * 1_000.0 / CALL_INTERVAL_MS)
    stays = 0
    for number in range(count):
        now_ms = begin_ms + number * CALL_INTERVAL_MS
        flow.record(state, now_ms)
        stays += flow.stays(state, draw)
    return stays / count, begin_ms + count * CALL_INTERVAL_MS


def test_queues_level_out_peaks_but_are_left_while_more_calls_come_than_fit():
    flow = Flow()
    assert feed(flow, NearState.QUEUE, 0.0, 2.0)[0] == 1.0
    _, now_ms = feed(flow, NearState.FULL, 2_000.0, 1.0)
    assert flow.pressure > 0.6
    assert feed(flow, NearState.QUEUE, now_ms, 0.5)[0] < 0.5


def test_pressure_falls_slowly_so_that_calls_come_back_one_by_one():
    flow = Flow()
    _, now_ms = feed(flow, NearState.NONE, 0.0, 3.0)
    _, now_ms = feed(flow, NearState.FREE, now_ms, 1.0)
    assert 0.5 < flow.pressure < 0.95
    feed(flow, NearState.FREE, now_ms, 12.0)
    assert flow.pressure < 0.1


def test_change_of_the_share_is_logged_once_and_shown_with_its_reason(on_site, caplog):
    async def work(site):
        entry = site.nodes[0].entry
        flow = entry.router.flows.flow("shop", 0)
        watch = FlowWatch(entry)
        watch.check(0.0)
        flow.record(NearState.FULL, 0.0)
        for _ in range(60):
            flow.sent(True)
        with caplog.at_level("INFO"):
            watch.check(0.0)
            watch.check(500.0)
        registry, labels = entry.metrics.registry, {"service": "shop", "priority": "0"}
        assert registry.get_sample_value("cicadawheel_away_share", labels) > 0.9
        (shown,) = entry.report().router.flows
        assert (shown.share > 0.9, shown.why) == (True, NearState.FULL.value)

    on_site(work)
    assert sum("flow_changed" in str(vars(one)) for one in caplog.records) == 1
