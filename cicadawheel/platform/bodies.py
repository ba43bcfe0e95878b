"""Strict decoding of JSON bodies from outside the process."""

from typing import Annotated, TypeVar

import msgspec

Body = TypeVar("Kind")

SAFE_INTEGER_LIMIT = 2**53 - 1
"""The largest integer that JSON implementations with 64-bit floats keep exactly."""

DURATION_LIMIT_S = 1e9
"""About 30 years; a longer duration is taken to be an input error."""

START_TIME_LIMIT_MS = 4_102_444_800_000
"""The year 2100. A later start time would make every valid one look outdated."""

SafeInteger = Annotated[
    int, msgspec.Meta(ge=-SAFE_INTEGER_LIMIT, le=SAFE_INTEGER_LIMIT)
]
Seconds = Annotated[float, msgspec.Meta(ge=-DURATION_LIMIT_S, le=DURATION_LIMIT_S)]
FiniteNumber = Annotated[
    float, msgspec.Meta(ge=-SAFE_INTEGER_LIMIT, le=SAFE_INTEGER_LIMIT)
]
StartTimeMs = Annotated[int, msgspec.Meta(ge=0, le=START_TIME_LIMIT_MS)]


def decode_body(body: bytes, body_type: type[Body]) -> Body:
    """Decode a JSON body as ``body_type``.

    Raises
    ------
    ValueError
        The body is malformed, doesn't match the type, or is nested too deeply.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error


def canonical_json(body: bytes) -> bytes:
    """Encode a JSON body with sorted keys, so that equal content has equal bytes.

    Raises
    ------
    ValueError
        The body is malformed, or nested too deeply.
    """
    try:
        return msgspec.json.encode(msgspec.json.decode(body), order="sorted")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
