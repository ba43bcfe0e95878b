"""Limits on the chunks of a body, and what the fields of a head cost."""

FIELD_OBJECTS_BYTES = 512
"""What a header field of a few bytes takes as objects, in its head and its call."""
FREE_PIECES = 1_000
"""Number of chunks of a body whose size doesn't matter."""
PIECE_MIN_BYTES = 16
"""Least average size of the chunks of a body that has more than `FREE_PIECES`. A few
bodies of a process may have smaller ones, see `Holdings.admits_small_pieces`."""


def too_small(pieces: int, size_bytes: int) -> bool:
    """Return whether a body of so many chunks has too few bytes."""
    return pieces > FREE_PIECES and size_bytes < pieces * PIECE_MIN_BYTES
