"""Time without a commit once most voters have working disks and event loops again.

`CONTACT_WINDOW_MS` is the users' target for the time after a disturbance in which calm
machines are in contact again. Commands are proposed at all times, so that a time
without a commit is one without a working leader.
"""

import pytest
from raft_shuttle import RaftCluster

from cicadawheel.control.raft.leadership import RaftOptions

CONTACT_WINDOW_MS = 3_000
OPTIONS = RaftOptions(election_timeout_ms=400.0, heartbeat_ms=80.0, voter_target=5)
VOTERS = "abcde"
MAJORITY = 3
STEP_MS = 5
ROUNDS = 4
SEEDS = range(1, 7)


class Trial:
    """A cluster with proposals at all times, and disturbances by time."""

    def __init__(self, seed, lost):
        self.cluster = RaftCluster(*VOTERS, seed=seed, options=OPTIONS)
        self.random = self.cluster.random
        self.cluster.write_ms = (0.0, 20.0)
        self.cluster.elect()
        for name in self.random.sample(VOTERS, lost):
            self.cluster.stop(name)
        self.replicas = sorted(self.cluster.rafts)
        self.spare = len(self.replicas) - MAJORITY
        self.calls = []
        self.commit_index = 0
        self.committed_at_ms = self.cluster.now_ms
        self.longest_ms = 0.0

    def pass_time(self, ms):
        """Advance the time, call what is due, and propose every 50 ms on average."""
        cluster = self.cluster
        for _ in range(int(ms / STEP_MS)):
            for due in [one for one in self.calls if one[0] <= cluster.now_ms]:
                self.calls.remove(due)
                due[1]()
            if self.random.random() < 0.1:
                for leader in cluster.leaders():
                    cluster.rafts[leader].propose(b"1")
            cluster.pass_time(STEP_MS)
            self._observe_commits()

    def call_in(self, shortest_ms, longest_ms, call):
        delay_ms = self.random.uniform(shortest_ms, longest_ms)
        self.calls.append((self.cluster.now_ms + delay_ms, call))

    def choose(self, count):
        return set(self.random.sample(self.replicas, count))

    def measure(self, ms):
        """Advance the time; return the longest time in it without a commit."""
        self.committed_at_ms = self.cluster.now_ms
        self.longest_ms = 0.0
        self.pass_time(ms)
        return self.longest_ms

    def _observe_commits(self):
        now_ms = self.cluster.now_ms
        index = max(raft.commit_index for raft in self.cluster.rafts.values())
        self.longest_ms = max(self.longest_ms, now_ms - self.committed_at_ms)
        if index > self.commit_index:
            self.commit_index = index
            self.committed_at_ms = now_ms


@pytest.fixture(params=[0, 2], ids=["five voters", "two of five lost"])
def lost(request):
    return request.param


@pytest.mark.parametrize("seed", SEEDS)
def test_commits_in_time_after_writes_hung_with_votes_pending(seed, lost):
    # Cofio had no leader for 6.6 s while all replicas ran.
    trial = Trial(seed, lost)
    cluster = trial.cluster
    for hung in range(1, len(trial.replicas) + 1):
        if trial.random.random() < 0.7:
            cluster.partitioned.update(cluster.leaders())
        trial.pass_time(trial.random.uniform(0, 1_000))
        cluster.slow_disks = trial.choose(hung)
        trial.pass_time(trial.random.uniform(0, 8_000))
        cluster.partitioned.clear()
        cluster.slow_disks = set(sorted(cluster.slow_disks)[: trial.spare])
        assert trial.measure(2 * CONTACT_WINDOW_MS) < CONTACT_WINDOW_MS
        cluster.slow_disks.clear()
        assert trial.measure(CONTACT_WINDOW_MS + STEP_MS) < CONTACT_WINDOW_MS


@pytest.mark.parametrize("seed", SEEDS)
def test_commits_in_time_after_votes_waited_for_dropped_segments(seed, lost):
    # Batches, votes among them, wait while the segments before a snapshot are dropped.
    trial = Trial(seed, lost)
    cluster = trial.cluster

    def drop(name):
        cluster.slow_disks.add(name)
        trial.call_in(50, 3_000, lambda: dropped(name))

    def dropped(name):
        cluster.slow_disks.discard(name)
        trial.call_in(50, 2_000, lambda: drop(name))

    for _ in range(ROUNDS):
        for name in trial.replicas:
            drop(name)
        trial.pass_time(10_000)
        trial.calls.clear()
        cluster.slow_disks = trial.choose(trial.spare)
        assert trial.measure(2 * CONTACT_WINDOW_MS) < CONTACT_WINDOW_MS
        cluster.slow_disks.clear()


@pytest.mark.parametrize("seed", SEEDS)
def test_commits_in_time_after_event_loops_were_held_up_for_long(seed, lost):
    # Cofio had no leader for 6.6 s while all replicas ran.
    trial = Trial(seed, lost)
    cluster = trial.cluster

    def hold_up(name):
        cluster.held_up.add(name)
        trial.call_in(100, 800, lambda: release(name))

    def release(name):
        cluster.release(name)
        trial.call_in(50, 1_000, lambda: hold_up(name))

    for _ in range(ROUNDS):
        for name in trial.replicas:
            hold_up(name)
        trial.pass_time(10_000)
        trial.calls.clear()
        stays = trial.choose(trial.spare)
        for name in trial.replicas:
            if name not in stays:
                cluster.release(name)
        cluster.held_up = set(stays)
        assert trial.measure(2 * CONTACT_WINDOW_MS) < CONTACT_WINDOW_MS
        for name in stays:
            cluster.release(name)
