"""Tests of the replicated state: operator commands, members and snapshots."""

import msgspec
import pytest
from state_driver import make_rules

from cicadawheel.configuration import DataCentreRule, DataCentreState, ServiceRule
from cicadawheel.control.command import (
    ApplyConfiguration,
    ExpireMembers,
    LeaveMember,
    OutcomeState,
    Quarantine,
    SetDataCentre,
)
from cicadawheel.control.state.operations import digest_command


def take_out(driver, operation, expected=None, data_centre="east"):
    return driver.operate(
        SetDataCentre,
        operation,
        expected,
        data_centre=data_centre,
        state=DataCentreState.OUT,
    )


def test_one_of_two_operators_with_equal_numbers_wins(driver):
    revision = driver.state.configuration.revision
    first = take_out(driver, "op-a", revision)
    second = take_out(driver, "op-b", revision, data_centre="west")
    assert first.state is OutcomeState.DONE
    assert first.revision == driver.index - 1
    assert second.state is OutcomeState.CONFLICT
    assert (second.winner, second.revision) == ("op-a", first.revision)
    assert "data centre east is out" in second.message


def test_conflict_names_the_first_winner_after_the_revision(driver):
    revision = driver.state.configuration.revision
    take_out(driver, "op-a", revision)
    driver.operate(ApplyConfiguration, "op-b", configuration=make_rules())
    assert take_out(driver, "op-c", revision).winner == "op-a"


def test_retry_gets_the_first_outcome_also_after_restore(driver):
    revision = driver.state.configuration.revision
    first = take_out(driver, "op-a", revision)
    conflict = take_out(driver, "op-b", revision)
    driver.restart()
    driver.now_ms += 5_000
    assert take_out(driver, "op-a", revision) == first
    assert take_out(driver, "op-b", revision) == conflict


def test_operation_id_reused_for_another_command_is_refused(driver):
    take_out(driver, "op-a")
    assert take_out(driver, "op-a", data_centre="west").state is OutcomeState.REFUSED


def test_decoded_command_has_the_same_digest(driver):
    rules = make_rules()
    rules.services["booking"] = ServiceRule(name="booking", deadline_ms=1_000)
    command = ApplyConfiguration(
        now_ms=1, operation="op-a", expected_revision=1, configuration=rules
    )
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(command), type=ApplyConfiguration
    )
    assert digest_command(command) == digest_command(decoded)


def test_evicted_operation_is_not_applied_again(driver, monkeypatch):
    monkeypatch.setattr("cicadawheel.control.state.operations.OPERATION_LIMIT", 2)
    revision = driver.state.configuration.revision
    take_out(driver, "op-a", revision)
    for number in range(3):
        driver.operate(ApplyConfiguration, f"op-{number}x", configuration=make_rules())
    assert take_out(driver, "op-a", revision).state is OutcomeState.CONFLICT


def test_applied_configuration_keeps_a_data_centre_out(driver):
    take_out(driver, "op-a")
    driver.operate(ApplyConfiguration, "op-b", configuration=make_rules())
    assert not driver.state.configuration.takes_new_work("east")
    assert driver.state.configuration.services["booking"].current_version == "v1"


def test_applied_configuration_without_a_data_centre_that_is_out_keeps_it_out(driver):
    rules = make_rules()
    distances = {"west": DataCentreRule("west", distance_ms={"east": 2.0})}
    only_west = msgspec.structs.replace(rules, data_centres=distances)
    driver.operate(ApplyConfiguration, "op-a", configuration=rules)
    before = driver.state.configuration.data_centres["east"]
    revision = take_out(driver, "op-b").revision
    expected = msgspec.structs.replace(
        before, state=DataCentreState.OUT, state_revision=revision
    )
    for operation in ("op-c", "op-d"):
        driver.operate(ApplyConfiguration, operation, configuration=only_west)
        driver.restart()
        assert driver.state.configuration.data_centres["east"] == expected
    brought_back = driver.operate(
        SetDataCentre, "op-e", data_centre="east", state=DataCentreState.IN
    )
    assert brought_back.state is OutcomeState.DONE
    driver.operate(ApplyConfiguration, "op-f", configuration=only_west)
    assert "east" not in driver.state.configuration.data_centres


def test_last_data_centre_is_taken_out_only_if_forced(driver):
    take_out(driver, "op-a")
    assert take_out(driver, "op-b", data_centre="west").state is OutcomeState.REFUSED
    forced = driver.operate(
        SetDataCentre,
        "op-c",
        data_centre="west",
        state=DataCentreState.OUT,
        force=True,
    )
    assert forced.state is OutcomeState.DONE


def test_unknown_data_centre_is_refused_with_the_known_ones(driver):
    outcome = take_out(driver, "op-a", data_centre="north")
    assert outcome.state is OutcomeState.REFUSED
    assert "known: east, west" in outcome.message


def test_later_registration_fences_the_earlier_epoch(driver):
    earlier = driver.state.members["n1"].epoch
    later = driver.register("n1")
    assert later.epoch == driver.state.members["n1"].epoch > earlier
    driver.apply(ExpireMembers, nodes=(("n1", earlier),))
    assert "n1" in driver.state.members
    left = driver.apply(LeaveMember, node="n1", epoch=earlier)
    assert left.state is OutcomeState.REFUSED
    driver.apply(LeaveMember, node="n1", epoch=later.epoch)
    assert driver.state.members["n1"].leaving
    driver.apply(ExpireMembers, nodes=(("n1", later.epoch),))
    assert "n1" not in driver.state.members


@pytest.mark.parametrize("field", ["upstream", "address"])
def test_upstream_name_and_address_are_held_until_the_node_expires(driver, field):
    before = driver.state.members["n1"]
    fields = (
        {"upstream": before.upstream} if field == "upstream" else {"port": before.port}
    )
    refused = driver.register("n3", **fields)
    assert refused.state is OutcomeState.REFUSED
    assert "held by node n1" in refused.message
    driver.apply(ExpireMembers, nodes=(("n1", before.epoch),))
    assert driver.register("n3", **fields).state is OutcomeState.DONE


def test_members_since_returns_changes_and_removals(driver):
    before = driver.state.view_revision
    expired_epoch = driver.state.members["n1"].epoch
    driver.register("n3")
    driver.apply(ExpireMembers, nodes=(("n1", expired_epoch),))
    driver.restart()
    delta = driver.state.members_since(before)
    assert [member.node for member in delta.changed] == ["n3"]
    assert delta.removed == ("n1",)
    assert driver.state.view_revision == driver.index
    unchanged = driver.state.members_since(driver.state.view_revision)
    assert (unchanged.changed, unchanged.removed) == ((), ())


def test_upstreams_that_left_are_not_back_after_a_restart(driver):
    for node in ("n1", "n2", "n3"):
        driver.register(node)
    leaving, gone = (driver.state.members[node] for node in ("n1", "n2"))
    driver.apply(LeaveMember, node="n1", epoch=leaving.epoch)
    driver.apply(ExpireMembers, nodes=(("n2", gone.epoch),))
    driver.restart()
    assert set(driver.state.members) == {"n1", "n3"}
    assert driver.state.members["n1"].leaving
    assert driver.state.members_since(0).changed == tuple(driver.state.members.values())
    driver.apply(LeaveMember, node="n3", epoch=driver.state.members["n3"].epoch)
    driver.restart()
    assert all(member.leaving for member in driver.state.members.values())


def test_second_version_gets_no_calls_before_its_release(driver):
    driver.register("n4", version="v2")
    assert driver.state.configuration.services["booking"].current_version == "v1"


def test_quarantine_expires_at_its_time(driver):
    driver.apply(
        Quarantine,
        service="booking",
        fingerprint="f",
        until_ms=driver.now_ms + 10,
        reason="two crashes",
    )
    driver.restart()
    assert [entry.fingerprint for entry in driver.state.quarantined] == ["f"]
    driver.now_ms += 10
    driver.register("n1")
    assert driver.state.quarantined == []


def test_state_time_is_monotonic(driver):
    latest = driver.state.now_ms
    driver.now_ms = 5
    driver.register("n1")
    assert driver.state.now_ms == latest
