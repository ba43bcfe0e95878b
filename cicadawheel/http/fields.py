"""Parsing and lookup of header fields, and removal of hop-by-hop fields."""

from collections.abc import Sequence

import h11
import msgspec

from cicadawheel.messages import Header

Headers = Sequence[tuple[bytes, bytes]]
"""Header fields in order, with lower-case names."""

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
KEPT_FIELDS = frozenset((b"content-length", b"host"))
"""Fields that stay end-to-end even if ``Connection`` lists them."""

END_OF_MESSAGE = h11.EndOfMessage()
"""End of a message without trailers."""


class RequestHead(msgspec.Struct, frozen=True):
    """Method, target and header fields of a request."""

    method: bytes
    target: bytes
    headers: Headers


class ResponseHead(msgspec.Struct, frozen=True):
    """Status code and header fields of a response."""

    status_code: int
    headers: Headers


def read_request(event: h11.Request) -> RequestHead:
    """Return the head of an h11 request with lower-case field names."""
    return RequestHead(event.method, event.target, _read_fields(event))


def read_response(event: h11.Response) -> ResponseHead:
    """Return the head of an h11 response with lower-case field names."""
    return ResponseHead(event.status_code, _read_fields(event))


def _read_fields(event: h11.Request | h11.Response) -> Headers:
    fields = [(name.lower(), value) for name, value in event.headers.raw_items()]
    if not has_field(fields, b"transfer-encoding"):
        return fields
    # Chunks override the length, which may differ from theirs (RFC 9112, 6.3).
    return [field for field in fields if field[0] != b"content-length"]


def find_field(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a field, given its lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(
    headers: Headers, replaced: frozenset[bytes] = frozenset()
) -> tuple[Header, ...]:
    """Return the fields to forward.

    Leaves out hop-by-hop fields, those that ``Connection`` lists, and ``replaced``.
    """
    listed = {
        item.strip().lower()
        for name, value in headers
        if name == b"connection"
        for item in value.split(b",")
    }
    excluded = HOP_BY_HOP_FIELDS | replaced | (listed - KEPT_FIELDS)
    return tuple(Header(name, value) for name, value in headers if name not in excluded)


def has_field(headers: Headers, name: bytes) -> bool:
    """Return whether a field, given its lower-case name, is present."""
    return find_field(headers, name) is not None


def content_length(headers: Headers) -> int | None:
    """Return the value of ``Content-Length`` in bytes, or None if it is absent."""
    value = find_field(headers, b"content-length")
    return None if value is None else int(value)


def has_body(headers: Headers) -> bool:
    """Return whether a request head declares a body."""
    length = content_length(headers)
    if length is not None:
        return length > 0
    return find_field(headers, b"transfer-encoding") is not None
