"""Names of the header fields that callers and upstreams of a deployment use.

Each deployment uses one dialect. `OWN_DIALECT` is the default; a platform integration
defines its own in its package.
"""

from collections.abc import Callable

import msgspec

from cicadawheel.announcement import (
    HEADER_DEADLINE_MS,
    HEADER_DEPTH,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
    HEADER_SERVICE,
    UpstreamLoad,
)

NO_FIELD = b""
"""Placeholder for a field that a dialect does not define."""


class Dialect(msgspec.Struct, frozen=True):
    """Lower-case names of header fields by purpose; `NO_FIELD` is never sent.

    Request fields: ``request_id``; ``deadline_ms``, the remaining time; ``depth``, the
    number of calls above this one in the call chain; ``service``, the called service;
    ``key``, the idempotency key of a request that must not be repeated;
    ``caller_service``, the service of the caller; and ``expected_upstream``, the only
    upstream that may run the request.

    Response fields: ``not_run``, which states that the request was not run; ``seal``,
    present if an upstream created the response; ``load``; ``cold_ms``; and
    ``upstream``, the name of the upstream. If ``echoes_request_id`` is true, responses
    also carry the ``request_id`` of their request.
    """

    request_id: bytes = HEADER_REQUEST_ID
    deadline_ms: bytes = HEADER_DEADLINE_MS
    depth: bytes = HEADER_DEPTH
    service: bytes = HEADER_SERVICE
    key: bytes = HEADER_IDEMPOTENCY_KEY
    not_run: bytes = HEADER_NOT_RUN
    caller_service: bytes = NO_FIELD
    expected_upstream: bytes = NO_FIELD
    seal: bytes = NO_FIELD
    load: bytes = NO_FIELD
    cold_ms: bytes = NO_FIELD
    upstream: bytes = NO_FIELD
    echoes_request_id: bool = False
    decode_load: Callable[[bytes], UpstreamLoad | None] | None = None
    """Decodes the value of the ``load`` field."""
    replaced_fields: frozenset[bytes] = frozenset(
        (HEADER_DEADLINE_MS, HEADER_DEPTH, HEADER_SERVICE)
    )
    """Fields that are not forwarded to an upstream, as the product sets its own."""


OWN_DIALECT = Dialect()
