"""The HTTP server of a stand-in upstream: reads requests, streams answers."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable, Iterable

import h11
import msgspec


class UpstreamRequest(msgspec.Struct):
    """A request, with only the digest and size of its body."""

    method: str
    target: str
    headers: dict[bytes, bytes]
    body_digest: str = ""
    size_bytes: int = 0

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def text(self, name: bytes) -> str:
        """Return a header as text, or an empty string if it is missing."""
        return self.headers.get(name, b"").decode("latin-1")


class UpstreamAnswer(msgspec.Struct):
    """An answer whose body is generated while it is sent."""

    status: int
    headers: list[tuple[bytes, bytes]]
    size_bytes: int
    body: Iterable[bytes]


Handler = Callable[[UpstreamRequest], Awaitable[UpstreamAnswer]]


class UpstreamConnection(asyncio.Protocol):
    """Serves the requests of one connection, one after the other.

    The running request is cancelled when the connection closes.

    Parameters
    ----------
    handler : Handler
        Returns the answer to a request.
    connections : set of UpstreamConnection
        All open connections; this one adds and removes itself.
    limit : int
        The maximum number of connections; further ones are reset.
    """

    def __init__(
        self, handler: Handler, connections: set["UpstreamConnection"], limit: int
    ):
        self.closing = False
        self._handler = handler
        self._connections = connections
        self._limit = limit
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._request: UpstreamRequest | None = None
        self._digest = hashlib.sha256()
        self._task: asyncio.Task | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def busy(self) -> bool:
        """Whether a request is being read, run or answered."""
        return self._request is not None

    def connection_made(self, transport) -> None:
        """Register the connection, or reset it if the limit is reached."""
        self._transport = transport
        if len(self._connections) >= self._limit:
            transport.abort()
            return
        self._connections.add(self)

    def connection_lost(self, error) -> None:
        """Unregister the connection and cancel the running request."""
        self._connections.discard(self)
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection when the peer closes its side."""
        return False

    def pause_writing(self) -> None:
        """Pause sending until the transport's buffer has drained."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume sending."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        self._http.receive_data(data)
        self._read_events()

    def close_when_idle(self) -> None:
        """Close after the running request, or at once if there is none."""
        self.closing = True
        if not self.busy:
            self._transport.close()

    def _read_events(self) -> None:
        try:
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError:
            self._transport.abort()

    def _handle_event(self, event) -> None:
        if isinstance(event, h11.Request):
            headers = dict(event.headers)
            target = event.target.decode("latin-1")
            self._request = UpstreamRequest(event.method.decode(), target, headers)
            self._digest = hashlib.sha256()
        elif isinstance(event, h11.Data):
            self._digest.update(event.data)
            self._request.size_bytes += len(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._request.body_digest = self._digest.hexdigest()
            self._task = asyncio.ensure_future(self._serve(self._request))

    async def _serve(self, request: UpstreamRequest) -> None:
        try:
            await self._send(await self._handler(request))
        except Exception:
            self._transport.abort()
            raise
        self._task = None
        self._request = None
        if self.closing or self._http.our_state is h11.MUST_CLOSE:
            self._transport.close()
            return
        self._http.start_next_cycle()
        self._read_events()

    async def _send(self, answer: UpstreamAnswer) -> None:
        headers = [*answer.headers, (b"content-length", b"%d" % answer.size_bytes)]
        if self.closing:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=answer.status, headers=headers)
        data = self._http.send(head)
        for chunk in answer.body:
            data += self._http.send(h11.Data(data=chunk))
            self._transport.write(data)
            await self._writable.wait()
            data = b""
        data += self._http.send(h11.EndOfMessage())
        if data:
            self._transport.write(data)
