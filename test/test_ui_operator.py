"""The operator client: resends, refusals, and commands whose outcome is unknown."""

import asyncio

import msgspec
import pytest

from cicadawheel.control.command import Outcome, OutcomeState, StopRelease
from cicadawheel.errors import CommandRefusedError
from cicadawheel.http.exchange import HttpAnswer, json_answer, serve_http, text_answer
from cicadawheel.operator import (
    ConflictError,
    ControlStatus,
    ControlUnreachableError,
    MissingNode,
    NotInForceError,
    OperatorClient,
)
from cicadawheel.settings import Address

TIMEOUT_MS = 300.0
COMMAND = StopRelease(now_ms=0, operation="op-1", expected_revision=3, service="s")
DONE = Outcome(OutcomeState.DONE, 4)


def run_client(answers, call):
    """Run a client call against fake replicas that return the given answers in turn.

    Each item of ``answers`` is a replica's list of answers, the last of which repeats;
    None is an unreachable replica.
    """
    requests = []

    def make_handler(queue):
        async def handle(request):
            requests.append(request)
            return queue.pop(0) if len(queue) > 1 else queue[0]

        return handle

    async def run():
        servers, addresses = [], []
        for queue in answers:
            server = await serve_http(
                Address("127.0.0.1", 0), make_handler(queue or [])
            )
            addresses.append(Address(*server.sockets[0].getsockname()))
            servers.append(server)
        for server, queue in zip(servers, answers, strict=True):
            if queue is None:
                server.close()
                await server.wait_closed()
        try:
            return await call(OperatorClient(tuple(addresses), TIMEOUT_MS))
        finally:
            for server in servers:
                server.close()

    return asyncio.run(run()), requests


def send(client):
    return client.send(COMMAND)


def test_command_is_resent_with_its_operation_id():
    no_quorum = text_answer("no quorum", 503)
    outcome, requests = run_client([[no_quorum], [json_answer(DONE)]], send)
    assert outcome == DONE
    sent = [msgspec.json.decode(request.body, type=StopRelease) for request in requests]
    assert sent == [COMMAND, COMMAND]


def test_unreachable_replica_is_skipped():
    outcome, requests = run_client([None, [json_answer(DONE)]], send)
    assert outcome == DONE
    assert len(requests) == 1


def test_lost_answer_is_reported_as_possibly_applied():
    with pytest.raises(ControlUnreachableError, match="--operation op-1"):
        run_client([[text_answer("no quorum", 503)], None], send)


def test_unsent_command_is_reported_as_unsent():
    with pytest.raises(ControlUnreachableError, match="nothing was sent"):
        run_client([None, None], send)


def test_command_without_leader_is_reported_as_unsent():
    no_leader = text_answer("no leader found in time", 421)
    message = "no leader found in time; nothing was sent to a leader"
    with pytest.raises(ControlUnreachableError, match=message):
        run_client([[no_leader]], send)


def test_conflict_names_the_winner():
    lost = Outcome(OutcomeState.CONFLICT, 9, winner="op-2")
    with pytest.raises(ConflictError, match="revision 9, by operation op-2"):
        run_client([[json_answer(lost, 409)]], send)


@pytest.mark.parametrize(
    "answer",
    [
        json_answer(Outcome(OutcomeState.REFUSED, 3, "no release of s"), 422),
        text_answer("no release of s", 400),
        text_answer("no release of s", 422),
    ],
)
def test_refusal_reason_is_reported(answer):
    with pytest.raises(CommandRefusedError, match="refused: no release of s"):
        run_client([[answer]], send)


def test_non_json_answer_is_reported():
    with pytest.raises(CommandRefusedError, match="can't be used"):
        run_client([[HttpAnswer(200, b"x")]], lambda client: client.status())


def status_answer(revision, missing=(), leader="c1"):
    status = ControlStatus("c1", leader, 1, revision, missing=missing)
    return json_answer(status)


def test_wait_ends_when_no_node_is_missing():
    answers = [status_answer(3), status_answer(4, (MissingNode("n", 3),))]
    answers.append(status_answer(4))
    status, requests = run_client(
        [answers], lambda client: client.wait_in_force(4, TIMEOUT_MS, poll_ms=1.0)
    )
    assert status.revision == 4
    assert len(requests) == 3


def test_wait_names_the_missing_nodes():
    answer = status_answer(4, (MissingNode("n", 3, "silent for 2000 ms"),))
    with pytest.raises(NotInForceError, match=r"n has revision 3 \(silent for 2000 ms"):
        run_client([[answer]], lambda client: client.wait_in_force(4, 10.0, 1.0))


def test_status_comes_from_a_replica_that_hears_a_leader():
    answers = [[status_answer(3, leader=None)], None, [status_answer(4)]]
    status, _ = run_client(answers, lambda client: client.status())
    assert status.revision == 4


def test_status_without_a_leader_is_returned():
    answers = [[status_answer(3, leader=None)], None]
    status, _ = run_client(answers, lambda client: client.status())
    assert (status.leader, status.revision) == (None, 3)


def test_wait_needs_a_leader():
    with pytest.raises(NotInForceError, match="no replica hears from a leader"):
        run_client(
            [[status_answer(4, leader=None)]],
            lambda client: client.wait_in_force(4, 10.0, 1.0),
        )
