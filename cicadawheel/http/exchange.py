"""HTTP client and server for small messages that are buffered whole.

Used for operators' commands, announcements, health checks and dumps. Bodies are held in
memory up to the size limit of their port, and counted in the account of the process.
Calls use `http.caller` and `http.upstream`, which stream.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import h11
import msgspec

from cicadawheel.errors import CicadawheelError, ConnectionLostError, ProtocolError
from cicadawheel.holdings import EndReason, Holding, HoldingKind, Holdings
from cicadawheel.http.fields import END_OF_MESSAGE, content_length
from cicadawheel.http.pieces import PIECES_PER_TURN, too_small
from cicadawheel.http.unread import has_unread_bytes
from cicadawheel.logs import log_event
from cicadawheel.settings import Address, HoldingSettings
from cicadawheel.timer import MS_PER_S, SystemClock

log = logging.getLogger(__name__)

BODY_LIMIT_BYTES = 8 * 1024 * 1024
READ_SIZE_BYTES = 65_536
IDLE_TIMEOUT_MS = 30_000.0
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


def _never_abandoned() -> bool:
    return False


class HttpRequest(msgspec.Struct, frozen=True):
    """A complete request.

    ``is_abandoned`` returns whether the client has closed its connection, so that it
    no longer waits for the response and may have sent the request elsewhere.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    is_abandoned: Callable[[], bool] = _never_abandoned

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]


class HttpAnswer(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: dict[str, str] = {}


Handler = Callable[[HttpRequest], Awaitable[HttpAnswer]]


class PortLimits(msgspec.Struct, frozen=True):
    """The largest body that a port accepts, and how many connections it keeps open."""

    body_bytes: int = BODY_LIMIT_BYTES
    connections: int = 256


ORDER_PORT_LIMITS = PortLimits()
"""Limits of a port that takes operators' commands and configurations."""
PROBE_PORT_LIMITS = PortLimits(body_bytes=4_096, connections=64)
"""Limits of a port whose requests have no body."""
NOTICE_PORT_LIMITS = PortLimits(body_bytes=65_536, connections=64)
"""Limits of a port that takes announcements of upstreams."""


def json_answer(value: object, status: int = 200) -> HttpAnswer:
    """Return a response with a value encoded as JSON."""
    return HttpAnswer(status, msgspec.json.encode(value) + b"\n")


def text_answer(text: str, status: int = 200) -> HttpAnswer:
    """Return a plain-text response."""
    return HttpAnswer(status, text.encode(), TEXT_TYPE)


async def fetch(
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_ms: float = 5_000.0,
    body_limit_bytes: int = BODY_LIMIT_BYTES,
) -> HttpAnswer:
    """Send one request on a new connection and return the complete response.

    Raises
    ------
    ConnectionLostError
        The peer is unreachable, closed the connection before the response was
        complete, or did not respond in time.
    ProtocolError
        The response is not valid HTTP, or its body exceeds the limit.
    """
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_S):
            sent = (method, target, body, headers or {})
            return await _fetch(address, *sent, body_limit_bytes)
    except (OSError, TimeoutError) as error:
        reason = str(error) or f"no answer within {timeout_ms:.0f} ms"
        raise ConnectionLostError(reason, step="fetch", peer=str(address)) from error
    except h11.RemoteProtocolError as error:
        raise ProtocolError(str(error), step="fetch", peer=str(address)) from error


async def _fetch(
    address, method, target, body, headers, body_limit_bytes
) -> HttpAnswer:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        connection = h11.Connection(h11.CLIENT)
        fields = [("Host", str(address)), ("Connection", "close")]
        fields += list(headers.items())
        fields.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=fields)
        data = connection.send(request)
        data += connection.send(h11.Data(data=body)) if body else b""
        writer.write(data + connection.send(END_OF_MESSAGE))
        await writer.drain()
        head, content = await _read_message(connection, reader, body_limit_bytes)
    except h11.RemoteProtocolError as error:
        if not _received_eof(connection):
            raise
        reason = "closed before a whole answer"
        raise ConnectionLostError(reason, step="fetch", peer=str(address)) from error
    finally:
        writer.close()
    received = {key.decode(): value.decode("latin-1") for key, value in head.headers}
    content_type = received.get("content-type", "")
    return HttpAnswer(head.status_code, content, content_type, received)


def _received_eof(connection: h11.Connection) -> bool:
    """Return whether the peer has closed its sending side."""
    _, closed = connection.trailing_data
    return closed


async def _next_event(connection: h11.Connection, reader: asyncio.StreamReader):
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await reader.read(READ_SIZE_BYTES))


async def _read_message(connection, reader, body_limit_bytes, holding=None):
    head = await _next_event(connection, reader)
    while isinstance(head, h11.InformationalResponse):
        head = await _next_event(connection, reader)
    if isinstance(head, h11.ConnectionClosed):
        return None, b""
    if isinstance(head, h11.Request):
        _check_body(content_length(head.headers) or 0, body_limit_bytes)
    content = bytearray()
    pieces = small_pieces = 0
    while True:
        event = await _next_event(connection, reader)
        if isinstance(event, h11.EndOfMessage):
            return head, bytes(content)
        content += event.data
        pieces += 1
        _check_body(len(content), body_limit_bytes)
        if holding is not None:
            holding.move(len(event.data))
            holding.hold(len(content))
        small_pieces += too_small(pieces, len(content))
        if small_pieces >= PIECES_PER_TURN:
            small_pieces = 0
            await _wait_for_turn(pieces, holding)


async def _wait_for_turn(pieces: int, holding: Holding | None) -> None:
    """Let others go on before more very small chunks of a body are read."""
    if holding is None:
        await asyncio.sleep(0)
        return
    holding.expect(False)
    await holding.account.piece_turns.take(pieces)
    holding.expect(True)


def _check_body(size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        raise h11.RemoteProtocolError("body is too long", 413)


class HttpServer:
    """An HTTP server that can finish its exchanges before it stops.

    Parameters
    ----------
    handler : callable
        Handles the requests.
    limits : PortLimits
        The limits of this port.
    holdings : Holdings
        The account of the process.
    """

    def __init__(self, handler: Handler, limits: PortLimits, holdings: Holdings):
        self.connections: set[ServerConnection] = set()
        self.limits = limits
        self.holdings = holdings
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._finishing = False

    @property
    def sockets(self) -> tuple[asyncio.trsock.TransportSocket, ...]:
        """The listening sockets."""
        return self._server.sockets

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._on_connection, address.host, address.port
        )

    async def serve_forever(self) -> None:
        """Serve until the server is closed."""
        await self._server.serve_forever()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def wait_closed(self) -> None:
        """Wait until the server has stopped listening."""
        await self._server.wait_closed()

    async def finish(self, timeout_ms: float) -> bool:
        """Stop listening and finish the exchanges in progress.

        Idle connections are closed at once. Returns whether all answers were sent
        within ``timeout_ms``.
        """
        self.close()
        self._finishing = True
        # Connections notice bytes that were read for them in the next turn.
        await asyncio.sleep(0)
        for connection in self.connections:
            connection.finish()
        tasks = [connection.task for connection in self.connections]
        if not tasks:
            return True
        _, pending = await asyncio.wait(tasks, timeout=timeout_ms / MS_PER_S)
        if pending:
            log_event(log, "exchanges_unfinished", exchanges=len(pending))
        return not pending

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = ServerConnection(self, self._handler, reader, writer)
        if self._finishing:
            connection.finish()
        self.connections.add(connection)
        if len(self.connections) > self.limits.connections:
            self._end_oldest()
        try:
            await connection.serve()
        except (OSError, TimeoutError, asyncio.CancelledError):
            return
        finally:
            self.connections.discard(connection)
            connection.holding.release()
            writer.close()

    def _end_oldest(self) -> None:
        """End the connection that has waited longest for a request or its client.

        A new client isn't refused: those that were there first may stay for long.
        """
        waiting = [one for one in self.connections if not one.answering]
        if waiting:
            oldest = min(waiting, key=lambda one: one.waiting_since_s)
            self.connections.discard(oldest)
            log_event(
                log,
                "client_ended",
                warning=True,
                peer=oldest.peer,
                kind=HoldingKind.EXCHANGE.value,
                reason="too many connections",
                limit=self.limits.connections,
            )
            oldest.abort()


class ServerConnection:
    """One connection of a client, with one exchange at a time.

    Parameters
    ----------
    server : HttpServer
        The server of its port.
    handler : callable
        Handles the requests.
    reader, writer : StreamReader, StreamWriter
        The connection; the current task serves it.
    """

    def __init__(
        self,
        server: HttpServer,
        handler: Handler,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self.task = asyncio.current_task()
        self.in_progress = False
        self.answering = False
        self.peer = str(writer.get_extra_info("peername"))
        self.waiting_since_s = asyncio.get_running_loop().time()
        self.holding = server.holdings.open(HoldingKind.EXCHANGE, self.peer, self)
        self._body_limit_bytes = server.limits.body_bytes
        self._handler = handler
        self._reader = reader
        self._writer = writer
        self._finishing = False

    def finish(self) -> None:
        """Close the connection now if it is idle, else after the next answer."""
        self._finishing = True
        if not self.in_progress and not has_unread_bytes(self._writer):
            self._writer.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def pause_holding(self) -> None:
        """Do nothing: the stream reads no further than its own buffer."""

    def resume_holding(self) -> None:
        """Do nothing, as nothing was paused."""

    def end_holding(self, reason: EndReason) -> None:
        """Close the connection, unless its request is being handled."""
        if not self.answering:
            self.abort()

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        connection = h11.Connection(h11.SERVER)
        while await self._serve_exchange(connection) and not self._finishing:
            connection.start_next_cycle()
            self.waiting_since_s = asyncio.get_running_loop().time()
            # Requests that were sent ahead leave the others their turn.
            await asyncio.sleep(0)
        self._writer.close()
        await self._writer.wait_closed()

    async def _serve_exchange(self, connection: h11.Connection) -> bool:
        """Serve one request and return whether the connection can be used again."""
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_MS / MS_PER_S):
                await self._wait_for_request(connection)
                self.holding.expect(True)
                head, content = await _read_message(
                    connection, self._reader, self._body_limit_bytes, self.holding
                )
        except h11.RemoteProtocolError as error:
            log_event(log, "caller_refused", peer=self.peer, reason=str(error))
            answer = text_answer(f"{error}\n", error.error_status_hint)
            self._send(connection, answer)
            return False
        self.holding.expect(False)
        if head is None:
            return False
        self.answering = True
        answer = await _run_handler(
            self._handler, head, content, lambda: _has_ended(self._reader)
        )
        self.answering = False
        self._send(connection, answer)
        self.holding.hold(self._writer.transport.get_write_buffer_size())
        async with asyncio.timeout(IDLE_TIMEOUT_MS / MS_PER_S):
            await self._writer.drain()
        self.holding.hold(0)
        return connection.our_state is connection.their_state is h11.DONE

    async def _wait_for_request(self, connection: h11.Connection) -> None:
        """Wait for the first bytes of a request, or for the connection's end."""
        received, _ = connection.trailing_data
        self.in_progress = bool(received)
        if not received:
            connection.receive_data(await self._reader.read(READ_SIZE_BYTES))
            self.in_progress = True

    def _send(self, connection: h11.Connection, answer: HttpAnswer) -> None:
        self._writer.write(_encode_answer(connection, answer, self._finishing))


async def serve_http(
    address: Address,
    handler: Handler,
    limits: PortLimits = ORDER_PORT_LIMITS,
    holdings: Holdings | None = None,
) -> HttpServer:
    """Start an HTTP server; an error in the handler gives a response with status 500.

    Invalid JSON in a request body gives status 400. Without ``holdings``, the port has
    an account of its own.
    """
    if holdings is None:
        holdings = Holdings(HoldingSettings(), SystemClock())
    server = HttpServer(handler, limits, holdings)
    await server.start(address)
    return server


def _has_ended(reader: asyncio.StreamReader) -> bool:
    """Return whether the client has closed or reset its connection."""
    return reader.at_eof() or reader.exception() is not None


async def _run_handler(
    handler: Handler,
    head: h11.Request,
    content: bytes,
    is_abandoned: Callable[[], bool],
) -> HttpAnswer:
    headers = {key.decode(): value.decode("latin-1") for key, value in head.headers}
    method, target = head.method.decode(), head.target.decode("latin-1")
    try:
        request = HttpRequest(method, target, headers, content, is_abandoned)
        return await handler(request)
    except msgspec.ValidationError as error:
        return text_answer(f"the body can't be used: {error}\n", 400)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return text_answer(f"the body is no JSON: {error}\n", 400)
    except CicadawheelError as error:
        log_event(log, "exchange_failed", target=target, reason=str(error))
        return text_answer(f"{error}\n", 500)
    except Exception as error:
        log.exception("exchange_failed", extra={"event": "exchange_failed"})
        return text_answer(f"internal error: {type(error).__name__}\n", 500)


def _encode_answer(
    connection: h11.Connection, answer: HttpAnswer, closes: bool
) -> bytes:
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return b""
    fields = [("Content-Type", answer.content_type)]
    fields += list(answer.headers.items())
    fields.append(("Content-Length", str(len(answer.body))))
    if closes:
        fields.append(("Connection", "close"))
    data = connection.send(h11.Response(status_code=answer.status, headers=fields))
    if answer.body:
        data += connection.send(h11.Data(data=answer.body))
    return data + connection.send(END_OF_MESSAGE)
