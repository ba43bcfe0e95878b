"""Counts the bytes that processes sent and received on open TCP connections."""

import re
import subprocess

import msgspec

from cicadawheel.errors import CicadawheelError

LOCAL_COLUMN = 3
_PID = re.compile(r"pid=(\d+)")
_SENT = re.compile(r"bytes_sent:(\d+)")
_RECEIVED = re.compile(r"bytes_received:(\d+)")


class SocketBytes(msgspec.Struct):
    """Payload bytes of the open connections of a process."""

    sent: int = 0
    received: int = 0

    @property
    def total(self) -> int:
        """Bytes in both directions."""
        return self.sent + self.received


def read_socket_bytes(
    pids: set[int], ports: set[int] | None = None
) -> dict[int, SocketBytes]:
    """Return the bytes of each process's open connections.

    Parameters
    ----------
    pids : set of int
        The process ids.
    ports : set of int or None
        Count only connections with one of these ports at either end; None counts all.

    Raises
    ------
    CicadawheelError
        ``ss`` of iproute2 can't be run, or fails.
    """
    command = ["ss", "--tcp", "--info", "--processes", "--numeric"]
    command += ["--oneline", "--no-header"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, check=True)
    except (OSError, subprocess.CalledProcessError) as error:
        raise CicadawheelError(f"ss: {error}", step="count bytes") from error
    return parse_socket_bytes(done.stdout, pids, ports)


def parse_socket_bytes(
    text: str, pids: set[int], ports: set[int] | None = None
) -> dict[int, SocketBytes]:
    """Return the bytes of each process, parsed from the output of ``ss``."""
    found = {pid: SocketBytes() for pid in pids}
    for line in text.splitlines():
        match = _PID.search(line)
        if match is None or int(match.group(1)) not in pids:
            continue
        if ports is not None and not ports & set(_connection_ports(line)):
            continue
        counted = found[int(match.group(1))]
        counted.sent += _match_int(_SENT, line)
        counted.received += _match_int(_RECEIVED, line)
    return found


def _connection_ports(line: str) -> list[int]:
    ends = line.split()[LOCAL_COLUMN : LOCAL_COLUMN + 2]
    return [int(end.rpartition(":")[2]) for end in ends]


def _match_int(pattern: re.Pattern, line: str) -> int:
    match = pattern.search(line)
    return int(match.group(1)) if match else 0
