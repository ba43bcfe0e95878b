"""Selection of upstreams by load reports that are stale."""

from collections import Counter
from random import Random

import msgspec
import pytest

from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    DataCentreState,
    Member,
)
from cicadawheel.entry.ejection import FIRST_EJECTION_MS, RECOVERY_RAMP_MS
from cicadawheel.entry.policy import make_policy
from cicadawheel.entry.router import Router
from cicadawheel.errors import SettingsError
from cicadawheel.messages import LoadReport, RefusalReason
from cicadawheel.settings import EntrySettings

SLOTS = 10
POLICIES = [
    "weighted-choices",
    "two-choices",
    "round-robin",
    "random",
    "least-reported",
]


def make_member(number, data_centre="d0", version="v1"):
    node = f"n{number}"
    return Member(node, node, "s", version, data_centre, "h", 1, SLOTS, 200)


def make_load(in_flight=0, limit=SLOTS, service_time_ms=5.0, cold_share=1.0):
    return LoadReport(in_flight, 0, limit, service_time_ms, cold_share, False, "b", 0)


def make_router(members, policy="weighted-choices", seed=1, node="", states=()):
    router = Router(EntrySettings(policy=policy), "d0", Random(seed), node)
    distances = {"d1": 1.5, "d2": 3.0}
    rules = {
        "d0": DataCentreRule("d0", distance_ms=distances),
        "d1": DataCentreRule("d1"),
        "d2": DataCentreRule("d2"),
    }
    for name in states:
        rules[name] = msgspec.structs.replace(rules[name], state=DataCentreState.OUT)
    router.configure(Configuration(data_centres=rules))
    router.set_members(members, 0.0)
    return router


def pick_many(router, count, now_ms=0.0, hold=False):
    picked = Counter()
    for _ in range(count):
        node = router.pick("s", "", set(), now_ms).node
        picked[node] += 1
        if hold:
            router.started(node, now_ms)
    return picked


@pytest.mark.parametrize("policy", POLICIES)
def test_every_policy_uses_all_eligible_upstreams_and_no_others(policy):
    members = [make_member(i) for i in range(4)]
    members.append(make_member(4, "d1"))
    router = make_router(members, policy, states=("d1",))
    picked = Counter()
    for i in range(200):
        node = router.pick("s", "", {"n3"}, float(i)).node
        router.started(node, float(i))
        router.ended(node, make_load(i % 7), float(i))
        picked[node] += 1
    assert set(picked) == {"n0", "n1", "n2"}


def test_unknown_policy_is_refused():
    with pytest.raises(SettingsError):
        make_policy(EntrySettings(policy="nearest"), Random(1))


def test_calls_spill_to_other_data_centres_before_saturation():
    router = make_router([make_member(0), make_member(1, "d1"), make_member(2, "d2")])
    for i in range(3):
        router.observe(f"n{i}", make_load(), 0.0)
    assert pick_many(router, 7, hold=True) == {"n0": 7}
    spilled = pick_many(router, 12, hold=True)
    assert spilled["n1"] >= 7
    assert spilled["n0"] <= 2
    assert router.report(0.0).candidates[0].use < 1.0


def test_distant_upstream_is_picked_over_a_slow_near_one():
    router = make_router([make_member(0), make_member(1, "d1")])
    for i in range(100):
        router.observe("n1", make_load(service_time_ms=5.0), float(i))
    router.observe("n0", make_load(service_time_ms=50.0), 100.0)
    assert pick_many(router, 20, 100.0) == {"n1": 20}


def test_own_gate_is_preferred_when_nearly_equal():
    router = make_router([make_member(i) for i in range(5)], node="n3")
    for i in range(5):
        router.observe(f"n{i}", make_load(2, service_time_ms=5.0 + 0.1 * i), 0.0)
    assert pick_many(router, 20) == {"n3": 20}
    router.observe("n3", make_load(9), 0.0)
    assert pick_many(router, 20)["n3"] == 0


def test_cold_upstream_gets_only_its_cold_share():
    router = make_router([make_member(i) for i in range(3)])
    router.observe("n0", make_load(cold_share=0.2), 0.0)
    router.observe("n1", make_load(), 0.0)
    router.observe("n2", make_load(), 0.0)
    picked = pick_many(router, 18, hold=True)
    assert 1 <= picked["n0"] <= 2


@pytest.mark.parametrize("policy", ["weighted-choices", "two-choices"])
def test_no_herd_on_a_shared_stale_report(policy):
    members = [make_member(i) for i in range(5)]
    routers = [make_router(members, policy, seed) for seed in range(5)]
    for router in routers:
        warm_up_on_even_load(router)
        for i in range(5):
            router.observe(f"n{i}", make_load(0 if i == 0 else 6), 1_000.0)
    herd = Counter()
    for _ in range(4):
        for router in routers:
            herd += pick_many(router, 1, 1_005.0, hold=True)
    assert herd["n0"] <= SLOTS


def warm_up_on_even_load(router):
    """Make a router estimate that the others have four times its own calls."""
    for step in range(200):
        for i in range(5):
            router.started(f"n{i}", float(step))
            router.observe(f"n{i}", make_load(5), float(step))
            router.ended(f"n{i}", None, float(step))


def test_old_report_decays_towards_the_average():
    router = make_router([make_member(0), make_member(1)])
    warm_up_on_even_load(router)
    router.observe("n0", make_load(9), 1_000.0)
    router.observe("n1", make_load(5), 1_000.0)
    fresh, _ = router.report(1_000.0).candidates
    old, _ = router.report(1_500.0).candidates
    assert fresh.use == pytest.approx(0.9)
    assert old.use < 0.55


def test_placeholder_load_of_a_lost_peer_is_ignored():
    router = make_router([make_member(0)])
    router.observe("n0", make_load(9), 0.0)
    empty = LoadReport(0, 0, 1, 0.0, 1.0, False, "", 0)
    router.ended("n0", empty, 1.0)
    assert router.report(1.0).candidates[0].load == make_load(9)


def test_leaving_upstream_gets_no_more_calls():
    router = make_router([make_member(0), make_member(1)])
    router.refused("n0", RefusalReason.LEAVING, 0.0)
    assert pick_many(router, 20) == {"n1": 20}


def test_failing_upstream_is_ejected_and_returns_gradually():
    router = make_router([make_member(i) for i in range(4)])
    assert router.refused("n0", RefusalReason.PEER_LOST, 0.0)
    assert pick_many(router, 50)["n0"] == 0
    returned_at_ms = FIRST_EJECTION_MS + 1.0
    for i in range(4):
        router.observe(f"n{i}", make_load(), returned_at_ms)
    first = pick_many(router, 24, returned_at_ms, hold=True)
    assert 1 <= first["n0"] <= 3
    later_ms = returned_at_ms + RECOVERY_RAMP_MS
    assert pick_many(router, 40, later_ms, hold=True)["n0"] >= 8


# Guards against calls that end with an error once an upstream has failed for hours: its
# number of ejections is an exponent.
def test_upstream_that_fails_for_a_day_is_ejected_each_time():
    router = make_router([make_member(0), make_member(1)])
    for now_ms in range(0, 86_400_000, 60_000):
        assert router.refused("n0", RefusalReason.PEER_LOST, float(now_ms))


def test_at_most_half_of_the_upstreams_are_ejected():
    router = make_router([make_member(i) for i in range(4)])
    ejected = [router.refused(f"n{i}", RefusalReason.PEER_LOST, 0.0) for i in range(4)]
    assert ejected == [True, True, False, False]
    assert set(pick_many(router, 50)) == {"n2", "n3"}


def test_occasional_errors_do_not_eject_an_upstream():
    router = make_router([make_member(i) for i in range(4)])
    for i in range(100):
        assert not router.answered("n0", good=i % 3 == 0, now_ms=float(i))


def test_tried_node_is_picked_again_only_if_there_is_no_other():
    router = make_router([make_member(0), make_member(1)])
    assert router.pick("s", "", {"n0"}, 0.0).node == "n1"
    assert router.pick("s", "", {"n0", "n1"}, 0.0) is not None


def test_unresponsive_node_is_ejected_while_its_calls_still_wait():
    router = make_router([make_member(i) for i in range(3)])
    for i in range(3):
        router.observe(f"n{i}", make_load(), 0.0)
    pick_many(router, 9, 0.0, hold=True)
    probed = set()
    for now_ms in range(200, 300):
        member = router.choose_probe_target(float(now_ms))
        if member is not None:
            router.probe_sent(member.node, float(now_ms))
            probed.add(member.node)
    assert probed == {"n0", "n1", "n2"}
    router.observe("n1", make_load(), 320.0)
    router.observe("n2", make_load(), 320.0)
    assert router.eject_unresponsive(600.0) == []
    assert router.eject_unresponsive(900.0) == ["n0"]
    assert pick_many(router, 20, 900.0)["n0"] == 0
