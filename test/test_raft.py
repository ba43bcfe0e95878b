"""The Raft state machine: elections, commits, reads and snapshots."""

import pytest
from raft_shuttle import RaftCluster, others, propose

from cicadawheel.control.raft.entry import LogEntry, NoOp, SavedState
from cicadawheel.control.raft.log import RaftLog
from cicadawheel.control.raft.message import (
    AppendReply,
    AppendRequest,
    VoteReply,
    VoteRequest,
)
from cicadawheel.control.raft.role import Role
from cicadawheel.errors import NotLeaderError


def test_commands_reach_all_replicas_in_order(trio):
    leader = trio.elect()
    propose(trio, leader, b"1", b"2", b"3")
    assert list(trio.applied.values()) == [[b"1", b"2", b"3"]] * 3


def noops(term, first, last):
    return tuple(LogEntry(index, term, NoOp()) for index in range(first, last + 1))


def write(raft):
    """Complete a write of a replica, and return the messages sent after it."""
    assert raft.begin_write(1_000.0) is not None
    raft.end_write(1_000.0)
    return [outbound.message for outbound in raft.take_messages(1_000.0)]


def test_append_reply_waits_for_durable_term(trio):
    follower = trio.rafts["b"]
    follower.receive("a", AppendRequest(5, 0, 0, (), 0, 1), 1_000.0)
    assert follower.take_messages(1_000.0) == []
    assert write(follower) == [AppendReply(5, True, 0, 0, 1)]


def test_unverified_entries_are_not_acknowledged_to_new_leader(trio):
    follower = trio.rafts["b"]
    follower.receive("a", AppendRequest(1, 0, 0, noops(1, 1, 3), 0, 0), 1_000.0)
    assert write(follower)[-1].index == 3
    follower.receive("c", AppendRequest(2, 1, 1, (), 3, 0), 1_000.0)
    assert write(follower)[-1] == AppendReply(2, True, 1, 1, 0)
    assert follower.commit_index == 1


def test_single_voter_becomes_leader_immediately_and_after_restart():
    cluster = RaftCluster("a")
    cluster.pass_time(5)
    cluster.settle()
    propose(cluster, "a", b"1")
    cluster.start("a")
    cluster.pass_time(5)
    cluster.settle()
    assert cluster.applied["a"] == [b"1"]


def test_follower_refuses_proposals(trio):
    leader = trio.elect()
    with pytest.raises(NotLeaderError):
        trio.rafts[others(trio, leader)[0]].propose(b"1")


@pytest.mark.parametrize("slow_leads", [True, False])
def test_entry_commits_only_after_durable_write(trio, slow_leads):
    leader = trio.elect()
    follower, lost = others(trio, leader)
    slow, quick = (leader, follower) if slow_leads else (follower, leader)
    trio.partitioned.add(lost)
    trio.slow_disks.add(slow)
    propose(trio, leader, b"1")
    assert trio.applied[quick] == []
    trio.slow_disks.clear()
    trio.settle()
    assert trio.applied[quick] == [b"1"]


def test_leader_with_stalled_disk_steps_down(trio):
    leader = trio.elect()
    trio.slow_disks.add(leader)
    propose(trio, leader, b"1")
    trio.pass_time(1_000)
    second = trio.elect()
    assert second != leader
    propose(trio, second, b"2")
    assert trio.applied[second] == [b"1", b"2"]
    trio.slow_disks.clear()
    trio.pass_time(500)
    assert list(trio.applied.values()) == [[b"1", b"2"]] * 3


def test_slow_follower_disks_do_not_depose_leader(trio):
    leader = trio.elect()
    trio.slow_disks.update(others(trio, leader))
    propose(trio, leader, b"1")
    trio.pass_time(1_000)
    assert trio.leaders() == [leader]


def test_truncated_entries_are_not_counted_as_written():
    log = RaftLog(SavedState())
    log.append([LogEntry(index, 1, NoOp()) for index in (1, 2, 3)])
    log.begin_write()
    log.truncate(1)
    log.append([LogEntry(2, 2, NoOp())])
    log.end_write()
    assert log.persisted_index == 1
    assert log.begin_write() == (LogEntry(2, 2, NoOp()),)
    log.end_write()
    assert log.persisted_index == 2


def test_entry_of_earlier_term_is_not_committed_by_replica_count(trio):
    leader = trio.elect()
    trio.partitioned.add(leader)
    trio.rafts[leader].propose(b"1")
    trio.step()
    trio.start(leader)
    raft = trio.rafts[leader]
    trio.partitioned = set(others(trio, leader))
    index = raft.log.last_index
    while raft.role is not Role.LEADER:
        trio.pass_time(5)
        pre = raft.role is Role.PRE_CANDIDATE
        reply = VoteReply(raft.term + pre, True, pre)
        raft.receive(others(trio, leader)[0], reply, trio.now_ms)
    commit_index = raft.commit_index
    old = AppendReply(raft.term, True, 0, index, 0)
    raft.receive(others(trio, leader)[0], old, trio.now_ms)
    assert raft.commit_index == commit_index < index
    new = AppendReply(raft.term, True, 0, index + 1, 0)
    trio.step()
    raft.receive(others(trio, leader)[0], new, trio.now_ms)
    assert raft.commit_index == index + 1


def test_vote_is_sent_only_after_it_is_durable(trio):
    voter = trio.rafts["b"]
    voter.receive("a", VoteRequest(5, 0, 0, pre=False), 1_000.0)
    voter.begin_write(1_000.0)
    assert voter.take_messages(1_000.0) == []
    voter.end_write(1_000.0)
    [outbound] = voter.take_messages(1_000.0)
    assert outbound.message == VoteReply(5, True, pre=False)


def test_vote_survives_restart(trio):
    trio.rafts["b"].receive("a", VoteRequest(5, 0, 0, pre=False), 1_000.0)
    trio.step()
    trio.start("b")
    trio.rafts["b"].receive("c", VoteRequest(5, 9, 4, pre=False), 1_000.0)
    trio.rafts["b"].begin_write(1_000.0)
    [outbound] = trio.rafts["b"].take_messages(1_000.0)
    assert not outbound.message.granted


def test_partitioned_leader_steps_down_without_data_loss(trio):
    leader = trio.elect()
    propose(trio, leader, b"1")
    trio.partitioned.add(leader)
    trio.rafts[leader].propose(b"lost")
    trio.pass_time(1_000)
    assert trio.rafts[leader].role is not Role.LEADER
    reasons = [change.reason for change in trio.rafts[leader].role_changes]
    assert "no majority heard" in reasons
    second = trio.elect()
    propose(trio, second, b"2")
    trio.partitioned.clear()
    trio.pass_time(300)
    assert list(trio.applied.values()) == [[b"1", b"2"]] * 3


def test_replica_returning_after_long_partition_does_not_disrupt_leader(trio):
    leader = trio.elect()
    lost = others(trio, leader)[0]
    term = trio.rafts[leader].term
    trio.partitioned.add(lost)
    trio.pass_time(5_000)
    trio.partitioned.clear()
    trio.pass_time(500)
    assert trio.leaders() == [leader]
    assert trio.rafts[leader].term == term


def test_long_partition_is_recorded_as_one_role_change(trio):
    leader = trio.elect()
    lost = others(trio, leader)[0]
    trio.partitioned.add(lost)
    trio.rafts[lost].role_changes.clear()
    trio.pass_time(5_000)
    [change] = trio.rafts[lost].role_changes
    assert change.reason == "no leader heard"


def test_one_way_partition_of_follower_keeps_leader(trio):
    leader = trio.elect()
    lost = others(trio, leader)[0]
    trio.partitioned.add((leader, lost))
    trio.pass_time(2_000)
    assert trio.leaders() == [leader]


def test_read_waits_for_a_majority(trio):
    leader = trio.elect()
    trio.partitioned.update(others(trio, leader))
    raft = trio.rafts[leader]
    raft.start_read(1)
    trio.settle()
    assert raft.take_reads() == []
    trio.partitioned.clear()
    trio.pass_time(50)
    [ready] = raft.take_reads()
    assert ready.index == raft.commit_index


def test_stale_acknowledgements_do_not_confirm_read(trio):
    leader = trio.elect()
    raft = trio.rafts[leader]
    trio.partitioned.update(others(trio, leader))
    raft.start_read(1)
    trio.settle()
    late = AppendReply(raft.term, True, 0, raft.commit_index, 0)
    raft.receive(others(trio, leader)[0], late, trio.now_ms)
    trio.settle()
    assert raft.take_reads() == []


def test_resigning_leader_transfers_leadership_without_election_timeout(trio):
    leader = trio.elect()
    propose(trio, leader, b"1")
    trio.rafts[leader].propose(b"2")
    trio.rafts[leader].resign(trio.now_ms)
    with pytest.raises(NotLeaderError):
        trio.rafts[leader].propose(b"3")
    trio.settle()
    [second] = trio.leaders()
    assert second != leader
    propose(trio, second, b"3")
    assert list(trio.applied.values()) == [[b"1", b"2", b"3"]] * 3


def test_resigning_leader_stays_until_there_is_a_successor(trio):
    leader = trio.elect()
    trio.slow_disks.update(others(trio, leader))
    trio.rafts[leader].propose(b"1")
    trio.rafts[leader].resign(trio.now_ms)
    trio.pass_time(300)
    assert trio.leaders() == [leader]
    trio.slow_disks.clear()
    trio.settle()
    assert leader not in trio.leaders()


def test_conflicting_tail_is_replaced(trio):
    leader = trio.elect()
    trio.partitioned.add(leader)
    for number in range(20):
        trio.rafts[leader].propose(b"lost %d" % number)
    trio.pass_time(600)
    second = trio.elect()
    propose(trio, second, b"1", b"2")
    trio.partitioned.clear()
    trio.pass_time(300)
    assert list(trio.applied.values()) == [[b"1", b"2"]] * 3
    saved = {name: saved.entries for name, saved in trio.saved.items()}
    assert saved["a"] == saved["b"] == saved["c"]


def test_lagging_replica_receives_snapshot_in_chunks(trio):
    leader = trio.elect()
    lost = others(trio, leader)[0]
    trio.stop(lost)
    propose(trio, leader, *[b"%d" % number for number in range(40)])
    state = b"state" * 200_000
    trio.compact(leader, state, keep_entries=5)
    propose(trio, leader, b"after")
    trio.start(lost)
    trio.pass_time(400)
    assert trio.applied[lost] == [state, b"after"]
    trio.start(lost)
    trio.pass_time(100)
    assert trio.applied[lost] == [state, b"after"]


def test_snapshot_replaces_a_conflicting_log(trio):
    leader = trio.elect()
    trio.partitioned.add(leader)
    for number in range(30):
        trio.rafts[leader].propose(b"lost %d" % number)
    trio.pass_time(600)
    second = trio.elect()
    propose(trio, second, *[b"%d" % number for number in range(10)])
    trio.compact(second, b"state", keep_entries=0)
    propose(trio, second, b"after")
    trio.partitioned.clear()
    trio.pass_time(400)
    assert trio.applied[leader] == [b"state", b"after"]
    assert trio.saved[leader].entries == trio.saved[second].entries


def test_late_vote_elects_no_second_leader_of_a_term():
    cluster = RaftCluster(*"abcde")
    cluster.pass_time(0)
    first, second = cluster.rafts["a"], cluster.rafts["b"]
    for raft in (first, second):
        raft._begin_vote(cluster.now_ms)
    late = VoteReply(first.term, True, False)
    cluster.partitioned = {("a", "c"), ("a", "d"), ("b", "e"), ("e", "a")}
    cluster.settle()
    assert cluster.leaders() == ["b"]
    for removed in "cd":
        cluster.pass_time(20)
        members = second.membership.without(removed)
        second.change_membership(members, cluster.now_ms)
        cluster.settle()
    cluster.partitioned = {("a", "b"), ("b", "a")}
    while first.role is not Role.PRE_CANDIDATE:
        cluster.now_ms += 5
        first.tick(cluster.now_ms)
    first.receive("e", late, cluster.now_ms)
    assert first.leadership is None
