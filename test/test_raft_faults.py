"""Raft under randomised combinations of faults, by seed."""

import contextlib

import pytest
from raft_shuttle import RaftCluster, learner, others

from cicadawheel.errors import CommandRefusedError, NotLeaderError


class Faults:
    """Injects random faults and membership changes into a cluster."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.random = cluster.random
        self.new_names = iter("defghijkl")
        self.acknowledged = []

    def inject(self):
        cluster = self.cluster
        name = self.random.choice(list(cluster.rafts))
        fault = self.random.choice(
            [
                "partition",
                "heal",
                "heal",
                "restart",
                "slow",
                "lose",
                "compact",
                "member",
            ]
        )
        match fault:
            case "partition":
                cluster.partitioned = {name}
            case "heal":
                cluster.partitioned = set()
                cluster.loss_share = 0.0
            case "restart":
                cluster.start(name)
            case "slow":
                cluster.slow_disks = {name}
            case "lose":
                cluster.loss_share = 0.2
            case "compact":
                self.compact(name)
            case "member":
                self.change_members()
        cluster.pass_time(self.random.choice([20, 100, 400]))
        cluster.slow_disks = set()

    def compact(self, name):
        state = b"|".join(self.cluster.applied[name])
        if self.cluster.rafts[name].applied_index > 0:
            self.cluster.compact(name, state, self.random.choice([0, 3]))

    def change_members(self):
        """Remove a replica or add a new one, if a leader accepts the change."""
        for leader in self.cluster.leaders():
            raft = self.cluster.rafts[leader]
            membership = raft.membership
            if len(membership.members) > 3:
                lost = self.random.choice(others(self.cluster, leader))
                changed = membership.without(lost) if membership.find(lost) else None
            else:
                added = next(self.new_names, None)
                changed = membership.with_learner(learner(added)) if added else None
            if changed is None:
                continue
            with contextlib.suppress(NotLeaderError, CommandRefusedError):
                raft.change_membership(changed, self.cluster.now_ms)
                for one in changed.learners():
                    self.cluster.start(one)

    def propose(self, number):
        for leader in self.cluster.leaders():
            command = b"%d%s" % (number, leader.encode())
            self.cluster.rafts[leader].propose(command)
            self.cluster.settle()
            if command in split(self.cluster.applied[leader]):
                self.acknowledged.append(command)


def split(applied):
    """Return the applied commands; a restored snapshot holds several, joined."""
    return [command for item in applied for command in item.split(b"|") if command]


@pytest.mark.parametrize("seed", range(30))
def test_acknowledged_commands_survive_random_faults(seed):
    cluster = RaftCluster("a", "b", "c", seed=seed)
    faults = Faults(cluster)
    for number in range(40):
        faults.inject()
        faults.propose(number)
    cluster.partitioned = set()
    cluster.loss_share = 0.0
    leader = cluster.elect()
    cluster.pass_time(500)
    leader = cluster.elect()
    found = split(cluster.applied[leader])
    assert [one for one in found if one in faults.acknowledged] == faults.acknowledged
    for name in cluster.rafts[leader].membership.voters():
        assert split(cluster.applied[name]) == found
    assert len(faults.acknowledged) > 5


@pytest.mark.parametrize("seed", range(1, 21))
def test_leader_is_elected_on_disks_slower_than_the_election_timeout(seed):
    """Guards against elections that are aborted before a vote is durable.

    A vote is sent only once it is durable, which can take longer than the election
    timeout. With timeouts of 400 ms, the limit of 20 timeouts is half of the time that
    users allow for recovery.
    """
    cluster = RaftCluster(*"abcde", seed=seed)
    timeout_ms = cluster.options.election_timeout_ms
    cluster.write_ms = (0.5 * timeout_ms, 2.0 * timeout_ms)
    cluster.pass_time(20 * timeout_ms)
    assert cluster.leaders()


@pytest.mark.parametrize("seed", range(1, 21))
def test_leader_is_replaced_while_each_write_takes_several_election_timeouts(seed):
    """Guards against elections that are given up before slow votes arrive.

    Users allow 15 s for recovery, which is 37.5 timeouts of 400 ms.
    """
    cluster = RaftCluster(*"abcde", seed=seed)
    leader = cluster.elect()
    timeout_ms = cluster.options.election_timeout_ms
    cluster.write_ms = (2.0 * timeout_ms, 3.75 * timeout_ms)
    cluster.partitioned = {leader}
    for _ in range(int(37.5 * timeout_ms / 5)):
        cluster.pass_time(5)
        followers = [name for name in cluster.leaders() if name != leader]
        if any(cluster.rafts[name].leadership.is_ready() for name in followers):
            return
    raise AssertionError("no leader was elected")
