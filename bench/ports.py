"""Free loopback ports, outside the ephemeral port range.

A port stays reserved while this process runs: a socket that is bound but doesn't listen
keeps other bench processes from taking it, and still lets a server with
``SO_REUSEADDR`` listen on it.
"""

import os
import random
import socket

FIRST_PORT = 10_000
LAST_PORT = 32_000

_rng = random.Random(os.getpid())
_reserved: list[socket.socket] = []


def free_port() -> int:
    """Reserve an unused port and return it."""
    while True:
        port = _rng.randrange(FIRST_PORT, LAST_PORT)
        holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            holder.bind(("127.0.0.1", port))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved.append(holder)
        return port
