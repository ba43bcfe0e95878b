"""HTTP/1.1 server connections for callers, with one call at a time on each."""

import asyncio
import contextlib
import logging
import socket
from enum import Enum
from typing import Protocol

import h11

from cicadawheel.configuration import CallerLimits
from cicadawheel.http.fields import (
    END_OF_MESSAGE,
    RequestHead,
    content_length,
    read_request,
)
from cicadawheel.http.unread import has_unread_bytes
from cicadawheel.logs import log_event
from cicadawheel.messages import Header
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
CHECK_INTERVAL_MS = 1_000.0
# How long the rest of a request body is read and discarded after an early response.
# Closing a socket with unread data resets it, and the caller could lose the response.
LINGER_TIMEOUT_S = 2.0
# Reading pauses if more than this arrives after a request that isn't answered yet.
PIPELINE_LIMIT_BYTES = 65_536
REQUEST_TIMEOUT_STATUS = 408
CONTENT_TOO_LARGE_STATUS = 413
NOT_IMPLEMENTED_STATUS = 501

# States of the caller's side while its request hasn't been read whole.
UNREAD_STATES = (h11.SEND_BODY, h11.ERROR)

Fields = list[tuple[bytes, bytes]]


class CallOwner(Protocol):
    """Receives the request body of one call and the events of its connection."""

    def body_received(self, data: bytes) -> None:
        """Handle a chunk of the request body."""

    def body_ended(self) -> None:
        """Handle the end of the request."""

    def caller_lost(self) -> None:
        """Handle the loss of the connection before the response was complete."""

    def caller_writable(self) -> None:
        """Resume sending, as the write buffer has drained."""


class CallService(Protocol):
    """Starts calls and supplies the limits for connections."""

    def begin_call(
        self, connection: "CallerConnection", request: RequestHead
    ) -> CallOwner:
        """Start a call for a received request head and return its owner."""

    def connection_opened(self, connection: "CallerConnection") -> bool:
        """Register a new connection and return whether it is accepted."""

    def caller_limits(self) -> CallerLimits:
        """Return the size limits and timeouts for callers."""

    def connection_closed(self, connection: "CallerConnection") -> None:
        """Handle the end of a connection."""


class ConnectionState(Enum):
    """State of a caller's connection."""

    IDLE = "idle"
    IN_CALL = "in call"
    LINGERING = "lingering"
    CLOSED = "closed"


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Parameters
    ----------
    service : CallService
        Starts the calls.
    head_limit_bytes : int
        Maximum size of a request head; a longer one is rejected.
    """

    def __init__(self, service: CallService, head_limit_bytes: int):
        self.service = service
        self.state = ConnectionState.IDLE
        self.peer = ""
        self._idle_since_s = asyncio.get_running_loop().time()
        self._head_started_s: float | None = None
        self.writable = True
        self.closing = False
        self._closes_when_idle = False
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=head_limit_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._owner: CallOwner | None = None
        self._processing_events = False
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection, or respond with 503 if there are too many."""
        self._transport = transport
        self.peer = str(transport.get_extra_info("peername"))
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.service.connection_opened(self):
            self.refuse(503, "too many connections")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle the resulting events."""
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
            return
        if self.state is ConnectionState.LINGERING:
            self._discard_body()
            return
        self._process_events()
        self._limit_pipelining()
        self._close_if_idle()

    def _limit_pipelining(self) -> None:
        if self._owner is None or self._http.their_state is not h11.DONE:
            return
        if len(self._http.trailing_data[0]) > PIPELINE_LIMIT_BYTES:
            self._transport.pause_reading()

    def check_timeouts(self, now_s: float) -> None:
        """Close the connection if it has exceeded a head, idle or linger timeout."""
        if self._transport is None:
            return
        if self.state is ConnectionState.LINGERING:
            if now_s - self._idle_since_s > LINGER_TIMEOUT_S:
                self._transport.close()
            return
        if self.state is not ConnectionState.IDLE:
            return
        limits = self.service.caller_limits()
        head_timeout_s = limits.head_timeout_ms / MS_PER_S or HEAD_TIMEOUT_S
        idle_timeout_s = limits.idle_timeout_ms / MS_PER_S or IDLE_TIMEOUT_S
        head_started_s = self._head_started_s
        if head_started_s is not None and now_s - head_started_s > head_timeout_s:
            self.refuse(REQUEST_TIMEOUT_STATUS, "the request's head took too long")
        elif head_started_s is None and now_s - self._idle_since_s > idle_timeout_s:
            self._transport.close()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner of the call in progress and the service."""
        self._transport = None
        self.writable = True
        self.state = ConnectionState.CLOSED
        owner, self._owner = self._owner, None
        if owner is not None:
            owner.caller_lost()
        self.service.connection_closed(self)

    def unsent_bytes(self) -> int:
        """Return the number of bytes not yet passed to the kernel."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def pause_writing(self) -> None:
        """Mark the connection as not writable while its write buffer is full."""
        self.writable = False

    def resume_writing(self) -> None:
        """Notify the owner that the write buffer has drained."""
        self.writable = True
        if self._owner is not None:
            self._owner.caller_writable()

    def pause_body(self) -> None:
        """Pause reading of the request body."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_body(self) -> None:
        """Resume reading of the request body."""
        if self._transport is not None:
            self._transport.resume_reading()

    def respond(self, status: int, headers: tuple[Header, ...], body: bytes) -> None:
        """Send a complete response in one write and wait for the next request."""
        if self._transport is None:
            return
        self._discard_received_body()
        fields = self._response_fields(headers)
        if not any(name == b"content-length" for name, _ in fields):
            fields.append((b"content-length", b"%d" % len(body)))
        data = self._send_head(status, fields)
        if body:
            data += self._http.send(h11.Data(data=body))
        self._finish_response(data + self._http.send(END_OF_MESSAGE))

    def start_response(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of a response whose body is streamed."""
        if self._transport is not None:
            self._transport.write(
                self._send_head(status, self._response_fields(headers))
            )

    def send_body(self, data: bytes) -> None:
        """Send a chunk of the response body."""
        if self._transport is not None:
            self._transport.write(self._http.send(h11.Data(data=data)))

    def end_response(self) -> None:
        """Complete a streamed response and wait for the next request."""
        if self._transport is not None:
            self._finish_response(self._http.send(END_OF_MESSAGE))

    def abort(self) -> None:
        """Abort the connection so that a partial response is seen as incomplete."""
        self._owner = None
        if self._transport is not None:
            self._transport.abort()

    def close_when_idle(self) -> None:
        """Close the connection once the call in progress, if any, has ended."""
        self.closing = True
        self._closes_when_idle = True
        self._close_if_idle()

    def refuse(self, status: int, reason: str) -> None:
        """Send a plain-text error response and close the connection."""
        if self._transport is None:
            return
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = reason.encode() + b"\n"
            fields = [
                (b"content-type", b"text/plain; charset=utf-8"),
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
            ]
            data = self._http.send(h11.Response(status_code=status, headers=fields))
            data += self._http.send(h11.Data(data=body))
            self._transport.write(data + self._http.send(END_OF_MESSAGE))
        self._linger()

    def _response_fields(self, headers: tuple[Header, ...]) -> Fields:
        fields = [(header.name, header.value) for header in headers]
        if self.closing or self._http.their_state in UNREAD_STATES:
            fields.append((b"connection", b"close"))
        return fields

    def _send_head(self, status: int, fields: Fields) -> bytes:
        return self._http.send(h11.Response(status_code=status, headers=fields))

    def _finish_response(self, data: bytes) -> None:
        self._transport.write(data)
        self._owner = None
        self._discard_received_body()
        if self._http.their_state is not h11.DONE:
            self._linger()
            return
        if self._http.our_state is not h11.DONE:
            self._transport.close()
            return
        self._http.start_next_cycle()
        self.state = ConnectionState.IDLE
        self._idle_since_s = asyncio.get_running_loop().time()
        self._transport.resume_reading()
        if not self._processing_events:
            if self._http.trailing_data[0]:
                self._process_events()
            self._close_if_idle()

    def _close_if_idle(self) -> None:
        """Close the connection if it has no call, unless bytes of a request arrived."""
        if not self._closes_when_idle or self.state is not ConnectionState.IDLE:
            return
        if self._transport is not None and not has_unread_bytes(self._transport):
            self._transport.close()

    def _linger(self) -> None:
        """Discard the unread rest of a request body before closing the connection.

        The connection closes when the body ends, or after `LINGER_TIMEOUT_S`.
        """
        if self._http.their_state is not h11.SEND_BODY:
            self._transport.close()
            return
        self.state = ConnectionState.LINGERING
        self._idle_since_s = asyncio.get_running_loop().time()
        self._transport.resume_reading()

    def _discard_body(self) -> None:
        self._discard_received_body()
        if self._http.their_state is not h11.SEND_BODY:
            self._transport.close()

    def _discard_received_body(self) -> None:
        """Read and discard what has arrived of the request body.

        A request that was answered on its head alone may have arrived whole, and the
        event for its end is still to be read then.
        """
        with contextlib.suppress(h11.RemoteProtocolError):
            while self._http.their_state is h11.SEND_BODY:
                if self._http.next_event() is h11.NEED_DATA:
                    return

    def _process_events(self) -> None:
        self._processing_events = True
        try:
            while self._transport is not None and self._process_event():
                pass
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
        finally:
            self._processing_events = False
        self._time_partial_head()

    def _time_partial_head(self) -> None:
        if self.state is not ConnectionState.IDLE or self._head_started_s is not None:
            return
        if self._http.trailing_data[0]:
            self._head_started_s = asyncio.get_running_loop().time()

    def _process_event(self) -> bool:
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            self._send_continue()
            return False
        if event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            self.state = ConnectionState.IN_CALL
            self._head_started_s = None
            self._body_bytes = 0
            request = read_request(event)
            if request.method == b"CONNECT":
                self.refuse(NOT_IMPLEMENTED_STATUS, "tunnels aren't supported")
                return False
            if self._reject_oversized_body(content_length(request.headers) or 0):
                return False
            self._owner = self.service.begin_call(self, request)
        elif isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if self._reject_oversized_body(self._body_bytes):
                return False
            if self._owner is not None:
                self._owner.body_received(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            if self._owner is not None:
                self._owner.body_ended()
            # A pipelined request is not parsed until this call has been answered.
            return self._http.their_state is not h11.DONE
        else:
            self._transport.close()
            return False
        return True

    def _reject_oversized_body(self, body_bytes: int) -> bool:
        """Reject the request with 413 if its body exceeds the limit.

        Returns whether it was rejected.
        """
        limit_bytes = self.service.caller_limits().body_bytes
        if not limit_bytes or body_bytes <= limit_bytes:
            return False
        log_event(log, "caller_refused", peer=self.peer, reason="body too big")
        owner, self._owner = self._owner, None
        if owner is not None:
            owner.caller_lost()
        self.refuse(CONTENT_TOO_LARGE_STATUS, "the request's body is too big")
        return True

    def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(interim_response))

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        log_event(log, "caller_refused", peer=self.peer, reason=str(error))
        owner, self._owner = self._owner, None
        if owner is not None:
            owner.caller_lost()
        self.refuse(error.error_status_hint, str(error))
