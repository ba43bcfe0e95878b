"""HTTP/1.1 client connections to an upstream and a keep-alive pool of them."""

import asyncio
import logging
import math
import re
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import h11

from cicadawheel.http.fields import (
    END_OF_MESSAGE,
    ResponseHead,
    find_field,
    read_response,
)
from cicadawheel.ids import RequestId
from cicadawheel.logs import log_event
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d{1,9})(?!\d)")
# An idle connection is closed this long before the keep-alive timeout that the upstream
# announced. Upstreams count that timeout in whole seconds.
KEEP_ALIVE_MARGIN_S = 1.5
# Largest request body for which the parser can be reset after a stale response, as the
# new parser needs as many body bytes as were sent.
REPLAYED_BODY_LIMIT_BYTES = 1_048_576
# Most body bytes of responses to earlier requests that are discarded on a connection.
STALE_RESPONSE_LIMIT_BYTES = 1_048_576
# A connection with more refused requests than this to remember is closed when idle.
REFUSED_REQUEST_LIMIT = 64
# Most interim (1xx) responses before the final one; upstreams normally send one or two.
INTERIM_RESPONSE_LIMIT = 16
# Most events of the parser that are handled in one turn of the event loop. One read can
# hold tens of thousands of tiny chunks, which would delay all other work.
EVENTS_PER_TURN = 200


class ExchangeEnd(Enum):
    """Why an exchange failed before its response was complete.

    With ``UNREACHABLE`` and ``UNSENT``, the upstream got no byte of the request.
    """

    UNREACHABLE = "unreachable"
    UNSENT = "unsent"
    LOST = "lost"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"


class ExchangeOwner(Protocol):
    """Receives the events of one exchange with an upstream."""

    def connected(self, connection: "UpstreamConnection") -> None:
        """Handle a ready connection, on which nothing of the request was sent yet."""

    def may_use(self, connection: "UpstreamConnection") -> bool:
        """Return whether a connection is safe to use for this exchange.

        It is not if a duplicate of a response received on it earlier could be mistaken
        for the response to this exchange.
        """

    def matches_request(self, response: ResponseHead) -> bool:
        """Return whether a response belongs to the request of this exchange."""

    def head_received(self, response: ResponseHead) -> None:
        """Handle the head of the response."""

    def body_received(self, data: bytes) -> None:
        """Handle a chunk of the response body."""

    def body_ended(self) -> None:
        """Handle the end of the response."""

    def exchange_failed(self, end: ExchangeEnd) -> None:
        """Handle the failure of the exchange."""

    def upstream_writable(self) -> None:
        """Resume sending, as the write buffer has drained."""


class UpstreamConnection(asyncio.Protocol):
    """One persistent connection to an upstream, for one exchange at a time.

    Parameters
    ----------
    released : Callable
        Called with the connection when it is free for the next exchange or has been
        closed.
    """

    def __init__(self, released: Callable[["UpstreamConnection"], None]):
        self.owner: ExchangeOwner | None = None
        self.writable = True
        self.wrote_request = False
        self.refused_requests: set[RequestId] = set()
        self.carried_health_check = False
        self.generation = 0
        self._released = released
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._received_head = False
        self._reading = True
        self._turn_pending = False
        self._discarding = False
        self._discarded_bytes = 0
        self._interim_responses = 0
        self._received_stale_response = False
        self._request: h11.Request | None = None
        self._body_bytes = 0
        self._ended_early = False
        self.idle_since_s = 0.0
        self.idle_limit_s = math.inf

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def is_reusable(self) -> bool:
        """Return whether an idle connection is open and within its keep-alive timeout.

        A connection past that timeout is closed.
        """
        if not self.is_open:
            return False
        idle_s = asyncio.get_running_loop().time() - self.idle_since_s
        if idle_s >= self.idle_limit_s:
            self.close()
            return False
        return True

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send_request(
        self,
        method: str,
        target: str,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
        more: bool,
    ) -> None:
        """Send the request head and the first part of the body in one write.

        ``more`` states that the rest of the body follows. A request that isn't valid
        HTTP fails the exchange, and nothing of it is sent.
        """
        self.wrote_request = True
        self._received_head = False
        self._interim_responses = 0
        self._body_bytes = 0
        try:
            self._request = h11.Request(method=method, target=target, headers=fields)
            data = self._http.send(self._request)
            if body:
                data += self._encode_body(body)
            if not more:
                data += self._http.send(END_OF_MESSAGE)
        except h11.LocalProtocolError as error:
            self._reject_request(ExchangeEnd.UNSENT, error)
            return
        self._transport.write(data)

    def send_body(self, data: bytes) -> None:
        """Send a chunk of the request body."""
        self._send_rest(lambda: self._encode_body(data))

    def end_body(self) -> None:
        """Send the end of the request."""
        self._send_rest(lambda: self._http.send(END_OF_MESSAGE))

    def _send_rest(self, encode: Callable[[], bytes]) -> None:
        if not self.is_open or self._http.our_state is not h11.SEND_BODY:
            return
        try:
            data = encode()
        except h11.LocalProtocolError as error:
            self._reject_request(ExchangeEnd.MALFORMED, error)
            return
        self._transport.write(data)

    def _encode_body(self, data: bytes) -> bytes:
        self._body_bytes += len(data)
        return self._http.send(h11.Data(data=data))

    def _reject_request(self, end: ExchangeEnd, error: h11.LocalProtocolError) -> None:
        log_event(log, "request_invalid", end=end.value, reason=error)
        self._fail(end)

    def pause(self) -> None:
        """Pause reading of the response."""
        self._reading = False
        self._update_reading()

    def resume(self) -> None:
        """Resume reading of the response."""
        self._reading = True
        self._update_reading()

    def _update_reading(self) -> None:
        if not self.is_open:
            return
        if self._reading and not self._turn_pending:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def cancel(self) -> None:
        """Abort the connection, which signals the upstream to stop processing."""
        self.owner = None
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        if self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle the resulting events."""
        try:
            self._http.receive_data(data)
            self._process_turn()
        except h11.RemoteProtocolError:
            self._fail(ExchangeEnd.MALFORMED)
        self._check_idle()

    def _process_turn(self) -> None:
        """Handle the events of one turn, and schedule the next one if there are more.

        Nothing is read until the last turn has ended.
        """
        self._turn_pending = False
        for _ in range(EVENTS_PER_TURN):
            if self.owner is None or not self._process_event():
                break
        else:
            self._turn_pending = True
            asyncio.get_running_loop().call_soon(self._next_turn)
        self._update_reading()

    def _next_turn(self) -> None:
        # The end of the connection handles the rest at once.
        if self._transport is None:
            return
        try:
            self._process_turn()
        except h11.RemoteProtocolError:
            self._fail(ExchangeEnd.MALFORMED)
        self._check_idle()

    def _check_idle(self) -> None:
        if self.owner is None and self._http.their_state is h11.IDLE:
            self._abort_on_unsolicited_data()

    def eof_received(self) -> None:
        """Close the connection; note whether the request was still being sent."""
        unsent_bytes = self._transport.get_write_buffer_size()
        self._ended_early = self._http.our_state is h11.SEND_BODY or unsent_bytes > 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress, if any, and release the connection."""
        if self.owner is not None and exc is None:
            self._process_eof()
        self._transport = None
        if self.owner is not None:
            end = ExchangeEnd.TRUNCATED if self._received_head else ExchangeEnd.LOST
            self._fail(end)
        self._released(self)

    def pause_writing(self) -> None:
        """Mark the connection as not writable while its write buffer is full."""
        self.writable = False

    def resume_writing(self) -> None:
        """Notify the owner that the write buffer has drained."""
        self.writable = True
        if self.owner is not None:
            self.owner.upstream_writable()

    def _process_eof(self) -> None:
        self._turn_pending = False
        try:
            if not self._ended_early:
                # An end that comes while the request is sent completes nothing.
                self._http.receive_data(b"")
            while self.owner is not None and self._process_event():
                pass
        except h11.RemoteProtocolError:
            return

    def _process_event(self) -> bool:
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            return False
        if event is h11.PAUSED:
            # The upstream has switched protocols; its bytes are no response.
            self._fail(ExchangeEnd.MALFORMED)
            return False
        if isinstance(event, h11.Response):
            self._process_head(read_response(event))
        elif isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > INTERIM_RESPONSE_LIMIT:
                self._fail(ExchangeEnd.MALFORMED)
        elif isinstance(event, h11.Data):
            if self._discarding:
                self._discard_stale_body(event.data)
            else:
                self.owner.body_received(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            if self._discarding:
                self._reset_parser()
            else:
                self._end_exchange()
        elif isinstance(event, h11.ConnectionClosed):
            return False
        return True

    def _discard_stale_body(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > STALE_RESPONSE_LIMIT_BYTES:
            self._fail(ExchangeEnd.MALFORMED)

    def _process_head(self, response: ResponseHead) -> None:
        self._discarding = not self.owner.matches_request(response)
        if self._discarding:
            self._received_stale_response = True
            return
        self._received_head = True
        self._update_idle_limit(response)
        self.owner.head_received(response)

    def _update_idle_limit(self, response: ResponseHead) -> None:
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(
            find_field(response.headers, b"keep-alive") or b""
        )
        if match is not None:
            self.idle_limit_s = max(0.0, int(match.group(1)) - KEEP_ALIVE_MARGIN_S)

    def _reset_parser(self) -> None:
        """Prepare the parser for another response to the current request.

        Called after a stale response, which belongs to an earlier request. h11 accepts
        one response for each request, so a new parser is given the same request again.
        """
        states = (self._http.our_state, self._http.their_state)
        if (
            states != (h11.DONE, h11.DONE)
            or self._body_bytes > REPLAYED_BODY_LIMIT_BYTES
        ):
            self._fail(ExchangeEnd.MALFORMED)
            return
        rest, closed = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(self._request)
        if self._body_bytes:
            self._http.send(h11.Data(data=bytes(self._body_bytes)))
        self._http.send(END_OF_MESSAGE)
        if rest:
            self._http.receive_data(rest)
        if closed:
            self._http.receive_data(b"")

    def _end_exchange(self) -> None:
        owner, self.owner = self.owner, None
        self.resume()
        self.idle_since_s = asyncio.get_running_loop().time()
        states = (self._http.our_state, self._http.their_state)
        if states == (h11.DONE, h11.DONE) and not self._received_stale_response:
            self._http.start_next_cycle()
        elif self._transport is not None:
            self._transport.abort()
        owner.body_ended()
        if self.is_open:
            self._released(self)

    def _abort_on_unsolicited_data(self) -> None:
        if self._http.trailing_data[0] and self._transport is not None:
            self._transport.abort()

    def _fail(self, end: ExchangeEnd) -> None:
        owner, self.owner = self.owner, None
        if self._transport is not None:
            self._transport.abort()
        if owner is not None:
            owner.exchange_failed(end)


class UpstreamPool:
    """Pool of connections to one upstream, of which at most ``limit`` are kept open.

    Parameters
    ----------
    connect_timeout_ms : float
        Timeout for establishing a connection.
    """

    def __init__(self, connect_timeout_ms: float):
        self.connect_timeout_ms = connect_timeout_ms
        self.address: Address | None = None
        self.limit = 0
        self._idle: list[UpstreamConnection] = []
        self._open: set[UpstreamConnection] = set()
        self._connecting: set[asyncio.Task] = set()
        self._closing = False
        self._generation = 0

    def retarget(self, address: Address, limit: int) -> None:
        """Set the address and the limit; a new address closes idle connections."""
        self.limit = limit
        if address != self.address:
            self.address = address
            self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close all idle connections, and those in use when they are released."""
        self._generation += 1
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def close(self) -> None:
        """Close idle connections now and the others when they are released."""
        self._closing = True
        self.close_idle_connections()

    def longest_idle(self) -> UpstreamConnection | None:
        """Return the connection that has been idle for longest, None without one."""
        while self._idle:
            connection = self._idle[0]
            if connection.is_reusable():
                return connection
            self._idle.remove(connection)
        return None

    def take(self, connection: UpstreamConnection) -> None:
        """Remove an idle connection for use; it returns when it is released."""
        self._idle.remove(connection)

    def connect(self, owner: ExchangeOwner) -> asyncio.Task | None:
        """Assign a connection to the owner, reusing an idle one if possible.

        Returns the task that opens a new connection, which the caller may cancel, or
        None if an idle connection was reused.
        """
        for connection in reversed(self._idle):
            if connection.is_reusable() and owner.may_use(connection):
                self.take(connection)
                connection.owner = owner
                connection.wrote_request = False
                owner.connected(connection)
                return None
        task = asyncio.ensure_future(self._connect(owner))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return task

    async def is_listening(self) -> bool:
        """Return whether the upstream accepts a TCP connection."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_timeout_ms / MS_PER_S):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, self.address.host, self.address.port
                )
        except (OSError, TimeoutError):
            return False
        transport.close()
        return True

    async def _connect(self, owner: ExchangeOwner) -> None:
        loop = asyncio.get_running_loop()
        generation = self._generation
        try:
            async with asyncio.timeout(self.connect_timeout_ms / MS_PER_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self._release),
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError):
            owner.exchange_failed(ExchangeEnd.UNREACHABLE)
            return
        self._open.add(connection)
        connection.generation = generation
        connection.owner = owner
        owner.connected(connection)

    def _should_keep(self, connection: UpstreamConnection) -> bool:
        """Return whether a released connection should stay in the pool."""
        if len(connection.refused_requests) > REFUSED_REQUEST_LIMIT:
            return False
        if connection.generation != self._generation:
            return False
        return len(self._open) <= self.limit

    def _release(self, connection: UpstreamConnection) -> None:
        if not connection.is_open:
            self._open.discard(connection)
            if connection in self._idle:
                self._idle.remove(connection)
        elif self._closing or not self._should_keep(connection):
            connection.close()
        else:
            self._idle.append(connection)
