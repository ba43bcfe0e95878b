"""The leader advances releases and rolls them back."""

import asyncio

import msgspec
import pytest
from msgspec.structs import replace

from cicadawheel.configuration import ReleaseState
from cicadawheel.control.command import StartRelease
from cicadawheel.control.log import MemoryLog
from cicadawheel.ids import ReplicaId
from cicadawheel.release.evidence import (
    Counts,
    LocalWithdrawal,
    ReleaseEvidence,
    RouteEvidence,
)
from cicadawheel.release.leader import ReleaseLeader


class ManualTimers:
    """A timer service with a manual clock that never runs callbacks."""

    def __init__(self):
        self.clock = self
        self.time_ms = 1_000

    def every(self, interval_ms, callback):
        return None

    def unix_ms(self):
        return self.time_ms

    now_ms = unix_ms


@pytest.fixture
def leader(driver):
    """Return a release leader with an active release."""
    driver.register("n5", version="v2")
    driver.operate(
        StartRelease,
        "op-1",
        service="booking",
        version="v2",
        deadline_at_ms=driver.now_ms + 600_000,
    )
    log = MemoryLog(driver.state, ReplicaId("c1"))
    log.index = driver.index
    leader = ReleaseLeader(driver.state, log, ManualTimers())
    leader.leadership_changed(True)
    return leader


def step(leader):
    async def run():
        leader.step(0.0)
        await asyncio.gather(*leader._proposals)

    asyncio.run(run())
    release = leader.state.configuration.release_of("booking")
    return release.state, release.share


def make_evidence(version, ended, failed):
    counts = Counts(ended, failed, {20: ended - failed})
    return RouteEvidence("booking", version, "book", counts)


def send(leader, *routes, withdrawals=()):
    evidence = ReleaseEvidence("n1", routes, withdrawals)
    leader.take_evidence(msgspec.msgpack.encode(evidence))


def make_withdrawal(leader, start_offset_ms=0):
    """Return a withdrawal of the release, or of one with another start time."""
    release = leader.state.configuration.release_of("booking")
    started_at_ms = release.started_at_ms + start_offset_ms
    return LocalWithdrawal("booking", "v2", started_at_ms, "all failed")


def test_only_the_leader_advances_a_release(leader):
    leader.leadership_changed(False)
    send(leader, make_evidence("v2", 10, 10))
    assert step(leader) == (ReleaseState.STAGED, 0.0)
    leader.leadership_changed(True)
    assert step(leader) == (ReleaseState.STAGED, 0.01)


def test_failing_version_is_taken_back_within_two_steps(leader):
    step(leader)
    for _ in range(2):
        send(leader, make_evidence("v1", 90, 0), make_evidence("v2", 10, 10))
        ended = step(leader)
    assert ended == (ReleaseState.TAKEN_BACK, 0.0)
    assert leader.state.configuration.is_withdrawn("booking", "v2")


def test_withdrawal_by_an_entry_is_final(leader):
    step(leader)
    send(leader, withdrawals=(make_withdrawal(leader),))
    assert step(leader) == (ReleaseState.TAKEN_BACK, 0.0)
    reason = leader.state.configuration.release_of("booking").reason
    assert reason == "all failed (seen by n1)"


def test_withdrawal_of_an_earlier_release_is_ignored(leader):
    step(leader)
    send(leader, withdrawals=(make_withdrawal(leader, start_offset_ms=-500),))
    assert step(leader) == (ReleaseState.STAGED, 0.01)


def test_withdrawal_of_a_removed_service_is_ignored(leader):
    step(leader)
    withdrawal = make_withdrawal(leader)
    state = leader.state
    state.configuration = replace(state.configuration, services={}, releases=())
    send(leader, withdrawals=(withdrawal,))
    leader.step(0.0)
    assert not leader._proposals


def test_late_release_states_what_it_waits_for(leader):
    step(leader)
    assert step(leader) == (ReleaseState.STAGED, 0.01)
    leader.clock.time_ms += 700_000
    assert step(leader) == (ReleaseState.LATE, 0.01)
    reason = leader.state.configuration.release_of("booking").reason
    assert reason == "the deadline has passed: 0 calls of 10 seen at this share"


def test_calls_that_have_ended_do_not_hold_a_release(leader):
    for _ in range(3):
        send(leader, *(make_evidence(one, 40, 0) for one in ("v1", "v2")))
        leader.clock.time_ms += 1
        step(leader)
    before = leader.state.configuration.release_of("booking").share
    for _ in range(40):
        leader.clock.time_ms += 10_000
        step(leader)
    assert leader.state.configuration.release_of("booking").share > before
