"""Subsets of upstreams: small enough to limit load reports, large enough to choose."""

import heapq
from collections import Counter
from random import Random

import pytest
from spells import (
    REPORT_INTERVAL_MS,
    SLOTS,
    SLOW_SHARE,
    SLOWNESS,
    TARGET_MS,
    WORK_MS,
    ends_ms,
    period_number,
)

from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    DataCentreState,
    Member,
)
from cicadawheel.entry import subset
from cicadawheel.entry.locality import NearState
from cicadawheel.entry.placement import CallProfile
from cicadawheel.entry.router import Router
from cicadawheel.messages import LoadReport, RefusalReason
from cicadawheel.settings import EntrySettings

CENTRES = ("d0", "d1", "d2")
UPSTREAMS = 38
ENTRIES = 12


def make_member(number, service="s"):
    centre = CENTRES[number % len(CENTRES)]
    node = f"n{number}"
    return Member(node, f"u-{node}", service, "v1", centre, "h", number, SLOTS, 200)


def make_router(members, number=0, out=()):
    settings = EntrySettings(policy="soonest-answer", report_half_life_ms=1_000.0)
    centre = CENTRES[number % len(CENTRES)]
    router = Router(settings, centre, Random(number), f"n{number}")
    rules = {
        name: DataCentreRule(
            name, state=DataCentreState.OUT if name in out else DataCentreState.IN
        )
        for name in CENTRES
    }
    router.configure(Configuration(data_centres=rules))
    router.set_members(members, 0.0)
    return router


def used(router):
    return {member.node for member in router.used_members()}


class Fleet:
    """Simulated upstreams on VMs whose speed changes, and the entries that use them."""

    def __init__(self, seed):
        self.draw = Random(seed)
        self.members = [make_member(number) for number in range(UPSTREAMS)]
        self.routers = [make_router(self.members, n) for n in range(ENTRIES)]
        self.uses = [used(router) for router in self.routers]
        self.in_flight = Counter()
        self.slow = {}
        self.reported = {}
        self.reports = 0

    def report_changes(self, now_ms):
        """Report each VM whose speed has changed to the entries that use it."""
        for member in self.members:
            slowness = self.slowness(member.node, now_ms)
            if self.reported.get(member.node) == slowness:
                continue
            self.reported[member.node] = slowness
            for router, uses in zip(self.routers, self.uses, strict=True):
                if member.node in uses:
                    self.reports += 1
                    router.observe(member.node, self.load(member.node, now_ms), now_ms)

    def load(self, node, now_ms):
        slowness = self.slowness(node, now_ms)
        in_flight = self.in_flight[node]
        return LoadReport(
            in_flight, 0, SLOTS, WORK_MS, 1.0, False, "b", 0, slowness=slowness
        )

    def slowness(self, node, now_ms):
        key = (node, period_number(now_ms))
        if key not in self.slow:
            self.slow[key] = Random(str(key)).random() < SLOW_SHARE
        return SLOWNESS if self.slow[key] else 1.0

    def ends_ms(self, node, now_ms, work_ms):
        return ends_ms(lambda at_ms: self.slowness(node, at_ms), now_ms, work_ms)


def simulate(seed, per_s=400.0, seconds=15.0):
    """Return the share of calls that are late, and the number of reports sent."""
    fleet = Fleet(seed)
    running = []
    now_ms, reported_at_ms, late, calls = 0.0, 0.0, 0, 0
    while now_ms < seconds * 1_000.0:
        now_ms += fleet.draw.expovariate(per_s / 1_000.0)
        while running and running[0][0] <= now_ms:
            ended_ms, _, router, node = heapq.heappop(running)
            fleet.in_flight[node] -= 1
            router.ended(node, fleet.load(node, ended_ms), ended_ms)
        if reported_at_ms + REPORT_INTERVAL_MS <= now_ms:
            reported_at_ms = now_ms
            fleet.report_changes(now_ms)
        router = fleet.draw.choice(fleet.routers)
        node = router.pick("s", "", set(), now_ms, CallProfile(WORK_MS)).node
        router.started(node, now_ms)
        fleet.in_flight[node] += 1
        work_ms = fleet.draw.lognormvariate(0, 0.3) * WORK_MS
        ended_ms = fleet.ends_ms(node, now_ms, work_ms)
        calls += 1
        heapq.heappush(running, (ended_ms, calls, router, node))
        late += ended_ms - now_ms > TARGET_MS
    return late / calls, fleet.reports


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_subset_answers_as_many_calls_in_time_with_fewer_reports(seed, monkeypatch):
    late, reports = simulate(seed)
    monkeypatch.setattr(subset, "MIN_SUBSET_SIZE", UPSTREAMS)
    late_with_all, reports_with_all = simulate(seed)
    assert late <= late_with_all + 0.01
    assert reports <= 0.6 * reports_with_all


def test_all_upstreams_of_a_small_service_are_used():
    members = [make_member(number) for number in range(subset.MIN_SUBSET_SIZE)]
    assert used(make_router(members)) == {member.node for member in members}


def distant(router):
    return sum(one.data_centre != "d0" for one in router.used_members())


def test_own_data_centre_and_some_distant_upstreams_are_used():
    router = make_router([make_member(number) for number in range(60)])
    centres = Counter(one.data_centre for one in router.used_members())
    assert centres["d0"] == 20
    assert distant(router) == subset.FAR_STANDBY


def test_more_distant_upstreams_are_used_while_calls_leave():
    router = make_router([make_member(number) for number in range(60)])
    before, flow = used(router), router.flows.flow("s", 0)
    assert not router.review_subsets()
    for number in range(100):
        flow.record(NearState.FULL, 20.0 * number)
    assert router.review_subsets()
    assert not router.review_subsets()
    assert distant(router) == subset.FAR_LIMIT
    assert before < used(router)
    for number in range(1_000):
        flow.record(NearState.FREE, 2_000.0 + 20.0 * number)
    assert router.review_subsets()
    assert used(router) == before


def test_own_upstream_is_always_used():
    members = [make_member(number) for number in range(0, 300, 3)]
    for number in range(0, 300, 30):
        router = make_router(members, number)
        assert f"n{number}" in used(router)
        assert len(used(router)) == subset.NEAR_LIMIT


def test_each_upstream_is_used_by_about_the_same_number_of_entries():
    members = [make_member(number) for number in range(120)]
    counts = Counter()
    for number in range(120):
        counts.update(used(make_router(members, number)))
    mean = sum(counts.values()) / 120
    assert len(counts) == 120
    assert max(counts.values()) <= 1.6 * mean
    assert min(counts.values()) >= 0.5 * mean


def test_subset_changes_by_one_when_an_upstream_leaves():
    members = [make_member(number) for number in range(120)]
    router = make_router(members)
    before = used(router)
    gone = next(one for one in members if one.node in before and one.node != "n0")
    router.set_members([one for one in members if one is not gone], 1.0)
    assert len(before - used(router)) == 1


def test_entry_in_a_data_centre_that_is_out_uses_the_minimum_of_others():
    members = [make_member(number) for number in range(60)]
    router = make_router(members, out=("d0",))
    assert len(used(router)) == subset.MIN_SUBSET_SIZE
    assert all(one.data_centre != "d0" for one in router.used_members())


def test_upstream_outside_the_subset_is_picked_when_none_in_it_is_open():
    members = [make_member(number) for number in range(60)]
    router = make_router(members)
    for node in used(router):
        router.refused(node, RefusalReason.LEAVING, 0.0)
    picked = router.pick("s", "", set(), 1.0)
    assert picked is not None
    assert picked.node not in used(router)
