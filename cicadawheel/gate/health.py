"""Polls the health endpoint of an upstream on its idle connections in turn.

A connection may go silent for good while others work. Calls would find that out at the
expense of their callers, so each kept connection is checked while it is idle.
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from cicadawheel.announcement import COLD_LIMIT_MS, UpstreamLoad
from cicadawheel.http.dialect import Dialect
from cicadawheel.http.fields import ResponseHead, find_field
from cicadawheel.http.upstream import ExchangeEnd, UpstreamConnection, UpstreamPool
from cicadawheel.ids import UpstreamId
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_MS = 500.0
"""A healthy upstream answers health checks within a millisecond, whatever its load."""

BODY_LIMIT_BYTES = 65_536
"""Bodies are discarded: all of the health report is in the response head."""

OK_STATUS = 200


class HealthReport(msgspec.Struct, frozen=True):
    """A health report; ``upstream`` is empty if the response doesn't name it."""

    upstream: UpstreamId
    healthy: bool
    load: UpstreamLoad | None
    cold_ms: float | None


def read_health(response: ResponseHead, dialect: Dialect) -> HealthReport:
    """Parse the head of a health response."""
    headers = response.headers
    named = find_field(headers, dialect.upstream) or b""
    cold = find_field(headers, dialect.cold_ms)
    try:
        cold_ms = None if cold is None else float(cold)
    except ValueError:
        cold_ms = None
    if cold_ms is not None:
        cold_ms = max(0.0, cold_ms) if cold_ms <= COLD_LIMIT_MS else None
    return HealthReport(
        UpstreamId(named.decode("latin-1")),
        response.status_code == OK_STATUS,
        read_load(response, dialect),
        cold_ms,
    )


def read_load(response: ResponseHead, dialect: Dialect) -> UpstreamLoad | None:
    """Parse the load field of a response; return None without a valid one."""
    value = find_field(response.headers, dialect.load)
    if value is None or dialect.decode_load is None:
        return None
    return dialect.decode_load(value)


class HealthReader:
    """Polls the health of one upstream, one request at a time.

    Parameters
    ----------
    dialect : Dialect
        The header fields of the responses.
    on_report : callable
        Called with each report.
    on_silence : callable, optional
        Called when a connection that has brought responses brings no more.
    pool : UpstreamPool, optional
        The connections for calls, which are checked while they are idle.
    """

    def __init__(
        self,
        dialect: Dialect,
        on_report: Callable[[HealthReport], None],
        on_silence: Callable[[], None] = lambda: None,
        pool: UpstreamPool | None = None,
    ):
        self.dialect = dialect
        self.on_report = on_report
        self.on_silence = on_silence
        self.pool = pool
        self._was_in_use = False
        self._address: Address | None = None
        self._path = ""
        self._own: UpstreamConnection | None = None
        self._polled: UpstreamConnection | None = None
        self._connecting: asyncio.Task | None = None
        self._polled_at_ms: float | None = None
        self._body_bytes = 0

    def poll(self, address: Address, path: str, now_ms: float) -> None:
        """Send the next health request unless one is in flight."""
        if address != self._address:
            self.close()
            self._address = address
        if self._polled_at_ms is not None:
            if now_ms - self._polled_at_ms > ANSWER_TIMEOUT_MS:
                if self._was_in_use:
                    self.on_silence()
                self._cancel_poll()
            return
        self._path = path
        self._polled_at_ms = now_ms
        connection = self._longest_idle()
        if connection is not None:
            self._was_in_use = True
            self._send(connection)
        else:
            self._connecting = asyncio.ensure_future(self._connect(address))

    def _longest_idle(self) -> UpstreamConnection | None:
        """Return the connection that has been idle for longest, None without one."""
        if self._own is not None and not self._own.is_reusable():
            self._own = None
        kept = None if self.pool is None else self.pool.longest_idle()
        if kept is None:
            return self._own
        if self._own is not None and self._own.idle_since_s <= kept.idle_since_s:
            return self._own
        self.pool.take(kept)
        return kept

    def close(self) -> None:
        """Close the own connection and drop the request in flight."""
        self._cancel_poll()
        if self._own is not None:
            self._own.cancel()
            self._own = None

    def _cancel_poll(self) -> None:
        """Drop the request in flight with its connection."""
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        polled = self._polled
        self._end_poll()
        if polled is not None:
            if polled is self._own:
                self._own = None
            polled.cancel()

    def _end_poll(self) -> None:
        self._polled = None
        self._polled_at_ms = None
        self._was_in_use = False

    def may_use(self, connection: UpstreamConnection) -> bool:
        """Return True, as no other request uses this connection."""
        return True

    def matches_request(self, response: ResponseHead) -> bool:
        """Return True, as no other request uses this connection."""
        return True

    def connected(self, connection: UpstreamConnection) -> None:
        """Do nothing: `_connect` sends the request."""

    def head_received(self, response: ResponseHead) -> None:
        """Report the health from the response head."""
        self.on_report(read_health(response, self.dialect))

    def body_received(self, data: bytes) -> None:
        """Discard the body; close the connection if it exceeds the limit."""
        self._body_bytes += len(data)
        if self._body_bytes > BODY_LIMIT_BYTES:
            self._cancel_poll()

    def body_ended(self) -> None:
        """Allow the next request."""
        self._end_poll()

    def exchange_failed(self, end: ExchangeEnd) -> None:
        """Drop the connection, so that the next request uses another one."""
        if self._polled is self._own:
            self._own = None
        self._end_poll()

    def upstream_writable(self) -> None:
        """Do nothing: health requests have no body."""

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / MS_PER_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(lambda _: None),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError):
            self._polled_at_ms = None
            return
        finally:
            if self._connecting is asyncio.current_task():
                self._connecting = None
        self._own = connection
        self._send(connection)

    def _send(self, connection: UpstreamConnection) -> None:
        self._polled = connection
        connection.owner = self
        connection.carried_health_check = True
        self._body_bytes = 0
        fields = [(b"host", str(self._address).encode())]
        connection.send_request("GET", self._path, fields, b"", more=False)
