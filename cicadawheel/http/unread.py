"""Tells whether a connection has bytes that the event loop hasn't read yet."""

import asyncio
import select


def has_unread_bytes(
    connection: asyncio.BaseTransport | asyncio.StreamWriter,
) -> bool:
    """Return whether the kernel holds received bytes, or the end, of a connection."""
    if connection.is_closing():
        return False
    poll = select.poll()
    poll.register(connection.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
