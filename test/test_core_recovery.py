"""A simulated core has a leader and confirms reads soon after drawn faults."""

import pytest
from core_faults import play_seed

SEEDS = (1, 2, 6, 25, 146)
SEED_OF_DROPPED_TARGET = 39
SEED_OF_LOST_MEMBERSHIP = 99


def assert_recovers(seed):
    play = play_seed(seed)
    assert not play.failures, "\n".join([*play.schedule, *play.failures])


@pytest.mark.parametrize("seed", SEEDS)
def test_calm_replicas_confirm_reads_within_the_stated_time(seed):
    assert_recovers(seed)


def test_replica_joins_in_time_if_the_membership_changes_meanwhile():
    assert_recovers(SEED_OF_DROPPED_TARGET)


def test_replica_asks_again_to_join_if_the_entry_that_added_it_was_lost():
    assert_recovers(SEED_OF_LOST_MEMBERSHIP)
