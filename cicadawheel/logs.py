"""Structured logging: one line of key=value pairs per event."""

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
"""Sustained rate per event, low enough for a person to read the log afterwards."""

LINES_BURST = 60.0
"""Burst per event, for example when many calls end together."""

DROP_NOTICES_PER_S = 1.0
"""Rate of the notices with the number of dropped lines."""

LINE_LIMIT_BYTES = 4_000
"""Longer lines are truncated: writes to a pipe are atomic only up to PIPE_BUF."""

QUOTED_CHARACTERS = (" ", '"', "=", "\n", "\r", "\t")


class KeyValueFormatter(BaseJsonFormatter):
    """Formats the record's fields as ``key=value`` pairs on one line."""

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the time of a record in UTC, with milliseconds."""
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        return f"{seconds}.{int(record.msecs):03}Z"

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the fields as one line."""
        return " ".join(f"{key}={format_value(log_data[key])}" for key in log_data)


def format_value(value: Any) -> str:
    """Return a value as text, quoted and escaped where needed."""
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    text = str(value)
    if text and not any(character in text for character in QUOTED_CHARACTERS):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class TokenBucket:
    """A token bucket that limits log lines to a rate with bursts.

    Parameters
    ----------
    rate_per_s : float
        Sustained rate, in lines per second.
    burst : float
        Maximum number of lines at once.
    """

    __slots__ = ("_tokens", "_updated_at_s", "burst", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._updated_at_s = 0.0

    def take(self, now_s: float) -> bool:
        """Return whether one more line may be written."""
        refill = (now_s - self._updated_at_s) * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + max(0.0, refill))
        self._updated_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking on its reader.

    Each event has its own rate limit, so that a flood of one event doesn't suppress
    others. Lines over the limit, and lines that a full pipe doesn't accept, are
    dropped, and a notice reports their number.

    Parameters
    ----------
    descriptor : int
        The file descriptor to write to.
    clock_s : callable
        Returns the time in seconds.
    """

    def __init__(self, descriptor: int, clock_s: Callable[[], float] = time.monotonic):
        super().__init__()
        self.descriptor = descriptor
        self._clock_s = clock_s
        self._buckets: dict[str, TokenBucket] = {}
        self._notice_bucket = TokenBucket(DROP_NOTICES_PER_S, 1.0)
        self._dropped = 0
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, unless the rate limit is exceeded or the pipe is full."""
        now_s = self._clock_s()
        event = getattr(record, "event", record.msg)
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = TokenBucket(LINES_PER_S, LINES_BURST)
        if not bucket.take(now_s):
            self._dropped += 1
            return
        if self._dropped and self._notice_bucket.take(now_s):
            self._report_dropped(record)
        if not self._write(self.format(record)):
            self._dropped += 1

    def _report_dropped(self, record: logging.LogRecord) -> None:
        notice = logging.makeLogRecord(
            {
                "name": record.name,
                "levelname": "INFO",
                "levelno": logging.INFO,
                "event": "lines_left_out",
                "lines": self._dropped,
            }
        )
        if self._write(self.format(notice)):
            self._dropped = 0

    def _write(self, line: str) -> bool:
        data = line.encode()
        if len(data) > LINE_LIMIT_BYTES:
            # Drops a character that the limit would split.
            data = data[:LINE_LIMIT_BYTES].decode(errors="ignore").encode()
        try:
            os.write(self.descriptor, data + b"\n")
        except OSError:
            # A full pipe or a closed reader must not block or fail the process.
            return False
        return True


def configure_logs(process: str, level: str = "INFO") -> None:
    """Send the log of the package to standard output.

    Parameters
    ----------
    process : str
        The name of this process, included in each line.
    level : str
        The lowest level to log.
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


def log_event(
    log: logging.Logger,
    event: str,
    *,
    traceback: bool = False,
    warning: bool = False,
    **fields: Any,
) -> None:
    """Log an event at level INFO, WARNING, or ERROR with a traceback.

    Parameters
    ----------
    log : logging.Logger
        The module's logger.
    event : str
        The event's name from the catalogue in docs/operators/events.md.
    traceback : bool
        Whether the traceback of the error being handled follows.
    warning : bool
        Whether the level is WARNING.
    **fields : object
        The event's fields, each with its unit as a suffix.
    """
    level = logging.WARNING if warning else logging.INFO
    level = logging.ERROR if traceback else level
    log.log(level, event, extra={"event": event, **fields}, exc_info=traceback)
