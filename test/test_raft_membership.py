"""Raft membership changes: replicas that join, leave and are lost."""

import msgspec
import pytest
from raft_shuttle import learner, members, others, propose

from cicadawheel.control.raft.role import Role
from cicadawheel.errors import CommandRefusedError


def test_learner_is_promoted_once_caught_up(trio):
    leader = trio.elect()
    propose(trio, leader, *[b"%d" % number for number in range(50)])
    raft = trio.rafts[leader]
    raft.change_membership(raft.membership.with_learner(learner("d")), trio.now_ms)
    trio.settle()
    assert raft.membership.learners() == ["d"]
    trio.start("d")
    trio.pass_time(200)
    assert raft.membership.is_voter("d")
    assert trio.applied["d"] == trio.applied[leader]


def test_learner_does_not_count_towards_quorum(trio):
    leader = trio.elect()
    raft = trio.rafts[leader]
    raft.change_membership(raft.membership.with_learner(learner("d")), trio.now_ms)
    trio.settle()
    trio.partitioned.update(others(trio, leader))
    trio.start("d")
    propose(trio, leader, b"1")
    assert raft.leadership.peers["d"].match_index == raft.log.last_index
    assert trio.applied[leader] == []


def test_relay_stays_learner_and_detects_lost_leader(trio):
    leader = trio.elect()
    raft = trio.rafts[leader]
    relay = msgspec.structs.replace(learner("d"), relay=True)
    raft.change_membership(raft.membership.with_learner(relay), trio.now_ms)
    trio.settle()
    trio.start("d")
    propose(trio, leader, b"1")
    trio.pass_time(2_000)
    assert trio.applied["d"] == [b"1"]
    assert raft.membership.learners() == raft.membership.relays() == ["d"]
    assert trio.rafts["d"].leader == leader
    trio.partitioned.add("d")
    trio.pass_time(2_000)
    assert trio.rafts["d"].leader is None
    assert trio.rafts["d"].role is Role.FOLLOWER
    trio.partitioned.clear()
    trio.pass_time(2_000)
    assert trio.rafts["d"].leader == leader


def test_learner_is_not_promoted_during_another_change(trio):
    leader = trio.elect()
    raft = trio.rafts[leader]
    raft.change_membership(raft.membership.with_learner(learner("d")), trio.now_ms)
    trio.settle()
    trio.partitioned.update(others(trio, leader))
    lost = others(trio, leader)[0]
    index = raft.change_membership(raft.membership.without(lost), trio.now_ms)
    trio.start("d")
    trio.settle()
    assert raft.log.membership_index == index


def test_uncommitted_membership_is_reverted_with_its_entry(trio):
    leader = trio.elect()
    raft = trio.rafts[leader]
    membership = raft.membership
    trio.partitioned.add(leader)
    raft.change_membership(membership.with_learner(learner("d")), trio.now_ms)
    trio.pass_time(600)
    propose(trio, trio.elect(), b"1")
    trio.partitioned.clear()
    trio.pass_time(300)
    assert raft.membership == membership


def test_one_membership_change_at_a_time(trio):
    leader = trio.elect()
    raft = trio.rafts[leader]
    trio.partitioned.update(others(trio, leader))
    raft.change_membership(raft.membership.with_learner(learner("d")), trio.now_ms)
    with pytest.raises(CommandRefusedError):
        raft.change_membership(raft.membership.with_learner(learner("e")), trio.now_ms)


def test_removed_id_cannot_be_reused():
    membership = members("a", "b", "c").without("c")
    with pytest.raises(CommandRefusedError, match="new id"):
        membership.with_learner(learner("c"))


def test_removed_leader_steps_down_and_others_continue(trio):
    leader = trio.elect()
    raft = trio.rafts[leader]
    raft.change_membership(raft.membership.without(leader), trio.now_ms)
    trio.settle()
    assert raft.role is Role.FOLLOWER
    trio.stop(leader)
    second = trio.elect()
    propose(trio, second, b"1")
    assert all(trio.applied[name] == [b"1"] for name in trio.rafts)


def test_second_replica_loss_after_replacement_loses_no_data(trio):
    leader = trio.elect()
    lost, kept = others(trio, leader)
    propose(trio, leader, b"1")
    trio.stop(lost)
    propose(trio, leader, b"2")
    raft = trio.rafts[leader]
    raft.change_membership(raft.membership.without(lost), trio.now_ms)
    trio.settle()
    raft.change_membership(raft.membership.with_learner(learner("d")), trio.now_ms)
    trio.start("d")
    while not raft.membership.is_voter("d"):
        trio.pass_time(20)
    trio.settle()
    trio.stop(kept)
    propose(trio, leader, b"3")
    trio.stop(leader)
    trio.start(kept)
    second = trio.elect()
    trio.pass_time(100)
    assert trio.applied[second] == [b"1", b"2", b"3"]
