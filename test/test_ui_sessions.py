"""Operator sessions: command lines with their output and exit codes."""

import asyncio
import io
import itertools
import re
import threading
from pathlib import Path

import msgspec
import pytest

from cicadawheel.answers import generate_configuration, read_answers
from cicadawheel.configuration import (
    Configuration,
    DataCentreState,
    ReleaseRule,
    ReleaseState,
)
from cicadawheel.control.command import (
    ApplyConfiguration,
    Outcome,
    OutcomeState,
    SetDataCentre,
    StartRelease,
    StopRelease,
)
from cicadawheel.http.exchange import json_answer, serve_http, text_answer
from cicadawheel.operator import (
    AnyOperatorCommand,
    ControlStatus,
    MissingNode,
    NodeStatus,
    ReplicaAction,
    ReplicaChange,
    ReplicaRole,
    ReplicaStatus,
)
from cicadawheel.settings import Address
from cicadawheel.ui import main

EXAMPLES = Path(__file__).parent.parent / "examples"
KUSHIRO = EXAMPLES / "kushiro.ini"
STEP_MS = 4_000.0
NOW_MS = 1_800_000_000_000
HTTP_STATUS = {
    OutcomeState.DONE: 200,
    OutcomeState.CONFLICT: 409,
    OutcomeState.REFUSED: 422,
}


class StepClock:
    """A clock that advances by a step at each reading; its Unix time is constant."""

    def __init__(self):
        self.elapsed_ms = 0.0

    def now_ms(self):
        self.elapsed_ms += STEP_MS
        return self.elapsed_ms

    def unix_ms(self):
        return NOW_MS


class Terminal(io.StringIO):
    """Standard input that reports itself as a terminal."""

    def isatty(self):
        return True


class FakeControl:
    """The operator API of a replica, which checks revisions and stores outcomes.

    The next ``lost_answers`` commands are applied, but their connections are closed
    without an answer. Each item of ``refusals`` replaces the outcome of one command.
    Each item of ``missing`` is the list of missing nodes in one status.
    """

    def __init__(self):
        self.configuration = generate_configuration(read_answers(KUSHIRO))
        self.configuration = msgspec.structs.replace(self.configuration, revision=3)
        self.outcomes = {}
        self.winner = ""
        self.lost_answers = 0
        self.no_quorum = False
        self.leader = "c1"
        self.nodes = True
        self.refusals = []
        self.missing = []
        self.replicas = {"c1": ReplicaStatus("c1", "10.0.0.1:8102")}

    async def handle(self, request):
        if self.no_quorum:
            return text_answer("no majority of replicas answers\n", 503)
        if request.path == "/v1/commands":
            return self.command(msgspec.json.decode(request.body, type=COMMAND))
        if request.path == "/v1/replicas":
            return self.change(msgspec.json.decode(request.body, type=ReplicaChange))
        if request.path == "/v1/configuration":
            return json_answer(self.configuration)
        return json_answer(self.status())

    def command(self, command):
        sent, outcome = self.outcomes.get(command.operation, (command, None))
        if sent != command:
            outcome = Outcome(OutcomeState.REFUSED, 0, "used for another command")
        outcome = outcome or self.apply_command(command)
        if self.lost_answers:
            self.lost_answers -= 1
            raise asyncio.CancelledError
        return json_answer(outcome, HTTP_STATUS[outcome.state])

    def apply_command(self, command):
        revision = self.configuration.revision
        if command.expected_revision != revision:
            return Outcome(OutcomeState.CONFLICT, revision, winner=self.winner)
        if self.refusals:
            return Outcome(OutcomeState.REFUSED, revision, self.refusals.pop(0))
        new = change_configuration(self.configuration, command)
        self.configuration = msgspec.structs.replace(new, revision=revision + 1)
        self.winner = command.operation
        outcome = Outcome(OutcomeState.DONE, self.configuration.revision)
        self.outcomes[command.operation] = (command, outcome)
        return outcome

    def change(self, change):
        revision = self.configuration.revision
        if self.refusals:
            refused = Outcome(OutcomeState.REFUSED, revision, self.refusals.pop(0))
            return json_answer(refused, 422)
        if change.action is ReplicaAction.REMOVE:
            del self.replicas[change.replica]
        else:
            self.replicas[change.replica] = ReplicaStatus(
                change.replica, change.address, ReplicaRole.LEARNER, 12, 40
            )
        return json_answer(Outcome(OutcomeState.DONE, revision))

    def repair(self):
        learners = [
            replica for replica in self.replicas.values() if replica.behind_entries
        ]
        return "learning" if learners else "whole"

    def status(self):
        revision = self.configuration.revision
        missing = self.missing.pop(0) if self.missing else ()
        node = NodeStatus(
            "node-1", "booking-1", "booking", "v1", "kushiro-a", revision, 40
        )
        leaving = msgspec.structs.replace(node, node="node-2", leaving=True)
        nodes = (node, leaving) if self.nodes else ()
        replicas = tuple(self.replicas.values())
        return ControlStatus(
            "c1", self.leader, 2, revision, replicas, nodes, missing, self.repair()
        )


COMMAND = AnyOperatorCommand


def change_configuration(old: Configuration, command) -> Configuration:
    match command:
        case ApplyConfiguration(configuration=new):
            return new
        case SetDataCentre(data_centre=name, state=state):
            rule = msgspec.structs.replace(old.data_centres[name], state=state)
            data_centres = {**old.data_centres, name: rule}
            return msgspec.structs.replace(old, data_centres=data_centres)
        case StartRelease(service=service, version=version, deadline_at_ms=deadline):
            release = ReleaseRule(
                service, version, "v1", ReleaseState.STAGED, 0.05, NOW_MS, deadline
            )
            return msgspec.structs.replace(old, releases=(*old.releases, release))
        case StopRelease():
            *others, last = old.releases
            last = msgspec.structs.replace(
                last, state=ReleaseState.STOPPED, share=0.0, reason="operator"
            )
            return msgspec.structs.replace(old, releases=(*others, last))


@pytest.fixture
def control():
    return FakeControl()


@pytest.fixture
def session(control, monkeypatch, capsys, tmp_path):
    """Run command lines against two replicas and return the transcript."""
    numbers = itertools.count(1)
    monkeypatch.setattr(
        "cicadawheel.ui.base.new_operation_id", lambda: f"operation-{next(numbers)}"
    )
    monkeypatch.chdir(tmp_path)
    (tmp_path / "answers.ini").write_text(KUSHIRO.read_text())
    with serving(control) as addresses:
        monkeypatch.setenv("CICADAWHEEL_CONTROL", ",".join(map(str, addresses)))

        def run(*lines):
            transcript = [
                part
                for line in lines
                for part in run_line(line.format(dump=addresses[0]), capsys)
            ]
            text = "".join(transcript)
            for number, address in enumerate(addresses, start=1):
                text = text.replace(str(address), f"control-{number}:8101")
            return text

        yield run


def run_line(line, capsys):
    exit_code = main(line.split(), StepClock())
    captured = capsys.readouterr()
    return [
        f"$ cicadawheel {line}\n",
        captured.out,
        captured.err,
        f"exit {exit_code}\n",
    ]


class serving:  # noqa: N801
    """Serves a fake control at two addresses, in an event loop of its own thread."""

    def __init__(self, control):
        self.control = control
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)

    def __enter__(self):
        self.thread.start()
        servers = [self.call(self.serve()) for _ in range(2)]
        return [Address(*server.sockets[0].getsockname()) for server in servers]

    def __exit__(self, *_):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def serve(self):
        return serve_http(Address("127.0.0.1", 0), self.control.handle)

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()


def edit_answers(old, new):
    path = Path("answers.ini")
    path.write_text(path.read_text().replace(old, new))


def test_answers_are_applied(session, snapshot):
    first = session("answers apply answers.ini --yes")
    edit_answers("deadline_ms = 2000", "deadline_ms = 3000")
    second = session(
        "answers apply answers.ini",
        "answers apply answers.ini --yes --wait",
        "answers apply answers.ini --yes",
        "answers show",
    )
    assert first + second == snapshot


def test_apply_is_agreed_or_declined(session, snapshot, monkeypatch, control):
    edit_answers("deadline_ms = 2000", "deadline_ms = 3000")
    monkeypatch.setattr("sys.stdin", Terminal("no\nyes\n"))
    line = "answers apply answers.ini"
    assert session(line, line) == snapshot
    assert control.configuration.revision == 4


def test_wrong_answers_change_nothing(session, snapshot, control):
    edit_answers("deadline_ms = 2000", "deadline_ms = soon")
    edit_answers("repeat = repeatable", "repeat = perhaps")
    assert session("answers check answers.ini", "answers apply answers.ini") == snapshot
    assert control.configuration.revision == 3


def test_data_centre_leaves_and_returns(session, snapshot, control):
    control.missing = [(MissingNode("node-1", 3, "heard 900 ms ago"),), ()]
    transcript = session(
        "data-centre out kushiro-a --wait",
        "status",
        "data-centre in kushiro-a",
        "status",
    )
    assert transcript == snapshot


def test_data_centre_that_the_rest_cannot_replace(session, snapshot, control):
    control.refusals = ["the rest has 20 slots and 26 are busy; --force does it"]
    transcript = session(
        "data-centre out kushiro-a", "data-centre out kushiro-a --force"
    )
    assert transcript == snapshot
    data_centre = control.configuration.data_centres["kushiro-a"]
    assert data_centre.state is DataCentreState.OUT


def test_change_that_is_missing_at_a_node(session, snapshot, control):
    missing = (MissingNode("node-2", 3, "silent for 2100 ms"),)
    control.missing = [missing] * 3
    transcript = session(
        "data-centre out kushiro-a --wait --wait-timeout 1ms", "status"
    )
    assert transcript == snapshot


def test_release_is_started_and_stopped(session, snapshot, control):
    transcript = session(
        "release status",
        "release start booking v2 --deadline 30m",
        "release status booking",
        "release status booking --wait --wait-timeout 1ms",
        "release stop booking",
        "release status --wait",
    )
    assert transcript == snapshot


def test_release_is_refused(session, snapshot, control):
    control.refusals = [
        "30 s are too short for 4 stages of 10 s; give at least 40 s",
        "booking has no release that runs",
    ]
    transcript = session(
        "release start booking v2 --deadline 30s", "release stop booking"
    )
    assert transcript == snapshot


def test_equal_numbers_have_one_winner(session, snapshot):
    transcript = session(
        "data-centre out kushiro-a --expected-revision 3 --operation first",
        "data-centre out kushiro-b --expected-revision 3 --operation second",
    )
    assert transcript == snapshot


def test_lost_answer_is_resent_within_a_command(session, snapshot, control):
    control.lost_answers = 1
    assert session("data-centre out kushiro-a") == snapshot
    assert control.configuration.revision == 4


@pytest.mark.parametrize(
    "line",
    [
        "data-centre out kushiro-a",
        "answers apply answers.ini --yes",
        "release start booking v2 --deadline 90m",
    ],
)
def test_lost_answer_is_resent_by_the_operator(session, snapshot, control, line):
    edit_answers("deadline_ms = 2000", "deadline_ms = 3000")
    control.lost_answers = 2
    lost = session(line)
    options = re.search(r"send it again with (.*)", lost)[1]
    resent = session(f"{line} {options}")
    assert resent.endswith("exit 0\n")
    assert lost + resent == snapshot
    assert control.configuration.revision == 4


def test_no_quorum_is_told(session, snapshot, control):
    control.no_quorum = True
    assert session("status") == snapshot


def test_status_without_leader_and_nodes(session, snapshot, control):
    control.leader = None
    control.nodes = False
    assert session("status", "control status") == snapshot


def test_replicas_change(session, snapshot, control):
    added = session("control status", "control add c4 10.0.0.4:8102", "control status")
    control.refusals = ["c4 lacks 12 entries; wait until it has all"]
    removed = session("control remove c1", "control remove c1", "control status")
    assert added + removed == snapshot


def test_relay_is_added(session, snapshot):
    assert session("control add r1 10.0.0.9:8102 --relay") == snapshot


def test_dump_is_shown(session, snapshot):
    assert session("dump {dump}") == snapshot
