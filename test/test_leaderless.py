"""What a replica without a leader logs, for each reason that it can have."""

import asyncio
import logging
import threading
from types import SimpleNamespace

import pytest
from raft_shuttle import RaftCluster, others
from replicas import Deployment

from cicadawheel.control import request_failures
from cicadawheel.control.raft.election import VoteRefusal
from cicadawheel.control.raft.message import VoteRequest
from cicadawheel.control.replica import leaderless
from cicadawheel.control.replica.leaderless import CHECK_INTERVAL_MS, LeaderWatch
from cicadawheel.control.request_failures import RequestFailures
from cicadawheel.control.storage import DiskFiles
from cicadawheel.errors import NotLeaderError
from cicadawheel.ids import LogIndex, Term
from cicadawheel.timer import make_timer_service

TIMEOUT_S = 10.0


class Lines(logging.Handler):
    """Keeps the events that are logged."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    async def state_with(self, condition):
        """Wait for a line on a replica without a leader that meets a condition."""
        seen = len(self.records)
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                for record in self.records[seen:]:
                    is_state = record.event == "replica_without_leader"
                    if is_state and condition(record):
                        return record
                await asyncio.sleep(0.01)


class HangingFiles(DiskFiles):
    """Files whose syncs hang while ``hangs`` is set."""

    released = threading.Event()

    def sync(self, name):
        self.released.wait(TIMEOUT_S)
        super().sync(name)


@pytest.fixture
def lines():
    """The events that are logged while a test runs."""
    handler = Lines()
    log = logging.getLogger("cicadawheel")
    level = log.level
    # Unlike a new value of the attribute, clears what the loggers have cached.
    log.setLevel(logging.INFO)
    log.addHandler(handler)
    yield handler
    log.removeHandler(handler)
    log.setLevel(level)


@pytest.fixture
def run_trio(tmp_path, monkeypatch):
    """Run a test coroutine with three replicas that log their state more often."""
    monkeypatch.setattr(leaderless, "LINE_INTERVAL_MS", 200.0)

    def run(body):
        async def main():
            trio = Deployment(tmp_path, "a", "b", "c")
            await trio.start_proxies()
            try:
                await body(trio)
            finally:
                await trio.close()

        asyncio.run(main())

    return run


def test_line_names_the_voters_that_cannot_be_reached(run_trio, lines):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.elect()
        await trio.stop("b", "c")
        line = await lines.state_with(
            lambda line: (
                (line.role, line.voters)
                == ("pre-candidate", "a:self,b:closed,c:closed")
            )
        )
        assert line.votes == "1/2"
        assert line.levelno == logging.WARNING

    run_trio(body)


def test_lines_show_a_connection_that_carries_one_way_only(run_trio, lines):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.elect()
        await trio.stop("c")
        trio.proxies["a", "b"].silence()
        line = await lines.state_with(
            lambda line: "a:self" in line.voters and _ages(line, "b")[1] > 1_000
        )
        assert _ages(line, "b")[0] >= _ages(line, "b")[1]

    run_trio(body)


def _ages(line, voter):
    """Return the ages of a voter's last message and of the first unanswered one."""
    states = dict(state.split(":") for state in line.voters.split(","))
    ages = states[voter].partition("/")[::2]
    return [float(age) if age.isdigit() else -1.0 for age in ages]


def test_line_tells_how_long_a_write_has_hung(run_trio, lines):
    HangingFiles.released.set()

    async def body(trio):
        trio.start("a", "b", "c", files=HangingFiles)
        leader = await trio.elect()
        HangingFiles.released.clear()
        try:
            await trio.stop(leader.log.replica)
            await lines.state_with(lambda line: line.write_ms > 200)
        finally:
            HangingFiles.released.set()

    run_trio(body)


def test_line_tells_that_a_replica_waits_for_the_others(run_trio, lines):
    async def body(trio):
        trio.start("a")
        line = await lines.state_with(lambda line: line.role == "none")
        assert line.standing == "waiting for the other replicas"

    run_trio(body)


def test_line_tells_that_a_replica_is_not_a_member(run_trio, lines):
    async def body(trio):
        trio.start("a", "b", "c")
        await trio.elect()
        trio.start("d")
        line = await lines.state_with(lambda line: line.role == "outside")
        assert line.standing == "waiting to be added"

    run_trio(body)


@pytest.fixture
def check_watch():
    """Check a watch of a replica whose log doesn't run, at a time in ms."""
    checks = []
    clock = SimpleNamespace(now_ms=lambda: 0.0)
    timers = SimpleNamespace(clock=clock, every=lambda _, check: checks.append(check))
    replica = SimpleNamespace(leader=None)
    runner = SimpleNamespace(
        engine=None,
        failure=None,
        bootstrap=None,
        ignored_messages=0,
        network=SimpleNamespace(dropped_messages=0),
    )
    LeaderWatch(replica, runner, timers)

    def check(now_ms, leader=None):
        replica.leader = leader
        checks[0](now_ms)

    return check


def test_line_tells_how_late_the_event_loop_was(check_watch, lines):
    for now_ms in (100.0, 200.0, 700.0, 800.0, 900.0, 1_000.0):
        check_watch(now_ms)
    assert [record.late_ms for record in lines.records] == [400]


def test_leaders_that_are_known_for_short_times_do_not_hide_the_state(
    check_watch, lines
):
    for tick in range(1, 41):
        leader = "a" if tick % 10 == 0 else None
        check_watch(tick * CHECK_INTERVAL_MS, leader)
    assert [record.leaderless_ms for record in lines.records] == [1000, 2000, 3000]


def test_refused_votes_are_counted_by_reason():
    cluster = RaftCluster("a", "b", "c")
    leader = cluster.elect()
    follower, candidate = others(cluster, leader)
    raft = cluster.rafts[follower]
    request = VoteRequest(Term(raft.term + 1), LogIndex(0), Term(0), pre=True)
    raft.receive(candidate, request, cluster.now_ms)
    cluster.rafts[leader].receive(candidate, request, cluster.now_ms)
    raft.receive(
        candidate, request, cluster.now_ms + cluster.options.election_timeout_ms
    )
    assert raft.vote_refusals == {
        VoteRefusal.LEADER_HEARD: 1,
        VoteRefusal.LOG_BEHIND: 1,
    }
    assert cluster.rafts[leader].vote_refusals == {VoteRefusal.LEADS: 1}


def test_repeated_failures_of_requests_are_logged_as_a_count(lines, monkeypatch):
    monkeypatch.setattr(request_failures, "REPEAT_INTERVAL_MS", 20.0)

    async def body():
        failures = RequestFailures(make_timer_service())
        for _ in range(40):
            failures.record(NotLeaderError("no leader found in time", step="commit"))
        await asyncio.sleep(0.1)

    asyncio.run(body())
    assert [record.requests for record in lines.records] == [1, 39]
