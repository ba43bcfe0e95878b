"""Moves of data centres: capacity checks and progress."""

import pytest
from msgspec.structs import replace
from state_driver import make_member, make_rules

from cicadawheel.configuration import DataCentreRule, DataCentreState
from cicadawheel.control.lease import MissingNode, MissingReason
from cicadawheel.move import NodeLoad, check_capacity, move_progress

DATA_CENTRES = {"n1": "east", "n2": "east", "n3": "west", "n4": "west"}
MEMBERS = [
    make_member(node, data_centre=data_centre)
    for node, data_centre in DATA_CENTRES.items()
]


@pytest.fixture
def rules():
    """Return a configuration in which both data centres accept new calls."""
    return make_rules()


def loads_of(in_flight, limit=10):
    return {node: NodeLoad(in_flight, 0, limit) for node in DATA_CENTRES}


def test_remaining_upstreams_carry_a_load_up_to_four_fifths_of_their_limits(rules):
    assert check_capacity(rules, MEMBERS, loads_of(4), "east").carried
    check = check_capacity(rules, MEMBERS, loads_of(5), "east")
    assert not check.carried
    assert (
        "booking needs 20 slots, the remaining 2 upstreams have 16 to spare"
        in check.refusal()
    )


def test_cold_upstreams_count_with_their_reduced_limits(rules):
    loads = loads_of(2)
    loads["n3"] = NodeLoad(2, 0, 2)
    loads["n4"] = NodeLoad(2, 0, 2)
    assert not check_capacity(rules, MEMBERS, loads, "east").carried


def test_unknown_load_counts_as_the_worst_case(rules):
    leaving = loads_of(2)
    del leaving["n1"]
    assert (
        check_capacity(rules, MEMBERS, leaving, "east").services[0].needed_slots == 16
    )
    staying = loads_of(2)
    del staying["n3"]
    assert check_capacity(rules, MEMBERS, staying, "east").services[0].usable_slots == 8


def test_members_that_accept_no_new_calls_add_no_capacity(rules):
    members = [replace(member, leaving=member.node == "n3") for member in MEMBERS]
    assert (
        check_capacity(rules, members, loads_of(1), "east").services[0].upstreams == 1
    )
    out = DataCentreRule(name="west", state=DataCentreState.OUT)
    rules.data_centres["west"] = out
    check = check_capacity(rules, MEMBERS, loads_of(0), "east")
    assert (check.carried, check.services[0].upstreams) == (False, 0)


def test_version_that_is_not_current_adds_no_capacity(rules):
    rules.services["booking"] = replace(rules.services["booking"], current_version="v1")
    members = [replace(MEMBERS[3], version="v2"), *MEMBERS[:3]]
    assert (
        check_capacity(rules, members, loads_of(1), "east").services[0].upstreams == 1
    )


def test_move_is_done_when_in_force_and_drained(rules):
    rules.data_centres["east"] = DataCentreRule("east", state=DataCentreState.OUT)
    late = (MissingNode("n4", MissingReason.BEHIND, 3, 10.0),)

    def done(loads, missing=()):
        return move_progress(rules, MEMBERS, loads, missing, "east").done

    assert done(loads_of(0))
    assert not done(loads_of(0), late)
    assert not done(loads_of(1))
    assert not done({})


def test_move_back_is_done_when_in_force(rules):
    progress = move_progress(rules, MEMBERS, loads_of(3), (), "east")
    assert (progress.done, progress.in_flight) == (True, 6)
