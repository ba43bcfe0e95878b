"""Answers that the entry generates itself when no upstream has answered."""

from enum import Enum

import msgspec

from cicadawheel.announcement import HEADER_NOT_RUN, HEADER_REASON
from cicadawheel.http.dialect import OWN_DIALECT, Dialect
from cicadawheel.messages import Header, RefusalReason
from cicadawheel.timer import MS_PER_S

JSON_FIELD = Header(b"content-type", b"application/json")


class RefusalBody(msgspec.Struct, frozen=True):
    """The JSON body of a refusal."""

    error: str
    reason: str
    not_run: bool
    request_id: str


class Answer(msgspec.Struct, frozen=True):
    """A complete HTTP answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class CallerFault(Enum):
    """Why a request of a caller is invalid; such a request is never run."""

    UNKNOWN_SERVICE = "unknown service"
    NO_ROUTE = "no route"
    BODY_TOO_BIG = "body too big"
    NO_KEY = "no idempotency key"
    BAD_DEADLINE = "bad deadline"
    BAD_DEPTH = "bad depth"
    TOO_DEEP = "too deep"


STATUS_OF_FAULT = {
    CallerFault.UNKNOWN_SERVICE: 404,
    CallerFault.NO_ROUTE: 404,
    CallerFault.BODY_TOO_BIG: 413,
    CallerFault.NO_KEY: 400,
    CallerFault.BAD_DEADLINE: 400,
    CallerFault.BAD_DEPTH: 400,
    CallerFault.TOO_DEEP: 508,
}
TEXT_OF_FAULT = {
    CallerFault.UNKNOWN_SERVICE: "no service of this name is configured",
    CallerFault.NO_ROUTE: "no route of this host has a prefix of this path",
    CallerFault.BODY_TOO_BIG: "the request's body is over the limit",
    CallerFault.NO_KEY: "this route never repeats: send an Idempotency-Key header",
    CallerFault.BAD_DEADLINE: "the header with the deadline is no number over 0",
    CallerFault.BAD_DEPTH: "the header with the depth is no number from 0",
    CallerFault.TOO_DEEP: "this call is nested deeper than the limit",
}


def answer_fault(fault: CallerFault, request_id: str) -> Answer:
    """Return the answer to an invalid request."""
    body = RefusalBody(TEXT_OF_FAULT[fault], fault.value, True, request_id)
    return _answer(STATUS_OF_FAULT[fault], body)


def answer_refusal(
    reason: RefusalReason,
    not_run: bool,
    request_id: str,
    dialect: Dialect = OWN_DIALECT,
    retry_after_ms: float = 0.0,
) -> Answer:
    """Return the answer for a call that no upstream has answered.

    ``retry_after_ms`` is sent as Retry-After; with 0 that header is left out.
    """
    if not_run:
        error = "the request was not run"
        # In dialects with a seal, only 503 means that the request was not run.
        late = reason is RefusalReason.DEADLINE and not dialect.seal
        status = 504 if late else 503
    elif reason is RefusalReason.NO_CLAIM:
        error = "this sending was not run, but an earlier one with its key may have"
        status = 503
    else:
        error = "the request may have run, and its answer is lost"
        status = 504 if reason is RefusalReason.DEADLINE else 502
    body = RefusalBody(error, reason.value, not_run, request_id)
    answer = _answer(status, body, dialect)
    if not retry_after_ms:
        return answer
    retry_after = Header(b"retry-after", b"%.3f" % (retry_after_ms / MS_PER_S))
    return Answer(answer.status, (*answer.headers, retry_after), answer.body)


def answer_conflict(error: str, reason: str, request_id: str) -> Answer:
    """Return the answer to a resent request that will not be run."""
    return _answer(409, RefusalBody(error, reason, False, request_id))


def _answer(status: int, body: RefusalBody, dialect: Dialect = OWN_DIALECT) -> Answer:
    headers = (
        JSON_FIELD,
        Header(HEADER_NOT_RUN, b"1" if body.not_run else b"0"),
        Header(HEADER_REASON, body.reason.encode()),
    )
    if dialect.echoes_request_id and body.request_id:
        headers = (*headers, Header(dialect.request_id, body.request_id.encode()))
    return Answer(status, headers, msgspec.json.encode(body) + b"\n")
