"""Which upstreams entries use: few enough to hear of, enough to choose from."""

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
    period_index,
)

from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    DataCentreState,
    Member,
)
from cicadawheel.entry import subset
from cicadawheel.entry.placement import Need
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
    """Machines in spells, and entries that hear of those that they use."""

    def __init__(self, seed):
        self.draw = Random(seed)
        self.members = [make_member(number) for number in range(UPSTREAMS)]
        self.routers = [make_router(self.members, n) for n in range(ENTRIES)]
        self.uses = [used(router) for router in self.routers]
        self.in_flight = Counter()
        self.slow = {}
        self.told = {}
        self.news = 0

    def tell(self, now_ms):
        """Tell entries of each machine whose speed has changed."""
        for member in self.members:
            slowness = self.slowness(member.node, now_ms)
            if self.told.get(member.node) == slowness:
                continue
            self.told[member.node] = slowness
            for router, uses in zip(self.routers, self.uses, strict=True):
                if member.node in uses:
                    self.news += 1
                    router.observe(member.node, self.load(member.node, now_ms), now_ms)

    def load(self, node, now_ms):
        slowness = self.slowness(node, now_ms)
        in_flight = self.in_flight[node]
        return LoadReport(
            in_flight, 0, SLOTS, WORK_MS, 1.0, False, "b", 0, slowness=slowness
        )

    def slowness(self, node, now_ms):
        key = (node, period_index(now_ms))
        if key not in self.slow:
            self.slow[key] = Random(str(key)).random() < SLOW_SHARE
        return SLOWNESS if self.slow[key] else 1.0

    def ends_ms(self, node, now_ms, work_ms):
        return ends_ms(lambda at_ms: self.slowness(node, at_ms), now_ms, work_ms)


def play(seed, per_s=400.0, seconds=15.0):
    """Return the part of the calls that are late, and how many news were told."""
    fleet = Fleet(seed)
    running = []
    now_ms, told_ms, late, calls = 0.0, 0.0, 0, 0
    while now_ms < seconds * 1_000.0:
        now_ms += fleet.draw.expovariate(per_s / 1_000.0)
        while running and running[0][0] <= now_ms:
            ended_ms, _, router, node = heapq.heappop(running)
            fleet.in_flight[node] -= 1
            router.ended(node, fleet.load(node, ended_ms), ended_ms)
        if told_ms + REPORT_INTERVAL_MS <= now_ms:
            told_ms = now_ms
            fleet.tell(now_ms)
        router = fleet.draw.choice(fleet.routers)
        node = router.pick("s", "", set(), now_ms, Need(WORK_MS)).node
        router.started(node, now_ms)
        fleet.in_flight[node] += 1
        work_ms = fleet.draw.lognormvariate(0, 0.3) * WORK_MS
        ended_ms = fleet.ends_ms(node, now_ms, work_ms)
        calls += 1
        heapq.heappush(running, (ended_ms, calls, router, node))
        late += ended_ms - now_ms > TARGET_MS
    return late / calls, fleet.news


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_get_as_much_from_a_part_and_less_is_told(seed, monkeypatch):
    late, news = play(seed)
    monkeypatch.setattr(subset, "LEAST", UPSTREAMS)
    late_of_all, news_of_all = play(seed)
    assert late <= late_of_all + 0.01
    assert news <= 0.6 * news_of_all


def test_small_service_is_used_whole():
    members = [make_member(number) for number in range(subset.LEAST)]
    assert used(make_router(members)) == {member.node for member in members}


def test_own_data_centre_and_some_farther_ones_are_used():
    members = [make_member(number) for number in range(60)]
    centres = Counter(one.data_centre for one in make_router(members).used_members())
    assert centres["d0"] == 20
    assert centres["d1"] + centres["d2"] == subset.FAR_LIMIT


def test_own_upstream_is_always_used():
    members = [make_member(number) for number in range(0, 300, 3)]
    for number in range(0, 300, 30):
        router = make_router(members, number)
        assert f"n{number}" in used(router)
        assert len(used(router)) == subset.NEAR_LIMIT


def test_each_upstream_is_used_by_about_as_many_entries():
    members = [make_member(number) for number in range(120)]
    counts = Counter()
    for number in range(120):
        counts.update(used(make_router(members, number)))
    mean = sum(counts.values()) / 120
    assert len(counts) == 120
    assert max(counts.values()) <= 1.6 * mean
    assert min(counts.values()) >= 0.5 * mean


def test_choice_changes_little_when_one_leaves():
    members = [make_member(number) for number in range(120)]
    router = make_router(members)
    before = used(router)
    gone = next(one for one in members if one.node in before and one.node != "n0")
    router.set_members([one for one in members if one is not gone], 1.0)
    assert len(before - used(router)) == 1


def test_entry_in_a_data_centre_that_is_out_uses_enough_others():
    members = [make_member(number) for number in range(60)]
    router = make_router(members, out=("d0",))
    assert len(used(router)) == subset.LEAST
    assert all(one.data_centre != "d0" for one in router.used_members())


def test_others_serve_when_none_in_use_is_open():
    members = [make_member(number) for number in range(60)]
    router = make_router(members)
    for node in used(router):
        router.refused(node, RefusalReason.LEAVING, 0.0)
    picked = router.pick("s", "", set(), 1.0)
    assert picked is not None
    assert picked.node not in used(router)
