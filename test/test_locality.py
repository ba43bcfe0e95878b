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
from cicadawheel.entry.locality import Flow, Flows, NearState
from cicadawheel.entry.placement import CallProfile

MEAN_WORK_MS = WORK_MS * 1.046
CAPACITY_PER_S = (
    sum(UPSTREAMS)
    * SLOTS
    * (1 - SLOW_SHARE + SLOW_SHARE / SLOWNESS)
    / MEAN_WORK_MS
    * 1_000
)
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


def test_fewer_reports_cross_data_centres_while_the_near_upstreams_suffice(monkeypatch):
    spared = LocalityFleet(1)
    spared.run(0.2 * CAPACITY_PER_S, 4.0)
    monkeypatch.setattr(subset, "FAR_STANDBY", subset.FAR_LIMIT)
    heard = LocalityFleet(1)
    heard.run(0.2 * CAPACITY_PER_S, 4.0)
    assert spared.far_reports <= 0.75 * heard.far_reports
    assert spared.share_away() <= heard.share_away() + 0.01


def test_no_more_calls_leave_than_by_cost_where_near_upstreams_suffice():
    fleets = [LocalityFleet(1), FleetByCost(1)]
    for fleet in fleets:
        fleet.run(0.2 * CAPACITY_PER_S, 4.0)
    assert fleets[0].share_away() <= fleets[1].share_away()


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


def test_call_stays_near_while_a_slot_is_free_in_time():
    loads = {"n0": make_load(ROUTER_SLOTS - 1, 1.4), "f0": make_load(0)}
    assert set(picks(loads)) == {"n0"}


@pytest.mark.parametrize(
    "near", [make_load(ROUTER_SLOTS, queued=4), make_load(0, SLOWNESS)]
)
def test_call_without_room_near_leaves_at_once_to_where_slots_are_free(near):
    loads = {
        "n0": near,
        "f0": make_load(ROUTER_SLOTS - 6),
        "f1": make_load(ROUTER_SLOTS - 2),
        "f2": make_load(ROUTER_SLOTS),
    }
    profile = CallProfile(100.0, target_ms=300.0)
    counts = picks(loads, profile)
    assert set(counts) == {"f0", "f1"}
    assert 2.0 < counts["f0"] / counts["f1"] < 4.5


def test_call_stays_near_if_no_data_centre_has_room():
    full = make_load(ROUTER_SLOTS, queued=9)
    assert set(picks({"n0": full, "f0": full})) == {"n0"}


@pytest.mark.parametrize("trouble", ["failure_share", "shed_share"])
def test_call_leaves_upstreams_that_fail_or_decline_requests(trouble):
    near = make_load(0)
    loads = {"n0": replace(near, **{trouble: 0.4}), "f0": make_load(1)}
    assert set(picks(loads)) == {"f0"}
    loads["n1"] = make_load(1)
    assert set(picks(loads)) == {"n1"}


def test_target_with_little_to_spare_leaves_for_more_room_only_if_that_is_enough():
    loads = {"n0": make_load(ROUTER_SLOTS - 1), "f0": make_load(0)}
    free_far = CallProfile(100.0, target_ms=168.0)
    assert set(picks(loads, free_far)) == {"f0"}
    tight = CallProfile(100.0, target_ms=148.0)
    assert set(picks(loads, tight)) == {"n0"}


def test_wide_target_does_not_bet_on_the_recovery_of_a_slow_vm():
    loads = {"n0": make_load(0, SLOWNESS), "f0": make_load(1)}
    wide = CallProfile(100.0, target_ms=5.0 * 100.0 + 100.0)
    assert set(picks(loads, wide)) == {"f0"}
    wider = CallProfile(100.0, target_ms=(SLOWNESS + 1.0) * 100.0)
    assert set(picks(loads, wider)) == {"n0"}


def test_call_without_any_upstream_gets_none():
    assert make_router([]).pick("s", "", set(), 0.0, PROFILE) is None


@pytest.mark.parametrize(("far_queue", "expected"), [(36, "n0"), (9, "f0")])
def test_late_call_leaves_only_for_a_much_shorter_queue(far_queue, expected):
    loads = {
        "n0": make_load(ROUTER_SLOTS, queued=40),
        "f0": make_load(ROUTER_SLOTS, queued=far_queue),
    }
    late = CallProfile(100.0, target_ms=-1.0, first=False)
    assert set(picks(loads, late)) == {expected}


def test_slots_kept_for_higher_ranks_are_no_room():
    loads = {"n0": make_load(ROUTER_SLOTS - 2), "f0": make_load(0)}
    low = CallProfile(100.0, usable_part=0.5, target_ms=TARGET_MS, priority=1)
    assert set(picks(loads, low)) == {"f0"}
    assert set(picks(loads)) == {"n0"}


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


def test_change_of_the_share_is_told_by_tenths_with_its_reason():
    flows = Flows()
    flow = flows.flow("s", 1)
    assert not flows.changes()
    flow.record(NearState.FULL, 0.0)
    for _ in range(60):
        flow.sent(True)
    (change,) = flows.changes()
    assert (change.service, change.why) == ("s", NearState.FULL.value)
    assert change.share > 0.9
    assert not flows.changes()


def test_entry_logs_the_share_once_and_shows_it(on_site, caplog):
    async def work(site):
        entry = site.nodes[0].entry
        for _ in range(60):
            entry.router.flows.flow("shop", 0).sent(True)
        with caplog.at_level("INFO"):
            entry.watch_flows(0.0)
            entry.watch_flows(500.0)
        registry, labels = entry.metrics.registry, {"service": "shop", "priority": "0"}
        assert registry.get_sample_value("cicadawheel_away_share", labels) > 0.9
        assert [one.share > 0.9 for one in entry.report().router.flows] == [True]

    on_site(work)
    events = [one for one in caplog.records if "flow_changed" in str(vars(one))]
    assert len(events) == 1
