"""Decodes the answers of control into typed values or errors."""

from typing import Any

import msgspec

from cicadawheel.control.command import Outcome, OutcomeState
from cicadawheel.errors import CommandRefusedError, UserError
from cicadawheel.http.exchange import HttpAnswer
from cicadawheel.ids import Revision
from cicadawheel.operator.messages import (
    STATUS_CONFLICT,
    STATUS_DONE,
    STATUS_REFUSED,
    ControlStatus,
    MissingNode,
)


class ControlUnreachableError(UserError):
    """No control replica gave a usable answer."""


class ConflictError(CommandRefusedError):
    """The configuration has changed since the revision that the operator expected."""


class NotInForceError(CommandRefusedError):
    """A change was accepted, but did not come into force everywhere in time."""


def answer_text(answer: HttpAnswer) -> str:
    """Return the body of an answer as one line, or its status if it is empty."""
    text = " ".join(answer.body.decode(errors="replace").split())
    return text or f"answered with status {answer.status}"


def read_outcome(answer: HttpAnswer) -> Outcome:
    """Return the outcome of a command that was carried out.

    Raises
    ------
    ConflictError, CommandRefusedError
        Control did not carry out the command.
    """
    if answer.status not in (STATUS_DONE, STATUS_CONFLICT, STATUS_REFUSED):
        raise CommandRefusedError(f"refused: {answer_text(answer)}")
    try:
        outcome = msgspec.json.decode(answer.body, type=Outcome)
    except msgspec.DecodeError:
        raise CommandRefusedError(f"refused: {answer_text(answer)}") from None
    if outcome.state is OutcomeState.CONFLICT:
        raise ConflictError(_describe_conflict(outcome))
    if outcome.state is OutcomeState.REFUSED:
        raise CommandRefusedError(f"refused: {outcome.message}")
    return outcome


def _describe_conflict(outcome: Outcome) -> str:
    text = outcome.message or f"the configuration is at revision {outcome.revision}"
    if outcome.winner:
        text += f", by operation {outcome.winner}"
    return f"conflict: {text}; nothing was changed, look at it and try again"


def describe_missing(
    revision: Revision, status: ControlStatus, timeout_ms: float
) -> str:
    """Return one line that lists the nodes where a revision is not in force."""
    nodes = [_describe_node(node) for node in status.missing]
    where = "; ".join(nodes) or f"control's status shows revision {status.revision}"
    if status.leader is None:
        where = "no replica hears from a leader"
    return (
        f"revision {revision} is accepted, but not in force everywhere after "
        f"{timeout_ms:.0f} ms: {where}"
    )


def _describe_node(node: MissingNode) -> str:
    text = f"{node.node} has revision {node.revision_in_force}"
    return f"{text} ({node.reason})" if node.reason else text


def read_value(answer: HttpAnswer, kind: type) -> Any:
    """Return the JSON body of an answer as a value of a type.

    Raises
    ------
    CommandRefusedError
        Control refused, or the answer is not of that type.
    """
    if answer.status != STATUS_DONE:
        raise CommandRefusedError(f"refused: {answer_text(answer)}")
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as error:
        raise CommandRefusedError(f"control's answer can't be used: {error}") from None
