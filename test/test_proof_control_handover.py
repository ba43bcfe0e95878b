"""Tests of planned leader stops under load: no election time-out, no refusals."""

import asyncio
import signal
import time

import pytest
from processes import BOOK, CallStream, make_topology, operators_of
from test_proof_control import wait_in_force

from bench.calls import CallOutcome
from bench.launcher import wait_for
from cicadawheel.answers import generate_configuration, read_answers
from cicadawheel.control.command import ApplyConfiguration
from cicadawheel.operator import new_operation_id
from cicadawheel.timer import MS_PER_S

ELECTION_TIMEOUT_MS = 400.0
ROUNDS = 6
COMMANDS_AROUND = 10


@pytest.fixture(scope="module")
def site(start_site):
    return start_site(make_topology(booking=3))


class CommandStream:
    """Sends commands one after another, and records the times of their outcomes."""

    def __init__(self, site, places, revision):
        self.operators = operators_of(*places)
        self.revision = revision
        self.ended_ms = []
        answers = read_answers(site.deployment.topology.answers)
        self._configuration = generate_configuration(answers)
        self._going = True
        self._task = asyncio.ensure_future(self._run())

    async def _run(self):
        while self._going:
            command = ApplyConfiguration(
                now_ms=0,
                operation=new_operation_id(),
                expected_revision=self.revision,
                configuration=self._configuration,
            )
            outcome = await self.operators.send(command)
            assert outcome.revision > self.revision
            self.revision = outcome.revision
            self.ended_ms.append(time.monotonic() * MS_PER_S)

    async def end(self):
        self._going = False
        await self._task

    def longest_gap_ms(self, since):
        ended = self.ended_ms[since:]
        return max(b - a for a, b in zip(ended, ended[1:], strict=False))


async def hand_over(site, stream):
    """Stop the leader, and return the longest time between command outcomes."""
    leader = await site.leader()
    begun = len(stream.ended_ms)
    await site.wait(lambda: len(stream.ended_ms) > begun + COMMANDS_AROUND, "commands")
    leader.process.send(signal.SIGTERM)
    assert await leader.process.wait_ended() == 0
    ended = len(stream.ended_ms)
    await site.wait(lambda: len(stream.ended_ms) > ended + COMMANDS_AROUND, "commands")
    gap_ms = stream.longest_gap_ms(begun)
    log = leader.process.log_path.read_text()
    assert "resigned_without_successor" not in log
    leader.process.start()

    async def follows():
        dump = await site.dump(leader.operator)
        return dump["leader"] is not None

    await wait_for(follows, "the stopped replica follows", 10_000)
    return gap_ms


def test_stopping_leader_hands_over_without_an_election(runner, site):
    async def work():
        revision = (await site.deployment.configuration()).revision
        stream = CommandStream(site, site.replicas, revision)
        bookings = CallStream(site, site.nodes, (BOOK,), width=6)
        gaps_ms = [await hand_over(site, stream) for _ in range(ROUNDS)]
        await stream.end()
        ends = await bookings.end()
        assert set(ends) == {CallOutcome.ANSWERED}
        assert max(gaps_ms) < ELECTION_TIMEOUT_MS
        assert len(ends) > ROUNDS
        await wait_in_force(site, stream.revision)

    runner.run(work())
