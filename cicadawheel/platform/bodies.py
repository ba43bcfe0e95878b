"""Bodies that come from outside, read in full or refused."""

from typing import Annotated, TypeVar

import msgspec

Kind = TypeVar("Kind")

NUMBER_LIMIT = 2**53 - 1
"""The largest whole number that every writer of JSON can tell from its neighbours."""

DURATION_LIMIT_S = 1e9
"""Thirty years; whatever is longer is no duration but a mistake."""

BORN_LIMIT_MS = 4_102_444_800_000
"""The year 2100. A start beyond it would make every true one look old."""

WholeNumber = Annotated[int, msgspec.Meta(ge=-NUMBER_LIMIT, le=NUMBER_LIMIT)]
Seconds = Annotated[float, msgspec.Meta(ge=-DURATION_LIMIT_S, le=DURATION_LIMIT_S)]
Finite = Annotated[float, msgspec.Meta(ge=-NUMBER_LIMIT, le=NUMBER_LIMIT)]
BornMs = Annotated[int, msgspec.Meta(ge=0, le=BORN_LIMIT_MS)]


def decode_body(body: bytes, kind: type[Kind]) -> Kind:
    """Return a body as a value of a type.

    Raises
    ------
    ValueError
        It can't be read, has another form, or is nested too deeply.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error


def canonical_body(body: bytes) -> bytes:
    """Return the form of a body that all bodies of the same content have.

    Raises
    ------
    ValueError
        It can't be read, or is nested too deeply.
    """
    try:
        return msgspec.json.encode(msgspec.json.decode(body), order="sorted")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
