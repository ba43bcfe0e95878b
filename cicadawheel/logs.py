"""Structured logs: one line of key=value pairs for each event."""

import logging
import os
import stat
import sys
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

LINES_PER_S = 20.0
"""Lines of one event a second: what a person can still read after the fact."""

LINES_BURST = 60.0
"""Lines of one event at once, as when many calls end together."""

NOTICES_PER_S = 1.0
"""How often it is said how many lines were left out."""

LINE_LIMIT_BYTES = 4_000
"""A longer line is cut; a pipe takes shorter ones whole or not at all."""

NEEDS_QUOTES = (" ", '"', "=", "\n", "\r", "\t")


class KeyValueFormatter(BaseJsonFormatter):
    """Prints the record's fields as ``key=value`` pairs on one line."""

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the time of a line in UTC, to the millisecond."""
        whole = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        return f"{whole}.{int(record.msecs):03}Z"

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the fields as one line."""
        return " ".join(f"{key}={format_value(log_data[key])}" for key in log_data)


def format_value(value: Any) -> str:
    """Return a value as text, quoted where it would break the line."""
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    text = str(value)
    if text and not any(mark in text for mark in NEEDS_QUOTES):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class Allowance:
    """How many lines may be written: a rate, and a burst on top.

    Parameters
    ----------
    rate_per_s : float
        Lines a second in the long run.
    burst : float
        Lines that may come at once.
    """

    __slots__ = ("_at_s", "_left", "burst", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._left = burst
        self._at_s = 0.0

    def take(self, now_s: float) -> bool:
        """Return whether one more line may be written."""
        grown = (now_s - self._at_s) * self.rate_per_s
        self._left = min(self.burst, self._left + max(0.0, grown))
        self._at_s = now_s
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader.

    Each event has an allowance of its own, so that one that floods takes no other's
    place. Lines beyond it, and lines that the reader has no room for, are left out,
    and a line says how many they were.

    Parameters
    ----------
    descriptor : int
        Where the lines go.
    clock_s : callable
        Returns the time in seconds.
    """

    def __init__(self, descriptor: int, clock_s: Callable[[], float] = time.monotonic):
        super().__init__()
        self.descriptor = descriptor
        self._clock_s = clock_s
        self._allowances: dict[str, Allowance] = {}
        self._notices = Allowance(NOTICES_PER_S, 1.0)
        self._left_out = 0
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, if it is allowed and there is room."""
        now_s = self._clock_s()
        event = getattr(record, "event", record.msg)
        allowance = self._allowances.get(event)
        if allowance is None:
            allowance = self._allowances[event] = Allowance(LINES_PER_S, LINES_BURST)
        if not allowance.take(now_s):
            self._left_out += 1
            return
        if self._left_out and self._notices.take(now_s):
            self._tell_left_out(record)
        if not self._write(self.format(record)):
            self._left_out += 1

    def _tell_left_out(self, record: logging.LogRecord) -> None:
        notice = logging.makeLogRecord(
            {
                "name": record.name,
                "levelname": "INFO",
                "levelno": logging.INFO,
                "event": "lines_left_out",
                "lines": self._left_out,
            }
        )
        if self._write(self.format(notice)):
            self._left_out = 0

    def _write(self, line: str) -> bool:
        data = line.encode()[:LINE_LIMIT_BYTES] + b"\n"
        try:
            os.write(self.descriptor, data)
        except OSError:
            # Nothing may wait for, or fail with, whoever reads the log.
            return False
        return True


def configure_logs(process: str, level: str = "INFO") -> None:
    """Send the package's log to standard output.

    Parameters
    ----------
    process : str
        The name of this process, printed on each line.
    level : str
        The lowest level that is printed.
    """
    formatter = KeyValueFormatter(
        ["asctime", "levelname", "event"],
        rename_fields={"asctime": "at", "levelname": "level"},
        static_fields={"process": process},
    )
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(formatter)
    package_log = logging.getLogger("cicadawheel")
    package_log.handlers[:] = [handler]
    package_log.setLevel(level)
    package_log.propagate = False


def log_event(log: logging.Logger, event: str, **fields: Any) -> None:
    """Log one event at the level INFO.

    Parameters
    ----------
    log : logging.Logger
        The module's logger.
    event : str
        The event's name from the catalogue in docs/operators/events.md.
    **fields : object
        The event's fields, each with its unit as a suffix.
    """
    log.info(event, extra={"event": event, **fields})
