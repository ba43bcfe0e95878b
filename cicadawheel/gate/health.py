"""Reads what an upstream says of itself, on one connection that is kept for it."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from cicadawheel.announcement import COLD_LIMIT_MS, UpstreamLoad
from cicadawheel.http.dialect import Dialect
from cicadawheel.http.fields import ResponseHead, find_field
from cicadawheel.http.upstream import ExchangeEnd, UpstreamConnection
from cicadawheel.ids import UpstreamId
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_MS = 500.0
"""Health is answered beside the work, within a millisecond where nothing is wrong."""

BODY_LIMIT_BYTES = 65_536
"""All that health says is in the head of its answer."""

OK_STATUS = 200


class HealthReport(msgspec.Struct, frozen=True):
    """What an upstream says; ``upstream`` is empty if it names itself not."""

    upstream: UpstreamId
    healthy: bool
    load: UpstreamLoad | None
    cold_ms: float | None


def read_health(response: ResponseHead, dialect: Dialect) -> HealthReport:
    """Return what the head of a health answer says."""
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
    """Return the load that an answer tells, or None."""
    value = find_field(response.headers, dialect.load)
    if value is None or dialect.decode_load is None:
        return None
    return dialect.decode_load(value)


class HealthReader:
    """Asks one upstream for its health, one question at a time.

    Parameters
    ----------
    dialect : Dialect
        The header fields of the answers.
    on_report : callable
        Takes each answer.
    """

    def __init__(self, dialect: Dialect, on_report: Callable[[HealthReport], None]):
        self.dialect = dialect
        self.on_report = on_report
        self._address: Address | None = None
        self._path = ""
        self._connection: UpstreamConnection | None = None
        self._connecting: asyncio.Task | None = None
        self._asked_at_ms: float | None = None
        self._body_bytes = 0

    def ask(self, address: Address, path: str, now_ms: float) -> None:
        """Send the next question, if the last one is answered."""
        if address != self._address:
            self.close()
            self._address = address
        if self._asked_at_ms is not None:
            if now_ms - self._asked_at_ms > ANSWER_TIMEOUT_MS:
                self.close()
            return
        self._path = path
        self._asked_at_ms = now_ms
        connection = self._connection
        if connection is not None and connection.is_reusable():
            self._send(connection)
        else:
            self._connection = None
            self._connecting = asyncio.ensure_future(self._connect(address))

    def close(self) -> None:
        """End the connection; an answer under way is lost."""
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._connection is not None:
            self._connection.cancel()
            self._connection = None
        self._asked_at_ms = None

    def may_use(self, connection: UpstreamConnection) -> bool:
        """Return true: the connection is the reader's own."""
        return True

    def matches_request(self, response: ResponseHead) -> bool:
        """Return true: nothing else is asked on this connection."""
        return True

    def connected(self, connection: UpstreamConnection) -> None:
        """Nothing to do: `_connect` goes on."""

    def head_received(self, response: ResponseHead) -> None:
        """Take the answer, all of which is in its head."""
        self.on_report(read_health(response, self.dialect))

    def body_received(self, data: bytes) -> None:
        """Drop the body, and the connection of one that doesn't end."""
        self._body_bytes += len(data)
        if self._body_bytes > BODY_LIMIT_BYTES:
            self.close()

    def body_ended(self) -> None:
        """Be ready for the next question."""
        self._asked_at_ms = None

    def exchange_failed(self, end: ExchangeEnd) -> None:
        """Connect anew for the next question."""
        self._connection = None
        self._asked_at_ms = None

    def upstream_writable(self) -> None:
        """Nothing to do: questions are short."""

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
            self._asked_at_ms = None
            return
        finally:
            self._connecting = None
        self._connection = connection
        self._send(connection)

    def _send(self, connection: UpstreamConnection) -> None:
        connection.owner = self
        self._body_bytes = 0
        fields = [(b"host", str(self._address).encode())]
        connection.send_request("GET", self._path, fields, b"", more=False)
