"""A replica knows how long it has been behind what its leader has committed."""

from raft_shuttle import RaftCluster, others, propose

BEHIND_MS = 300.0
LONG_MS = 1_000.0
"""Ten election timeouts."""
ANNOUNCED_MS = 40.0
"""Two heartbeats: by then a replica knows what is committed."""


def lags_ms(cluster):
    return {
        name: raft.apply_lag_ms(cluster.now_ms) for name, raft in cluster.rafts.items()
    }


def test_replica_without_unapplied_entries_is_not_behind(trio):
    leader = trio.elect()
    propose(trio, leader, b"x")
    trio.pass_time(BEHIND_MS)
    assert set(lags_ms(trio).values()) == {0.0}


def test_replica_with_a_stalled_disk_is_behind_until_it_has_written(trio):
    leader = trio.elect()
    stalled, other = others(trio, leader)
    trio.slow_disks.add(stalled)
    propose(trio, leader, b"x")
    trio.pass_time(BEHIND_MS)
    assert trio.rafts[stalled].leader == leader
    assert lags_ms(trio)[stalled] >= BEHIND_MS - ANNOUNCED_MS
    assert lags_ms(trio)[other] == 0.0
    trio.slow_disks.clear()
    trio.pass_time(50)
    assert lags_ms(trio)[stalled] == 0.0


def test_replica_that_hears_heartbeats_and_gets_no_entries_is_behind(trio):
    leader = trio.elect()
    unheard, _ = others(trio, leader)
    # The leader sends a replica that it doesn't hear heartbeats only.
    trio.partitioned.add((unheard, leader))
    trio.pass_time(2 * trio.options.election_timeout_ms)
    propose(trio, leader, b"x")
    trio.pass_time(BEHIND_MS)
    assert trio.rafts[unheard].leader == leader
    assert lags_ms(trio)[unheard] >= BEHIND_MS - ANNOUNCED_MS


def test_replica_with_a_stalled_disk_that_hears_no_leader_has_none(trio):
    # It told its nodes that their view was current for as long as the disk stalled.
    leader = trio.elect()
    stalled, _ = others(trio, leader)
    trio.slow_disks.add(stalled)
    propose(trio, leader, b"x")
    trio.pass_time(LONG_MS)
    assert trio.rafts[stalled].leader == leader
    trio.partitioned.add(stalled)
    trio.pass_time(LONG_MS)
    assert trio.rafts[stalled].leader is None


def test_replica_that_cannot_write_its_vote_and_hears_no_leader_has_none():
    # It told its nodes that their view was current for as long as the disk stalled.
    cluster = RaftCluster("a", "b", "c", "d", "e")
    first = cluster.elect()
    stalled = others(cluster, first)[0]
    cluster.slow_disks.add(stalled)
    cluster.partitioned.add(first)
    cluster.pass_time(LONG_MS)
    second = cluster.leaders()[-1]
    assert second not in (first, stalled)
    assert cluster.rafts[stalled].leader == second
    cluster.partitioned.add(stalled)
    cluster.pass_time(LONG_MS)
    assert cluster.rafts[stalled].leader is None
