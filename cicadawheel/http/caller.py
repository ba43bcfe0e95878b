"""HTTP/1.1 server connections for callers, which may send requests ahead."""

import asyncio
import contextlib
import logging
import socket
from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import Protocol

import h11

from cicadawheel.configuration import CallerLimits
from cicadawheel.holdings import EndReason, Holding, HoldingKind, Holdings
from cicadawheel.http.caller_request import (
    CallerRequest,
    CallOwner,
    RequestParser,
    discard_body,
)
from cicadawheel.http.fields import (
    RequestHead,
    content_length,
    has_body,
    read_request,
)
from cicadawheel.http.pieces import (
    FIELD_OBJECTS_BYTES,
    PIECES_PER_TURN,
    PieceTurn,
    PieceTurns,
    too_small,
)
from cicadawheel.http.refused_pace import RefusedPace
from cicadawheel.http.run_order import DEFAULT_LIMITS, AheadLimits, RunOrder
from cicadawheel.http.unread import has_left, has_unread_bytes
from cicadawheel.logs import log_event
from cicadawheel.messages import Header
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
CHECK_INTERVAL_MS = 1_000.0
LEFT_CHECK_INTERVAL_MS = 200.0
# How long the rest of a request body is read and discarded after an early response.
# Closing a socket with unread data resets it, and the caller could lose the response.
LINGER_TIMEOUT_S = 2.0
# Reading pauses if more than this arrives of requests that can't be read yet.
PIPELINE_LIMIT_BYTES = 65_536
# A configuration limits the fields of a head; its first line comes beside them.
REQUEST_LINE_BYTES = 8_192
# Parsing the fields of a longer head would hold the event loop, whoever allows it.
LONGEST_HEAD_BYTES = 262_144
REQUEST_TIMEOUT_STATUS = 408
CONTENT_TOO_LARGE_STATUS = 413
NOT_IMPLEMENTED_STATUS = 501
UNAVAILABLE_STATUS = 503
# Most events of the parser that are handled in one turn of the event loop. One read can
# hold tens of thousands of tiny chunks, or thousands of requests.
EVENTS_PER_TURN = 200


REQUEST_OBJECTS_BYTES = 4_096
"""What a request in progress is counted with beside its bytes."""


class CallService(Protocol):
    """Starts calls and supplies the limits for connections."""

    def begin_call(self, caller: CallerRequest, request: RequestHead) -> CallOwner:
        """Start a call for a received request head and return its owner.

        A call that waits for earlier ones on its connection starts when its owner is
        told to begin; see `CallerRequest.may_start`.
        """

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
    ENDING = "ending"
    CLOSED = "closed"


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Each request is a call of its own, which `RunOrder` lets run beside those before it.
    Their answers are sent in the order of the requests.

    Parameters
    ----------
    service : CallService
        Starts the calls.
    head_limit_bytes : int
        Maximum size of a request head, unless the configuration allows a longer one.
    ahead : AheadLimits
        Limits on the requests that are sent before the first one is answered.
    holdings : Holdings or None
        The account of the process; without one, nothing is limited by it.
    """

    def __init__(
        self,
        service: CallService,
        head_limit_bytes: int,
        ahead: AheadLimits = DEFAULT_LIMITS,
        holdings: Holdings | None = None,
    ):
        self.service = service
        self.state = ConnectionState.IDLE
        self.peer = ""
        self._idle_since_s = asyncio.get_running_loop().time()
        self._head_started_s: float | None = None
        self.writable = True
        self.closing = False
        self._closes_when_idle = False
        self._head_limit_bytes = head_limit_bytes
        self._http = self._make_http()
        """Parses the request that is being received, or the next one."""
        self._requests: deque[CallerRequest] = deque()
        """The requests whose answers haven't been sent whole, in their order."""
        self._order = RunOrder(ahead)
        self._pace = RefusedPace()
        self._sends_ahead = False
        self._transport: asyncio.Transport | None = None
        self._processing_events = False
        self._starting = False
        self._turn_pending = False
        self._held_back = False
        self._holdings = holdings
        self._holding: Holding | None = None
        self._turns = PieceTurns() if holdings is None else holdings.piece_turns
        self._turn: PieceTurn | None = None
        self._small_pieces = 0
        """The small chunks that were read in this turn."""
        self._written_bytes = 0
        self._taken_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection, or respond with 503 if there are too many."""
        self._transport = transport
        self.peer = str(transport.get_extra_info("peername"))
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._holdings is not None:
            kind = HoldingKind.CALLER
            self._holding = self._holdings.open(kind, self.peer, self)
        if not self.service.connection_opened(self):
            self._refuse(503, "too many connections")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle the resulting events."""
        if self.state is ConnectionState.ENDING:
            return
        self._http.limit_head(self._longest_head_bytes())
        self._http.receive_data(data)
        if self._holding is not None and self._requests:
            self._holding.move(len(data))
        if self.state is ConnectionState.LINGERING:
            self._discard_body()
            return
        self._process_events()
        self._close_if_idle()

    def check_timeouts(self, now_s: float) -> None:
        """Close the connection if it has exceeded a head, idle or linger timeout."""
        if self._transport is None:
            return
        self._update_holding()
        if self.state in (ConnectionState.LINGERING, ConnectionState.ENDING):
            if now_s - self._idle_since_s > LINGER_TIMEOUT_S:
                self._close()
            return
        if self.state is not ConnectionState.IDLE:
            return
        limits = self.service.caller_limits()
        head_timeout_s = limits.head_timeout_ms / MS_PER_S or HEAD_TIMEOUT_S
        idle_timeout_s = limits.idle_timeout_ms / MS_PER_S or IDLE_TIMEOUT_S
        head_started_s = self._head_started_s
        if head_started_s is not None and now_s - head_started_s > head_timeout_s:
            self._refuse(REQUEST_TIMEOUT_STATUS, "the request's head took too long")
        elif head_started_s is None and now_s - self._idle_since_s > idle_timeout_s:
            self._close()

    def end_if_left(self) -> None:
        """Close the connection if its client has left while it isn't read.

        The transport would notice that only once it is read again.
        """
        if self._transport is None or not self._requests:
            return
        if not self._transport.is_reading() and has_left(self._transport):
            log_event(log, "caller_left_unread", peer=self.peer)
            self._transport.close()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owners of the calls in progress and the service."""
        self._transport = None
        self.writable = True
        self.state = ConnectionState.CLOSED
        try:
            self._lose_behind(0)
        finally:
            if self._holding is not None:
                self._holding.release()
            if self._turn is not None:
                self._turn.cancel()
            self.service.connection_closed(self)

    def pause_holding(self) -> None:
        """Read nothing until the account has room again."""
        self._held_back = True
        self.update_reading()

    def resume_holding(self) -> None:
        """Read on."""
        self._held_back = False
        self.update_reading()

    def end_holding(self, reason: EndReason) -> None:
        """Close the connection, as its client is the one to give way."""
        self.abort()

    def held_bytes(self) -> int:
        """Return the number of bytes held of received requests and of answers."""
        bodies_bytes = sum(request.body_held_bytes for request in self._requests)
        received_bytes = len(self._http.trailing_data[0])
        return received_bytes + bodies_bytes + self.unsent_bytes()

    def unsent_bytes(self) -> int:
        """Return the number of bytes of answers not yet passed to the kernel."""
        if self._transport is None:
            return 0
        kept_bytes = sum(len(request.kept) for request in self._requests)
        return self._transport.get_write_buffer_size() + kept_bytes

    def pause_writing(self) -> None:
        """Mark the connection as not writable while its write buffer is full."""
        self.writable = False

    def resume_writing(self) -> None:
        """Notify the owner of the first request that the write buffer has drained."""
        self.writable = True
        if self._requests and self._requests[0].owner is not None:
            self._requests[0].owner.caller_writable()
        self._read_on()

    def respond(self, status: int, headers: tuple[Header, ...], body: bytes) -> None:
        """Answer the first request with a complete response."""
        self._requests[0].respond(status, headers, body)

    def start_response(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of a streamed response to the first request."""
        self._requests[0].start_response(status, headers)

    def abort(self) -> None:
        """Close the connection at once, with all its calls."""
        if self._transport is not None:
            self._transport.abort()

    def close_when_idle(self) -> None:
        """Close the connection once the calls in progress, if any, have ended."""
        self.closing = True
        self._closes_when_idle = True
        self._close_if_idle()

    @property
    def idle_since_s(self) -> float:
        """When the last answer was sent, or the connection was opened."""
        return self._idle_since_s

    def end_idle(self) -> bool:
        """Close the connection if that loses no request and no answer.

        Returns whether it was closed.
        """
        if self._transport is None or self.state is not ConnectionState.IDLE:
            return False
        if self.unsent_bytes() or self._has_unread_bytes():
            return False
        self._close()
        return True

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes of a request have arrived that aren't read yet."""
        if self._turn_pending or self._http.trailing_data[0]:
            return True
        return has_unread_bytes(self._transport)

    def closes_after(self, request: CallerRequest) -> bool:
        """Return whether the connection closes after the answer to a request."""
        return self.closing and request is self._requests[-1]

    def may_start(self, request: CallerRequest) -> bool:
        """Return whether a request may run beside those before it."""
        return self._order.may_start(self._requests, request)

    def is_writable(self, request: CallerRequest) -> bool:
        """Return whether there is room for more of an answer."""
        if request is self._requests[0]:
            return self.writable
        return self._order.has_room(self._ahead_bytes())

    def send(self, request: CallerRequest, data: bytes) -> bool:
        """Send a part of the first answer; return False for those behind it."""
        if request is not self._requests[0]:
            return False
        self._write(data)
        return True

    def count_answer(self, status: int) -> None:
        """Count an answer that begins; many refusals slow its connection down."""
        self._pace.answered(status)

    def cut(self, request: CallerRequest) -> None:
        """End the connection in the place of an answer that isn't complete."""
        if request is self._requests[0]:
            self._lose_behind(1)
            self._transport.abort()
        else:
            self.request_answered(request)

    def request_answered(self, request: CallerRequest) -> None:
        """Send the answers whose turn has come, and start and read what waited."""
        if request.closes:
            self._lose_behind(self._requests.index(request) + 1)
        while self._requests and self._requests[0].answered:
            if not self._finish_first():
                return
        try:
            self._start_waiting()
            self._read_on()
        except Exception:
            # The call that was answered has yet to end, and isn't to blame.
            log_event(log, "call_failed", traceback=True, peer=self.peer)
            self.abort()

    def update_reading(self) -> None:
        """Pause reading while what has been received can't be processed."""
        if self._transport is None:
            return
        is_full = (self._requests or not self.writable) and self._is_full()
        if is_full or self._held_back or self._waits_unread():
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
        self._update_holding()

    def _waits_unread(self) -> bool:
        """Return whether nothing more is read until the next turn.

        One that waits for its turn with a body is read a little further, so that the
        end of its connection is noticed.
        """
        if self._turn is None:
            return self._turn_pending
        return len(self._http.trailing_data[0]) > PIPELINE_LIMIT_BYTES

    def _read_on(self) -> None:
        """Process received bytes that had to wait."""
        if self._processing_events or self._transport is None:
            return
        if self._http.trailing_data[0]:
            self._process_events()
        else:
            self.update_reading()
        self._close_if_idle()

    def _start_waiting(self) -> None:
        """Begin the calls that no longer wait for earlier ones.

        One that is answered at once may let further ones begin, in the same loop.
        """
        if self._starting:
            return
        self._starting = True
        try:
            while waiting := self._order.startable(self._requests):
                waiting[0].waits = False
                waiting[0].owner.begin()
        finally:
            self._starting = False

    def _update_holding(self) -> None:
        """Tell the account what is held, and whether the client is to act now."""
        if self._holding is None or self._transport is None:
            return
        unsent_bytes = self._transport.get_write_buffer_size()
        taken_bytes = self._written_bytes - unsent_bytes
        self._holding.move(taken_bytes - self._taken_bytes)
        self._taken_bytes = taken_bytes
        sends = self._receives_body() and not self._is_full()
        sends = sends and not self._turn_pending
        self._holding.expect(sends or unsent_bytes > 0)
        fields = sum(request.fields for request in self._requests)
        objects_bytes = len(self._requests) * REQUEST_OBJECTS_BYTES
        objects_bytes += fields * FIELD_OBJECTS_BYTES
        self._holding.hold(self.held_bytes() + objects_bytes)

    def _write(self, data: bytes) -> None:
        self._written_bytes += len(data)
        self._transport.write(data)

    def _make_http(self) -> RequestParser:
        return RequestParser(
            h11.SERVER, max_incomplete_event_size=self._head_limit_bytes
        )

    def _longest_head_bytes(self) -> int:
        """Return the size of the longest head that is read."""
        allowed_bytes = self.service.caller_limits().head_bytes
        if not allowed_bytes:
            return self._head_limit_bytes
        allowed_bytes = min(LONGEST_HEAD_BYTES, allowed_bytes + REQUEST_LINE_BYTES)
        return max(self._head_limit_bytes, allowed_bytes)

    def _is_full(self) -> bool:
        if any(request.body_paused for request in self._requests):
            return True
        if not self._receives_body():
            # Reading goes on where possible, to notice a caller that leaves.
            return len(self._http.trailing_data[0]) > PIPELINE_LIMIT_BYTES
        return len(self._requests) > 1 and not self._order.has_room(self._ahead_bytes())

    def _receives_body(self) -> bool:
        """Return whether the body of the last request is being received."""
        if self._http.their_state is not h11.SEND_BODY or not self._requests:
            return False
        return self._requests[-1].http is self._http

    def _ahead_bytes(self) -> int:
        """Return the number of bytes held for the requests behind the first one."""
        held_bytes = sum(request.held_bytes for request in self._requests)
        return held_bytes - self._requests[0].held_bytes

    def _lose_behind(self, place: int) -> None:
        """End the calls of all requests from a place on."""
        lost = [self._requests.pop() for _ in range(len(self._requests) - place)]
        if lost and self._transport is not None:
            log_event(log, "requests_not_answered", peer=self.peer, count=len(lost))
        # All end before the first call is told, and the last one is told first: a slot
        # that it frees must not go to another one that ends.
        owners = [request.end_unanswered() for request in lost]
        for owner in owners:
            if owner is not None:
                owner.caller_lost()

    def _finish_first(self) -> bool:
        """Remove the first request, whose answer is sent; return False at the end."""
        first = self._requests.popleft()
        if first.http.their_state is not h11.DONE:
            self._linger(first)
            return False
        if first.closes:
            self._end()
            return False
        if first.http is self._http:
            self._http.start_next_cycle()
        if not self._requests:
            self.state = ConnectionState.IDLE
            self._idle_since_s = asyncio.get_running_loop().time()
            return True
        self._move_up(self._requests[0])
        return True

    def _move_up(self, first: CallerRequest) -> None:
        """Send on an answer that has become the first one."""
        kept = first.take_kept()
        if kept:
            self._write(kept)
        if self._http is first.http and not first.answered:
            first.send_continue()
        for request in list(self._requests):
            if request.owner is not None:
                request.owner.caller_writable()

    def _refuse(self, status: int, reason: str) -> None:
        """Answer the next request, which can't be served, and close the connection."""
        if self._transport is not None:
            self._add_request(None).refuse(status, reason)

    def _add_request(self, head: RequestHead | None) -> CallerRequest:
        ahead = bool(self._requests)
        self._sends_ahead = self._sends_ahead or ahead
        request = CallerRequest(self, self._http, head, ahead)
        self._requests.append(request)
        return request

    def _close_if_idle(self) -> None:
        """Close the connection if it has no call, unless bytes of a request arrived."""
        if not self._closes_when_idle or self.state is not ConnectionState.IDLE:
            return
        if self._transport is None or self._turn_pending:
            return
        if not has_unread_bytes(self._transport):
            self._close()

    def _linger(self, last: CallerRequest) -> None:
        """Discard the unread rest of a request body before closing the connection.

        The connection closes when the body ends, or after `LINGER_TIMEOUT_S`.
        """
        if last.http.their_state is not h11.SEND_BODY:
            self._end()
            return
        self.state = ConnectionState.LINGERING
        self._idle_since_s = asyncio.get_running_loop().time()
        self._transport.resume_reading()

    def _end(self) -> None:
        """Close the connection after its last answer.

        If its caller sends ahead, requests may be on the way. They would reset a closed
        socket, and the caller could lose the answer, so the caller closes first or
        `LINGER_TIMEOUT_S` passes.
        """
        if self._sends_ahead:
            self._discard_rest()
        else:
            self._close()

    def _discard_rest(self) -> None:
        """Discard all that comes until the caller closes or the time is up."""
        self.state = ConnectionState.ENDING
        self._idle_since_s = asyncio.get_running_loop().time()
        # Fails if the caller has reset the connection, which is noticed next.
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._transport.resume_reading()

    def _close(self) -> None:
        """Close the connection once all answers are passed to the kernel."""
        self.state = ConnectionState.ENDING
        self._transport.close()

    def _discard_body(self) -> None:
        discard_body(self._http)
        unread = self._http.their_state is h11.SEND_BODY
        if not unread:
            self._close()
        elif len(self._http.trailing_data[0]) > PIPELINE_LIMIT_BYTES:
            # The chunks of what remains are too small to be parsed for nothing.
            self._http.take_unread()
            self._discard_rest()

    def _wait_for_turn(self) -> None:
        """Let other bodies in very small chunks have their turns first."""
        self._small_pieces = 0
        self._turn_pending = True
        pieces = self._requests[-1].body_pieces
        self._turn = self._turns.wait(pieces, self._process_next_turn)

    def _process_next_turn(self) -> None:
        self._turn_pending = False
        self._turn = None
        if self._transport is not None:
            self._process_events()
            self._close_if_idle()

    def _process_events(self) -> None:
        if self._turn_pending:
            self.update_reading()
            return
        self._processing_events = True
        try:
            for _ in range(EVENTS_PER_TURN):
                if self._transport is None or not self._process_event():
                    break
                if self._small_pieces >= PIECES_PER_TURN and self._requests:
                    self._wait_for_turn()
                    break
            else:
                self._turn_pending = True
                asyncio.get_running_loop().call_soon(self._process_next_turn)
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
        finally:
            self._processing_events = False
        self._time_partial_head()
        self.update_reading()

    def _time_partial_head(self) -> None:
        if self.state is not ConnectionState.IDLE or self._head_started_s is not None:
            return
        if self._turn_pending or not self.writable:
            # What has arrived may be whole: it hasn't been read yet.
            return
        if self._http.trailing_data[0]:
            self._head_started_s = asyncio.get_running_loop().time()

    def _may_read(self) -> bool:
        """Return whether the next event may be read; prepare to read the next head."""
        if self.state in (ConnectionState.LINGERING, ConnectionState.ENDING):
            return False
        if self._http.their_state is h11.SEND_BODY:
            return self._receives_body()
        if not self.writable and not self._order.has_room(self.unsent_bytes()):
            return False
        if self._requests and not self._may_read_ahead():
            return False
        wait_s = self._pace.wait_s(asyncio.get_running_loop().time())
        if wait_s > 0.0 and self._http.trailing_data[0]:
            self._turn_pending = True
            asyncio.get_running_loop().call_later(wait_s, self._process_next_turn)
            return False
        if self._http.their_state is not h11.DONE:
            # Nothing follows a refusal that was sent before its request was read.
            return self._http.states == {h11.CLIENT: h11.IDLE, h11.SERVER: h11.IDLE}
        received = self._http.take_unread()
        if received:
            self._http = self._make_http()
            self._http.limit_head(self._longest_head_bytes())
            self._http.receive_data(received)
        return bool(received)

    def _may_read_ahead(self) -> bool:
        """Return whether another request may follow those that aren't answered.

        One that follows an answer which closes the connection counts as not received.
        """
        last = self._requests[-1]
        if self.closing or (last.answered and last.closes):
            return False
        return self._order.may_read(self._requests, self._ahead_bytes())

    def _process_event(self) -> bool:
        if not self._may_read():
            return False
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            if self._requests and self._requests[0].http is self._http:
                self._requests[0].send_continue()
            return False
        if isinstance(event, h11.Request):
            self._begin_request(read_request(event))
        elif isinstance(event, h11.Data):
            self._receive_body(self._requests[-1], bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            request = self._requests[-1]
            request.whole = True
            request.body_paused = False
            if request.owner is not None:
                request.owner.body_ended()
        else:
            self._close()
            return False
        return True

    def _begin_request(self, head: RequestHead) -> None:
        self.state = ConnectionState.IN_CALL
        self._head_started_s = None
        self._pace.read(asyncio.get_running_loop().time())
        request = self._add_request(head)
        if head.method == b"CONNECT":
            request.refuse(NOT_IMPLEMENTED_STATUS, "tunnels aren't supported")
            return
        if self._reject_oversized_body(request, content_length(head.headers) or 0):
            return
        if self._holdings and not self._holdings.admits(has_body(head.headers)):
            reason = "too much is held for other requests"
            self._refuse_head(request, UNAVAILABLE_STATUS, reason)
            return
        owner = self.service.begin_call(request, head)
        if not request.answered:
            request.owner = owner
        elif owner is not None:
            owner.caller_lost()

    def _refuse_head(self, request: CallerRequest, status: int, reason: str) -> None:
        log_event(log, "caller_refused", peer=self.peer, reason=reason)
        request.refuse(status, reason)

    def _receive_body(self, request: CallerRequest, data: bytes) -> None:
        if request.answered:
            return
        request.body_bytes += len(data)
        request.body_pieces += 1
        self._small_pieces += too_small(request.body_pieces, request.body_bytes)
        if self._reject_oversized_body(request, request.body_bytes):
            return
        if request.owner is not None:
            request.owner.body_received(data)

    def _reject_oversized_body(self, request: CallerRequest, body_bytes: int) -> bool:
        """Reject the request with 413 if its body exceeds the limit.

        Returns whether it was rejected.
        """
        limit_bytes = self.service.caller_limits().body_bytes
        if not limit_bytes or body_bytes <= limit_bytes:
            return False
        log_event(log, "caller_refused", peer=self.peer, reason="body too big")
        self._reject(request, CONTENT_TOO_LARGE_STATUS, "the request's body is too big")
        return True

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        log_event(log, "caller_refused", peer=self.peer, reason=str(error))
        if self._requests and self._requests[-1].http is self._http:
            request = self._requests[-1]
        else:
            request = self._add_request(None)
        self._reject(request, error.error_status_hint, str(error))

    def _reject(self, request: CallerRequest, status: int, reason: str) -> None:
        """Answer a request with an error and end its call."""
        owner, request.owner = request.owner, None
        if owner is not None:
            owner.caller_lost()
        request.refuse(status, reason)


def end_longest_idle(connections: Iterable[CallerConnection]) -> bool:
    """Close the connection that has been idle for longest, to make room for another.

    Returns whether there is one. Idle clients that came first would otherwise keep
    others out for as long as they stay.
    """
    for connection in sorted(connections, key=lambda one: one.idle_since_s):
        if connection.end_idle():
            log_event(
                log,
                "client_ended",
                warning=True,
                peer=connection.peer,
                kind=HoldingKind.CALLER.value,
                reason="too many connections",
            )
            return True
    return False
