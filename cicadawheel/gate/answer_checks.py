"""Checks on the head of an upstream's response."""

from cicadawheel.http.dialect import Dialect
from cicadawheel.http.fields import ResponseHead, find_field, has_field
from cicadawheel.ids import RequestId

FIRST_FAILURE_STATUS = 400
MISDIRECTED_STATUS = 421


def names_request(response: ResponseHead, request: RequestId, dialect: Dialect) -> bool:
    """Return whether a response has the request's id, or the dialect has no echo."""
    if not dialect.echoes_request_id:
        return True
    return find_field(response.headers, dialect.request_id) == request.encode()


def is_of_another(response: ResponseHead, request: RequestId, dialect: Dialect) -> bool:
    """Return whether a response has the id of another request."""
    if not has_field(response.headers, dialect.request_id):
        return False
    return not names_request(response, request, dialect)


def is_shed(response: ResponseHead, dialect: Dialect) -> bool:
    """Return whether the upstream declined to run the request."""
    if response.status_code < FIRST_FAILURE_STATUS:
        return False
    return find_field(response.headers, dialect.not_run) == b"1"


def is_misdirected(response: ResponseHead, dialect: Dialect) -> bool:
    """Return whether another upstream now uses the address."""
    misdirected = response.status_code == MISDIRECTED_STATUS
    return misdirected and bool(dialect.expected_upstream)


def is_refusal(response: ResponseHead, dialect: Dialect) -> bool:
    """Return whether the request was not run: shed, or misdirected."""
    return is_shed(response, dialect) or is_misdirected(response, dialect)


def is_sound(response: ResponseHead, dialect: Dialect) -> bool:
    """Return whether the fields show that the upstream itself made the response."""
    if not dialect.seal:
        return True
    if has_field(response.headers, b"content-encoding"):
        return False
    if response.status_code >= FIRST_FAILURE_STATUS:
        return True
    own = has_field(response.headers, dialect.request_id)
    return own and has_field(response.headers, dialect.seal)
