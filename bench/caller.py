"""HTTP/1.1 client of the load generator, with persistent connections."""

import asyncio
import hashlib

import h11

from bench.calls import Call, Reply
from bench.content import (
    HEADER_ANSWER_BYTES,
    HEADER_ATTEMPT,
    HEADER_CRASH,
    HEADER_TOKEN,
    chunks,
)
from cicadawheel.announcement import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    HEADER_SERVICE,
)
from cicadawheel.errors import ConnectionLostError
from cicadawheel.settings import Address


def request_of(call: Call, attempt: str, host: str) -> h11.Request:
    """Return the request head of a call."""
    kind = call.kind
    headers = [
        (b"host", host.encode()),
        (HEADER_SERVICE, kind.service.encode()),
        (HEADER_REQUEST_ID, attempt.encode()),
        (HEADER_DEADLINE_MS, b"%d" % kind.deadline_ms),
        (HEADER_TOKEN, call.token.encode()),
        (HEADER_ATTEMPT, attempt.encode()),
        (HEADER_ANSWER_BYTES, b"%d" % kind.answer_bytes),
    ]
    if kind.never_repeat:
        headers.append((HEADER_IDEMPOTENCY_KEY, call.key.encode()))
    if kind.crash:
        headers.append((HEADER_CRASH, b"1"))
    if kind.body_bytes or kind.method != "GET":
        headers.append((b"content-length", b"%d" % kind.body_bytes))
    return h11.Request(method=kind.method, target=kind.path, headers=headers)


class CallerConnection(asyncio.Protocol):
    """A client connection that carries one call at a time."""

    def __init__(self):
        self.closed = False
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Reply] | None = None
        self._head: h11.Response | None = None
        self._digest = hashlib.sha256()
        self._size_bytes = 0
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, error) -> None:
        """Fail the pending call, unless its answer is complete."""
        self.closed = True
        self._writable.set()
        self._feed(b"")
        if self._answer is not None and not self._answer.done():
            reason = str(error or "closed by the peer")
            lost = ConnectionLostError(reason, step="call")
            self._answer.set_exception(lost)

    def pause_writing(self) -> None:
        """Suspend sending of the request body."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume sending of the request body."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes."""
        self._feed(data)

    def close(self) -> None:
        """Reset the connection."""
        self.closed = True
        self._transport.abort()

    async def exchange(self, call: Call, attempt: str, host: str) -> Reply:
        """Send a call and return its complete answer.

        Raises
        ------
        ConnectionLostError
            The connection was closed before the answer was complete.
        """
        self._answer = asyncio.get_running_loop().create_future()
        self._head = None
        self._digest = hashlib.sha256()
        self._size_bytes = 0
        try:
            await self._send(call, attempt, host)
            reply = await self._answer
        except BaseException:
            self._answer.cancel()
            self.close()
            raise
        self._recycle()
        return reply

    async def _send(self, call: Call, attempt: str, host: str) -> None:
        data = self._http.send(request_of(call, attempt, host))
        for chunk in chunks(call.block, call.kind.body_bytes):
            if self._answer.done():
                return
            if not chunk:
                continue
            self._transport.write(data + self._http.send(h11.Data(data=chunk)))
            data = b""
            await self._writable.wait()
        self._transport.write(data + self._http.send(h11.EndOfMessage()))

    def _recycle(self) -> None:
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if done and not self.closed:
            self._http.start_next_cycle()
        else:
            self.close()

    def _feed(self, data: bytes) -> None:
        if self._answer is None or self._answer.done():
            self.closed = self.closed or not data
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._answer.set_exception(ConnectionLostError(str(error), step="call"))

    def _read_events(self) -> None:
        while not self._answer.done():
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._take(event)

    def _take(self, event) -> None:
        if isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.Data):
            self._digest.update(event.data)
            self._size_bytes += len(event.data)
        elif isinstance(event, h11.EndOfMessage):
            head = self._head
            digest = self._digest.hexdigest()
            headers = dict(head.headers)
            reply = Reply(head.status_code, headers, self._size_bytes, digest)
            self._answer.set_result(reply)
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError(
                "connection closed before the response was complete"
            )


class Caller:
    """A pool of persistent connections to one entry.

    Parameters
    ----------
    address : Address
        The address of the entry, or of an upstream for direct calls.
    """

    def __init__(self, address: Address):
        self.address = address
        self._host = str(address)
        self._idle: list[CallerConnection] = []

    async def exchange(self, call: Call, attempt: str) -> Reply:
        """Send a call on an idle or new connection and return its complete answer.

        Raises
        ------
        ConnectionLostError
            The connection can't be opened, or was closed before the answer was
            complete.
        """
        connection = self._take_idle() or await self._connect()
        reply = await connection.exchange(call, attempt, self._host)
        if not connection.closed:
            self._idle.append(connection)
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self) -> CallerConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
        return None

    async def _connect(self) -> CallerConnection:
        loop = asyncio.get_running_loop()
        host, port = self.address.host, self.address.port
        try:
            _, connection = await loop.create_connection(CallerConnection, host, port)
        except OSError as error:
            raise ConnectionLostError(
                str(error), step="connect", peer=self._host
            ) from error
        return connection
