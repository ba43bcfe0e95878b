"""Header fields: reading them, and dropping those of one connection only."""

from collections.abc import Sequence

import h11
import msgspec

from cicadawheel.messages import Header

Headers = Sequence[tuple[bytes, bytes]]
"""Header fields in order, their names in small letters."""

HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
END_OF_MESSAGE = h11.EndOfMessage()
"""The end of a body that no trailing fields follow."""


class RequestHead(msgspec.Struct, frozen=True):
    """The head of a request."""

    method: bytes
    target: bytes
    headers: Headers


class ResponseHead(msgspec.Struct, frozen=True):
    """The head of a response."""

    status_code: int
    headers: Headers


def read_request(event: h11.Request) -> RequestHead:
    """Return the head of a request, in a form that is quick to search."""
    return RequestHead(event.method, event.target, _read_fields(event))


def read_response(event: h11.Response) -> ResponseHead:
    """Return the head of a response, in a form that is quick to search."""
    return ResponseHead(event.status_code, _read_fields(event))


def _read_fields(event: h11.Request | h11.Response) -> Headers:
    return [(name.lower(), value) for name, value in event.headers.raw_items()]


def find_field(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a field, by its name in small letters."""
    for key, value in headers:
        if key == name:
            return value
    return None


def keep_end_to_end(
    headers: Headers, replaced: frozenset[bytes] = frozenset()
) -> tuple[Header, ...]:
    """Return the fields that go on to the other side, without those replaced."""
    connection_value = find_field(headers, b"connection")
    excluded = HOP_BY_HOP_FIELDS | replaced
    if connection_value is not None:
        excluded = excluded | {
            item.strip().lower() for item in connection_value.split(b",")
        }
    return tuple(Header(name, value) for name, value in headers if name not in excluded)


def has_field(headers: Headers, name: bytes) -> bool:
    """Return whether a field is there, by its name in small letters."""
    return find_field(headers, name) is not None


def content_length(headers: Headers) -> int | None:
    """Return the stated length of a body in bytes, or None."""
    value = find_field(headers, b"content-length")
    return None if value is None else int(value)


def has_body(headers: Headers) -> bool:
    """Return whether a request's head announces a body."""
    length = content_length(headers)
    if length is not None:
        return length > 0
    return find_field(headers, b"transfer-encoding") is not None
