"""The repeats of a service stay within its budget, whichever nodes send them."""

from repeat_fleet import Fleet

TREES = {
    "one deep": {"outer": [("inner", 2, 0.7)], "inner": []},
    "three deep": {
        "outer": [("middle", 2, 0.8)],
        "middle": [("inner", 2, 0.8), ("other", 1, 0.5)],
        "inner": [("other", 1, 0.5)],
        "other": [],
    },
    "wide": {"outer": [("inner", 6, 0.9)], "inner": []},
}
SEEDS = range(4)
END_MS = 40_000.0


def make_fleet(seed, tree="one deep", refused=0.0, failed=0.0, nodes_each=5):
    calls = TREES[tree]
    refusing, failing = dict.fromkeys(calls, refused), dict.fromkeys(calls, failed)
    fleet = Fleet(seed, calls, nodes_each, refusing, failing)
    fleet.load("outer", 30.0, 0.0, END_MS)
    return fleet


def max_excess(fleets):
    """Run all simulations, and return the largest excess of any window."""
    excesses = []
    for fleet in fleets:
        fleet.run(END_MS)
        excesses.append(fleet.excess())
    return max(excesses)


def test_calls_within_repeats_keep_the_budget_of_the_service_they_go_to():
    fleets = [
        make_fleet(seed, tree, refused=0.1, failed=0.6)
        for seed in SEEDS
        for tree in TREES
    ]
    for fleet in fleets:
        fleet.refused["inner"] = 0.7
    assert max_excess(fleets) <= 0


def test_nodes_that_start_again_do_not_spend_their_share_twice():
    fleets = [make_fleet(seed, refused=0.8) for seed in SEEDS]
    for fleet in fleets:
        for at_ms in range(12_000, 30_000, 1_500):
            fleet.schedule(at_ms, fleet.restart, 0.5)
    assert max_excess(fleets) <= 0


def test_views_that_differ_do_not_add_to_the_budget():
    fleets = [make_fleet(seed, refused=0.8) for seed in SEEDS]
    for fleet in fleets:
        for at_ms in range(12_000, 24_000, 1_200):
            fleet.schedule(at_ms, fleet.leave if at_ms % 2_400 else fleet.join, "inner")
            fleet.schedule(at_ms + 100, fleet.join, "outer")
    assert max_excess(fleets) <= 0


def test_bursts_of_callers_keep_the_budget():
    fleets = [make_fleet(seed, "three deep", 0.4, 0.4) for seed in SEEDS]
    for fleet in fleets:
        for at_ms in (8_000.0, 19_000.0):
            fleet.load("outer", 300.0, at_ms, at_ms + 1_000.0)
    assert max_excess(fleets) <= 0


def test_restarts_joins_and_bursts_together_keep_the_budget_of_a_wide_tree():
    fleets = [make_fleet(seed, "wide", 0.4, 0.4, nodes_each=4) for seed in SEEDS]
    for fleet in fleets:
        for at_ms in range(12_000, 30_000, 1_500):
            fleet.schedule(at_ms, fleet.restart, 0.5)
        for at_ms in range(12_000, 24_000, 1_200):
            fleet.schedule(at_ms, fleet.leave if at_ms % 2_400 else fleet.join, "inner")
            fleet.schedule(at_ms + 100, fleet.join, "outer")
        for at_ms in (8_000.0, 19_000.0):
            fleet.load("outer", 300.0, at_ms, at_ms + 1_000.0)
    assert max_excess(fleets) <= 0


def test_more_than_half_of_the_budget_is_used_where_it_is_needed():
    fleet = make_fleet(1, refused=0.7)
    fleet.run(END_MS)
    assert fleet.max_use("outer") > 0.5
