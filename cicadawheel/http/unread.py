"""Tells what the kernel knows of a connection that the event loop hasn't read yet."""

import asyncio
import select

# Not every system tells the end of a connection behind bytes that aren't read.
READ_END = getattr(select, "POLLRDHUP", 0)


def has_unread_bytes(
    connection: asyncio.BaseTransport | asyncio.StreamWriter,
) -> bool:
    """Return whether the kernel holds received bytes, or the end, of a connection."""
    if connection.is_closing():
        return False
    poll = select.poll()
    poll.register(connection.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_left(connection: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed or reset a connection, read or not."""
    if connection.is_closing():
        return False
    poll = select.poll()
    poll.register(connection.get_extra_info("socket").fileno(), READ_END)
    return bool(poll.poll(0))
