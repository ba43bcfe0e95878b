"""The names of the header fields that callers and upstreams of a deployment use.

A deployment speaks one dialect. The product's own is `OWN_DIALECT`; a platform's comes
from the folder that knows its names.
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
"""Stands for a field that a dialect doesn't have."""


class Dialect(msgspec.Struct, frozen=True):
    """Header fields by what they say, in small letters; `NO_FIELD` is never sent.

    Requests carry ``request_id``, the time that is left in ``deadline_ms``, the number
    of calls above in ``depth``, the called ``service``, the ``key`` of a request that
    must never repeat, the service of the caller in ``caller_service``, and in
    ``expected_upstream`` the only upstream that may run it.

    Answers say ``not_run``, carry ``seal`` if an upstream has made them, ``load`` and
    ``cold_ms``, and name their upstream in ``upstream``. Where ``echoes`` is true, they
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
    echoes: bool = False
    decode_load: Callable[[bytes], UpstreamLoad | None] | None = None
    """Reads the value of ``load``."""
    call_fields: frozenset[bytes] = frozenset(
        (HEADER_DEADLINE_MS, HEADER_DEPTH, HEADER_SERVICE)
    )
    """What the product sets itself on the way to an upstream."""


OWN_DIALECT = Dialect()
