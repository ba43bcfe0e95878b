"""Automatic promotion of learners and replacement of lost voters."""

import pytest
from raft_shuttle import RaftCluster, propose

from cicadawheel.control.raft.entry import SavedState
from cicadawheel.control.raft.leadership import RaftOptions
from cicadawheel.control.raft.membership import Membership, ReplicaMember
from cicadawheel.control.raft.voters import next_membership

HOSTS = ("h1", "h2", "h3", "h4", "h5")
OPTIONS = RaftOptions(100.0, 20.0, voter_target=5, lost_ms=1_000.0)
STEPS = 40
SEEDS = range(12)


def member(replica, voter=True):
    host = replica.partition("-")[0]
    return ReplicaMember(replica, host, 1, f"f-{replica}", voter)


def make_membership(voters, learners=()):
    return Membership(
        tuple(member(name) for name in voters)
        + tuple(member(name, voter=False) for name in learners)
    )


def always(replica):
    return True


def never(replica):
    return False


def test_learner_is_promoted_below_voter_target():
    after = next_membership(
        make_membership(["h1", "h2", "h3"], ["h4"]), 5, always, never
    )
    assert after.voters() == ["h1", "h2", "h3", "h4"]


def test_lagging_learner_is_not_promoted():
    assert (
        next_membership(make_membership(["h1", "h2"], ["h4"]), 5, never, always) is None
    )


def test_learner_stays_on_standby_at_voter_target():
    assert next_membership(make_membership(HOSTS, ["h6"]), 5, always, never) is None


def test_learner_replaces_voter_with_lost_disk_in_one_change():
    after = next_membership(make_membership(HOSTS, ["h2-x"]), 5, always, never)
    assert sorted(after.voters()) == ["h1", "h2-x", "h3", "h4", "h5"]
    assert after.removed == ("h2",)


def test_learner_replaces_lost_standby_without_promotion():
    after = next_membership(make_membership(HOSTS, ["h6-a", "h6-b"]), 5, always, never)
    assert sorted(after.voters()) == sorted(HOSTS)
    assert len(after.learners()) == 1


def test_waiting_learner_votes_before_lost_voter_is_removed():
    lost = {"h3"}.__contains__
    after = next_membership(make_membership(HOSTS, ["h6"]), 5, always, lost)
    assert after.voters() == [*HOSTS, "h6"]
    then = next_membership(after, 5, always, lost)
    assert then.voters() == ["h1", "h2", "h4", "h5", "h6"]
    assert then.removed == ("h3",)
    assert next_membership(then, 5, always, lost) is None


def test_no_further_learner_votes_until_lost_voter_is_removed():
    membership = make_membership([*HOSTS, "h6"], ["h7"])
    lost = {"h2", "h3"}.__contains__
    after = next_membership(membership, 5, always, lost)
    assert after.removed == ("h2",)
    assert after.learners() == ["h7"]


def test_voter_that_is_heard_again_is_kept_beside_its_replacement():
    membership = make_membership([*HOSTS, "h6"])
    assert next_membership(membership, 5, always, never) is None


def test_learner_whose_address_another_has_taken_is_removed():
    membership = make_membership(HOSTS, ["h2-a", "h2-b"])
    caught_up = {"h2-b"}.__contains__
    after = next_membership(membership, 5, caught_up, never)
    assert sorted(after.voters()) == ["h1", "h2-b", "h3", "h4", "h5"]
    then = next_membership(after, 5, caught_up, never)
    assert then.voters() == after.voters()
    assert (then.learners(), then.removed) == ([], ("h2", "h2-a"))
    assert next_membership(then, 5, caught_up, never) is None


def test_lost_voter_is_kept_without_waiting_learner():
    assert next_membership(make_membership(HOSTS), 5, always, always) is None


class Site(RaftCluster):
    """Five hosts whose replicas can be killed, partitioned, or lose their disks."""

    def __init__(self, seed):
        self.names = dict.fromkeys(HOSTS)
        super().__init__(seed=seed, options=OPTIONS)
        bootstrap = make_membership(HOSTS)
        for host in HOSTS:
            self.names[host] = host
            self.saved[host] = SavedState(bootstrap=bootstrap)
            self.start(host)

    def lose_disk(self, host, number):
        old = self.names[host]
        if old in self.rafts:
            self.stop(old)
        self.names[host] = f"{host}-{number}"
        self.saved[self.names[host]] = SavedState()
        self.start(self.names[host])

    def join(self):
        """Have the leader add a replica that isn't a member yet."""
        leader = self.leader()
        if leader is None:
            return
        raft = self.rafts[leader]
        for name in self.names.values():
            settled = raft.log.membership_index <= raft.commit_index
            if name in self.rafts and raft.membership.find(name) is None and settled:
                learner = member(name, voter=False)
                raft.change_membership(
                    raft.membership.with_learner(learner), self.now_ms
                )
                return

    def leader(self):
        for name in reversed(self.leaders()):
            leadership = self.rafts[name].leadership
            if leadership is not None and leadership.is_ready():
                return name
        return None

    def run_for(self, ms):
        for _ in range(int(ms / 50)):
            self.pass_time(50)
            self.join()

    def is_repaired(self):
        leader = self.leader()
        if leader is None:
            return False
        membership = self.rafts[leader].membership
        return sorted(membership.voters()) == sorted(self.names.values())

    def is_settled(self):
        """Return whether the repair is committed, so that two more disks may fail."""
        if not self.is_repaired():
            return False
        raft = self.rafts[self.leader()]
        return raft.log.membership_index <= raft.commit_index


def inject_fault(site, number):
    """Wipe, kill or partition two hosts, or kill all, with or without wiping two."""
    rng = site.random
    kind = rng.choice(["wipe", "kill", "partition", "kill all", "wipe and kill all"])
    hosts = rng.sample(HOSTS, 2)
    if kind == "partition":
        site.partitioned = {site.names[host] for host in hosts}
        site.run_for(600)
        site.partitioned = set()
        return
    down = list(site.rafts) if "all" in kind else [site.names[h] for h in hosts]
    for name in down:
        site.stop(name)
    if "wipe" in kind:
        for host in hosts:
            site.lose_disk(host, f"{number}{kind[0]}")
    site.run_for(rng.choice([0, 300]))
    for name in down:
        if name in site.names.values() and name not in site.rafts:
            site.start(name)


@pytest.mark.parametrize("seed", SEEDS)
def test_acknowledged_commands_survive_loss_of_two_replicas(seed):
    site = Site(seed)
    site.elect()
    acknowledged = []
    for number in range(STEPS):
        leader = site.elect()
        text = f"{number}".encode()
        propose(site, leader, text)
        raft = site.rafts[leader]
        if raft.leadership is not None and raft.commit_index == raft.log.last_index:
            acknowledged.append(text)
        inject_fault(site, number)
        for _ in range(100):
            site.run_for(200)
            if site.is_repaired():
                break
        assert site.is_repaired()
        leader = site.leader()
        held = [text for text in site.applied[leader] if text in acknowledged]
        assert held == acknowledged


def replace_and_lose_more(site, number):
    """Lose a disk and, while it is replaced, all power and another disk or two.

    Returns the commands that were acknowledged meanwhile.
    """
    rng = site.random
    first, second, third = rng.sample(HOSTS, 3)
    site.lose_disk(first, f"{number}a")
    proposed = []
    for turn in range(rng.randrange(80)):
        site.pass_time(5)
        site.join()
        leader = site.leader()
        if leader is not None and rng.random() < 0.2:
            text = f"{number}/{turn}".encode()
            raft = site.rafts[leader]
            proposed.append((raft, raft.term, raft.propose(text), text))
    acknowledged = [
        text
        for raft, term, index, text in proposed
        if raft in site.rafts.values()
        and (raft.term, raft.leadership is not None) == (term, True)
        and raft.commit_index >= index
    ]
    lost = [second, third] if site.is_settled() else [second]
    down = list(site.rafts)
    for name in down:
        site.stop(name)
    for host in lost:
        site.lose_disk(host, f"{number}b")
    site.run_for(rng.choice([0, 300]))
    for name in down:
        if name in site.names.values() and name not in site.rafts:
            site.start(name)
    return acknowledged


@pytest.mark.parametrize("seed", SEEDS)
def test_acknowledged_commands_survive_lost_disks_during_a_replacement(seed):
    site = Site(seed)
    site.write_ms = (0.0, 15.0)
    site.elect()
    acknowledged = []
    for number in range(STEPS):
        acknowledged += replace_and_lose_more(site, number)
        for _ in range(100):
            site.run_for(200)
            if site.is_settled():
                break
        assert site.is_settled()
        held = [text for text in site.applied[site.leader()] if text in acknowledged]
        assert held == acknowledged
    assert acknowledged


@pytest.mark.parametrize("learner_write_ms", [(20.0, 40.0), (60.0, 80.0)])
def test_learner_with_slow_disk_is_promoted_while_commands_are_committed(
    learner_write_ms,
):
    site = Site(1)
    leader = site.elect()
    site.durations_ms = dict.fromkeys(HOSTS, (1.0, 1.0))
    host = next(name for name in HOSTS if name != leader)
    site.lose_disk(host, "x")
    fresh = site.names[host]
    site.durations_ms[fresh] = learner_write_ms
    for turn in range(600):
        site.pass_time(5)
        site.join()
        site.rafts[leader].propose(b"%d" % turn)
        if site.rafts[leader].membership.is_voter(fresh):
            return
    raise AssertionError("the learner was not promoted within 3 s")


def lose_two_while_silent_voter_is_replaced(seed):
    """Lose two disks while a learner takes the place of a voter that is cut off."""
    site = Site(seed)
    site.write_ms = (0.0, 15.0)
    leader = site.elect()
    silent = next(host for host in HOSTS if host != leader)
    site.names["h6"] = "h6"
    site.saved["h6"] = SavedState()
    site.start("h6")
    site.run_for(500)
    site.partitioned = {silent}
    raft = site.rafts[leader]
    before = raft.membership
    while raft.membership is before:
        site.pass_time(5)
    site.pass_time(5 * site.random.randrange(12))
    rest = [host for host in HOSTS if host not in (silent, leader)]
    for host in (leader, site.random.choice(rest)):
        site.lose_disk(host, "x")
    site.partitioned = set()
    return site


@pytest.mark.parametrize("seed", SEEDS)
def test_two_disks_lost_while_silent_voter_is_replaced_leave_a_majority(seed):
    site = lose_two_while_silent_voter_is_replaced(seed)
    for _ in range(40):
        site.pass_time(50)
        if site.leader() is not None:
            return
    raise AssertionError("no leader")


@pytest.mark.parametrize("seed", SEEDS)
def test_three_good_disks_have_a_leader_when_a_new_voter_dies(seed):
    site = Site(seed)
    site.write_ms = (0.0, 15.0)
    leader = site.elect()
    site.names["h6"] = "h6"
    site.saved["h6"] = SavedState()
    site.start("h6")
    site.run_for(500)
    for host in [host for host in HOSTS if host != leader][:2]:
        site.stop(host)
        del site.names[host]
    while not site.rafts[site.leader() or leader].membership.is_voter("h6"):
        site.pass_time(5)
    site.pass_time(5 * site.random.randrange(6))
    site.stop("h6")
    del site.names["h6"]
    site.run_for(3_000)
    assert site.leader() is not None


def test_lost_voter_is_removed_first_if_a_majority_would_need_the_learner():
    lost = {"h2", "h3"}.__contains__
    membership = make_membership(HOSTS, ["h6", "h7"])
    after = next_membership(membership, 5, always, lost)
    assert after.voters() == ["h1", "h3", "h4", "h5"]
    then = next_membership(after, 5, always, lost)
    assert then.voters() == ["h1", "h3", "h4", "h5", "h6"]
