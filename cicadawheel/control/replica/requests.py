"""Requests forwarded to the leader, and the encoding of their errors in replies."""

import asyncio
import itertools
import secrets

from cicadawheel.control.replica.message import Answer, AnswerState
from cicadawheel.errors import (
    CicadawheelError,
    CommandRefusedError,
    NoQuorumError,
    NotLeaderError,
)
from cicadawheel.ids import ReplicaId

FIRST_NUMBER_BITS = 48

_STATE_OF_ERROR = {
    NotLeaderError: AnswerState.NOT_LEADER,
    NoQuorumError: AnswerState.NO_QUORUM,
    CommandRefusedError: AnswerState.REFUSED,
}
_ERROR_OF_STATE = {state: error for error, state in _STATE_OF_ERROR.items()}


class PendingRequests:
    """The forwarded requests of this replica that have no reply yet."""

    def __init__(self):
        # A late reply to an earlier run of this process must not match a new request.
        self._numbers = itertools.count(secrets.randbits(FIRST_NUMBER_BITS))
        self._futures: dict[int, asyncio.Future[Answer]] = {}

    def open(self) -> tuple[int, asyncio.Future[Answer]]:
        """Return the number of a new request, and the future of its reply."""
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        return number, future

    def close(self, number: int) -> None:
        """Remove a request."""
        self._futures.pop(number, None)

    def answer(self, answer: Answer) -> None:
        """Resolve a request with the leader's reply."""
        future = self._futures.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def pending(self) -> set[int]:
        """Return the numbers of the open requests."""
        return set(self._futures)

    def fail(self, numbers: set[int], reason: str) -> None:
        """Fail requests whose outcome is unknown."""
        for number in numbers & set(self._futures):
            future = self._futures[number]
            if not future.done():
                future.set_result(Answer(number, AnswerState.NO_QUORUM, reason=reason))


def make_refusal(number: int, error: CicadawheelError) -> Answer:
    """Return the reply that reports an error."""
    state = _STATE_OF_ERROR.get(type(error), AnswerState.NO_QUORUM)
    return Answer(number, state, reason=error.message)


def check_answer(answer: Answer, leader: ReplicaId) -> None:
    """Raise the error that a reply reports, if any.

    Raises
    ------
    NotLeaderError, NoQuorumError, CommandRefusedError
        The error that was raised on the leader.
    """
    error = _ERROR_OF_STATE.get(answer.state)
    if error is not None:
        raise error(answer.reason, step="forward", peer=leader)
