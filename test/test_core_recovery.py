"""A simulated core has a leader and confirms reads soon after drawn faults."""

import pytest
from core_faults import play_seed

SEEDS = (1, 2, 3, 6, 25, 39)


@pytest.mark.parametrize("seed", SEEDS)
def test_calm_replicas_confirm_reads_within_the_stated_time(seed):
    play = play_seed(seed)
    assert not play.failures, "\n".join([*play.schedule, *play.failures])
