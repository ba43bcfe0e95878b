"""Limits on the number of fields of a head, and of the chunks of a body."""

FIELDS_LIMIT = 400
"""Most header fields of a request; each one costs much more than its bytes."""
FREE_PIECES = 1_000
"""Number of chunks of a body whose size doesn't matter."""
PIECE_MIN_BYTES = 16
"""Least average size of the chunks of a body that has more than `FREE_PIECES`."""


def too_small(pieces: int, size_bytes: int) -> bool:
    """Return whether a body of so many chunks has too few bytes."""
    return pieces > FREE_PIECES and size_bytes < pieces * PIECE_MIN_BYTES
