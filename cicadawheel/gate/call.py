"""A call at the gate: forwards the request and relays the reply."""

import asyncio
from enum import Enum
from typing import Protocol

from cicadawheel.announcement import Announcement
from cicadawheel.gate.admission import Admission
from cicadawheel.gate.answer_checks import (
    is_misdirected,
    is_of_another,
    is_refusal,
    is_shed,
    is_sound,
    names_request,
)
from cicadawheel.gate.decision import Result
from cicadawheel.gate.guard import CrashGuard
from cicadawheel.gate.holding import CallHolding
from cicadawheel.gate.repeats import GateRepeats
from cicadawheel.gate.reported_admission import ReportedAdmission
from cicadawheel.gate.runs import request_kind
from cicadawheel.gate.shedding import Shedding
from cicadawheel.holdings import Holdings
from cicadawheel.http.dialect import Dialect
from cicadawheel.http.fields import (
    ResponseHead,
    content_length,
    end_to_end_headers,
    has_field,
)
from cicadawheel.http.upstream import ExchangeEnd, UpstreamConnection, UpstreamPool
from cicadawheel.ids import RequestId
from cicadawheel.messages import (
    Body,
    CallMessage,
    CallOpen,
    Cancel,
    Credit,
    End,
    LoadReport,
    RefusalReason,
    Refused,
    ReplyHead,
    ReplySink,
)
from cicadawheel.settings import GateSettings
from cicadawheel.timer import MS_PER_S, Clock

WHOLE_REPLY_LIMIT_BYTES = 65_536
BUFFERED_REPLY_LIMIT_BYTES = 1_048_576
"""How much of a reply without a length is buffered until it is known to be complete."""


class CallState(Enum):
    """The progress of a call at the gate."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    SENT = "sent"
    REPLYING = "replying"
    ENDED = "ended"


REASON_OF_END = {
    ExchangeEnd.UNREACHABLE: RefusalReason.UPSTREAM_UNREACHABLE,
    ExchangeEnd.UNSENT: RefusalReason.CANCELLED,
    ExchangeEnd.LOST: RefusalReason.UPSTREAM_DIED,
    ExchangeEnd.TRUNCATED: RefusalReason.TRUNCATED,
    ExchangeEnd.MALFORMED: RefusalReason.TRUNCATED,
}
RESULT_OF_END = {
    ExchangeEnd.UNREACHABLE: Result.UNREACHABLE,
    ExchangeEnd.UNSENT: Result.CANCELLED,
    ExchangeEnd.LOST: Result.DIED,
    ExchangeEnd.TRUNCATED: Result.DIED,
    ExchangeEnd.MALFORMED: Result.FAILED,
}


RESETS = frozenset((ExchangeEnd.UNREACHABLE, ExchangeEnd.LOST))
"""How an exchange may end with an upstream that is full."""


class CallGate(Protocol):
    """The parts of a gate that a call uses."""

    settings: GateSettings
    dialect: Dialect
    clock: Clock
    pool: UpstreamPool
    guard: CrashGuard
    repeats: GateRepeats
    shedding: Shedding
    admission: Admission | ReportedAdmission
    announcement: Announcement | None
    holdings: Holdings

    def load(self) -> LoadReport:
        """Return the current load of the upstream."""

    def response_received(self, response: ResponseHead) -> None:
        """Update the load from the head of a response, if it carries one."""

    def upstream_shed(self, request: RequestId, response: ResponseHead) -> None:
        """Log that the upstream shed a request that the gate had admitted."""

    def refusal_unnamed(self, request: RequestId, response: ResponseHead) -> None:
        """Log a refusal without the id of its request."""

    def upstream_replaced(self) -> None:
        """Close the gate: another upstream now uses the announced address."""

    def call_ended(
        self,
        call: "GateCall",
        result: Result | None,
        service_time_ms: float | None = None,
    ) -> None:
        """Release the slot of a call; ``result`` is None if it was never admitted."""


class GateCall:
    """One call at the gate.

    Parameters
    ----------
    gate : CallGate
        The gate that admits or refuses the call.
    ticket : int
        The number of the call at this gate.
    call : CallOpen
        The message that opened the call.
    sink : Callable
        Receives the reply messages.
    now_ms : float
        When the call arrived.
    """

    def __init__(
        self,
        gate: CallGate,
        ticket: int,
        call: CallOpen,
        sink: ReplySink,
        now_ms: float,
    ):
        self.gate = gate
        self.ticket = ticket
        self.call = call
        self.stream = call.stream
        self.sink = sink
        self.deadline_at_ms = now_ms + call.deadline_ms
        self.state = CallState.WAITING
        self.kind = request_kind(call.method, call.target)
        self.alone = False
        self.answered_whole = False
        self._admitted = False
        self.admitted_at_ms = now_ms
        self._sent_at_ms: float | None = None
        self._service_time_ms: float | None = None
        self._request_parts: list[bytes] = []
        self._request_whole = not call.more
        self._request_bytes_taken = 0
        self._connection: UpstreamConnection | None = None
        self._connecting: asyncio.Task | None = None
        self._response: ResponseHead | None = None
        self._reply_parts: list[bytes] = []
        self._reply_buffered_bytes = 0
        self._head_sent = False
        self._holding = CallHolding(gate.holdings, self, call.request)
        self._reply_room_bytes = gate.settings.body_buffer_bytes
        delay_s = call.deadline_ms / MS_PER_S
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._deadline_passed
        )

    def receive(self, message: CallMessage) -> None:
        """Handle the next message of the entry on this call."""
        if self.state is CallState.ENDED:
            return
        if isinstance(message, Body):
            self._take_body(message.data)
        elif isinstance(message, End):
            self._take_end()
        elif isinstance(message, Credit):
            self._take_credit(message.size_bytes)
        elif isinstance(message, Cancel):
            self._end(Result.CANCELLED)

    def admit(self) -> None:
        """Send the request to the upstream."""
        self._admitted = True
        self.admitted_at_ms = self.gate.clock.now_ms()
        self.state = CallState.CONNECTING
        if self.alone:
            self.gate.guard.suspects.test_started(self.call.fingerprint)
        self._connecting = self.gate.pool.connect(self)

    def refuse(self, reason: RefusalReason, not_run: bool) -> None:
        """End the call with a refusal."""
        if self.state is not CallState.ENDED:
            self._refuse(reason, not_run, Result.FAILED)

    def count_held(self) -> None:
        """Count the body that came with the call, which may be refused for it."""
        self._holding.update(len(self.call.body))

    def refuse_held(self, reason: RefusalReason) -> None:
        """Refuse the call, as what it holds has to go."""
        not_run = self.state in (CallState.WAITING, CallState.CONNECTING)
        self.refuse(reason, not_run)

    def connected(self, connection: UpstreamConnection) -> None:
        """Send the request on an open connection."""
        self._connecting = None
        if self.state is not CallState.CONNECTING:
            connection.owner = None
            connection.close()
            return
        self._connection = connection
        self.state = CallState.SENT
        self.gate.repeats.sent(self.ticket, self.call, self.deadline_at_ms)
        self.gate.guard.upstream_reached()
        if self._request_whole:
            self._record_sent()
        body = b"".join([self.call.body, *self._request_parts])
        connection.send_request(
            self.call.method,
            self.call.target,
            self._fields(body),
            body,
            more=not self._request_whole,
        )
        if self.state is CallState.ENDED:
            return
        self._return_credit(sum(map(len, self._request_parts)))
        self._request_parts.clear()
        self._holding.update(len(self.call.body))
        if self.call.more and not self.call.body:
            room_bytes = self.gate.settings.body_buffer_bytes
            self.sink(Credit(self.call.stream, room_bytes))

    def matches_request(self, response: ResponseHead) -> bool:
        """Return False for a response to another request or to a health check."""
        dialect = self.gate.dialect
        if self._connection.carried_health_check and dialect.echoes_request_id:
            return names_request(response, self.call.request, dialect)
        return not is_of_another(response, self.call.request, dialect)

    def may_use(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection can be used.

        It can't if this request was refused on it before: a late duplicate of that
        refusal would be taken for the response.
        """
        return self.call.request not in connection.refused_requests

    def head_received(self, response: ResponseHead) -> None:
        """Handle the head of the response; short ones are relayed in one message."""
        self._response = response
        if self._sent_at_ms is not None:
            self._service_time_ms = self.gate.clock.now_ms() - self._sent_at_ms
        self.gate.admission.replying(self.ticket)
        self.gate.response_received(response)
        dialect = self.gate.dialect
        if is_refusal(response, dialect):
            if not names_request(response, self.call.request, dialect):
                # It may be a duplicate of the refusal of an earlier request.
                self.gate.refusal_unnamed(self.call.request, response)
                self.end_exchange(ExchangeEnd.MALFORMED)
            return
        if not is_sound(response, dialect):
            self.end_exchange(ExchangeEnd.MALFORMED)
            return
        length = content_length(response.headers)
        chunked = has_field(response.headers, b"transfer-encoding")
        unframed = length is None and not chunked
        if unframed and dialect.seal:
            # Only the close of the connection ends it, which may be a loss: the reply
            # is buffered until it is known to be complete.
            return
        if length is None or length > WHOLE_REPLY_LIMIT_BYTES:
            self._send_head(b"", more=True)

    def body_received(self, data: bytes) -> None:
        """Relay or buffer a part of the response body."""
        if self.state is not CallState.REPLYING:
            self._buffer_body(data)
            return
        self._reply_room_bytes -= len(data)
        if self._reply_room_bytes <= 0:
            self._connection.pause()
        self.sink(Body(self.call.stream, data))

    def _buffer_body(self, data: bytes) -> None:
        """Buffer a part of the body; past the limit, start to relay."""
        self._reply_buffered_bytes += len(data)
        if is_refusal(self._response, self.gate.dialect):
            if self._reply_buffered_bytes > WHOLE_REPLY_LIMIT_BYTES:
                self.end_exchange(ExchangeEnd.MALFORMED)
            return
        self._reply_parts.append(data)
        self._holding.update(len(self.call.body) + self._reply_buffered_bytes)
        if self.state is CallState.ENDED:
            return
        if self._reply_buffered_bytes > BUFFERED_REPLY_LIMIT_BYTES:
            self._reply_room_bytes -= self._reply_buffered_bytes
            self._connection.pause()
            self._send_head(b"".join(self._reply_parts), more=True)
            self._reply_parts.clear()
            self._holding.update(len(self.call.body))

    def body_ended(self) -> None:
        """Complete the call: relay the rest of the reply, or refuse."""
        if is_refusal(self._response, self.gate.dialect):
            self._connection.refused_requests.add(self.call.request)
        self._connection = None
        if is_shed(self._response, self.gate.dialect):
            self.gate.upstream_shed(self.call.request, self._response)
            self._refuse_reached(RefusalReason.OVERLOAD, Result.SHED)
            return
        if is_misdirected(self._response, self.gate.dialect):
            self.gate.upstream_replaced()
            self._refuse_reached(RefusalReason.NO_UPSTREAM, Result.FAILED)
            return
        self.answered_whole = True
        failed = self._response.status_code >= 500
        self._end(Result.FAILED if failed else Result.ANSWERED)
        if self._head_sent:
            self.sink(End(self.call.stream))
        else:
            self._send_head(b"".join(self._reply_parts), more=False)

    def exchange_failed(self, end: ExchangeEnd) -> None:
        """Handle a failed exchange with the upstream."""
        self._connecting = None
        if self.state is CallState.ENDED:
            return
        not_run = self.state is CallState.CONNECTING or end is ExchangeEnd.UNSENT
        self._connection = None
        if end in (ExchangeEnd.LOST, ExchangeEnd.TRUNCATED):
            self.gate.guard.exchange_lost(self, end)
        else:
            self.end_exchange(end, not_run)

    def end_exchange(self, end: ExchangeEnd, not_run: bool = False) -> None:
        """Refuse the call with the reason that belongs to the end of its exchange."""
        if self.state is CallState.ENDED:
            return
        if end in RESETS and self._is_upstream_full():
            self._refuse(RefusalReason.OVERLOAD, not_run, Result.SHED)
            return
        self._refuse(REASON_OF_END[end], not_run, RESULT_OF_END[end])

    def _is_upstream_full(self) -> bool:
        """Return whether the upstream lives and has more requests than slots."""
        if self.gate.guard.crashes.dead:
            return False
        return self.gate.shedding.is_full(self.gate.clock.now_ms())

    def upstream_writable(self) -> None:
        """Grant the entry credit to send more of the request body."""
        self._return_credit(0)

    def _send_head(self, body: bytes, more: bool) -> None:
        self._head_sent = True
        if self.state is not CallState.ENDED:
            self.state = CallState.REPLYING
        self.sink(
            ReplyHead(
                self.call.stream,
                self._response.status_code,
                end_to_end_headers(self._response.headers),
                body,
                more,
                self.gate.load(),
            )
        )

    def _fields(self, body: bytes) -> list[tuple[bytes, bytes]]:
        """Return the header fields to send; ``body`` is its part known so far."""
        dialect = self.gate.dialect
        fields = [(header.name, header.value) for header in self.call.headers]
        if not has_field(fields, b"host"):
            # Callers that speak HTTP/1.0 may leave it out.
            fields.insert(0, (b"host", str(self.gate.pool.address).encode()))
        left_ms = self.deadline_at_ms - self.gate.clock.now_ms()
        fields.append((dialect.deadline_ms, b"%d" % max(1, int(left_ms))))
        if dialect.depth:
            fields.append((dialect.depth, b"%d" % self.call.depth))
        if not dialect.echoes_request_id or not has_field(fields, dialect.request_id):
            fields.append((dialect.request_id, self.call.request.encode()))
        if dialect.expected_upstream:
            upstream = self.gate.announcement.upstream
            fields.append((dialect.expected_upstream, upstream.encode()))
        if content_length(fields) is None:
            # The caller sent chunks, which end at the entry.
            if self.call.more:
                fields.append((b"transfer-encoding", b"chunked"))
            elif body:
                fields.append((b"content-length", b"%d" % len(body)))
        return fields

    def _take_body(self, data: bytes) -> None:
        if self._connection is None:
            self._request_parts.append(data)
            parts_bytes = sum(map(len, self._request_parts))
            self._holding.update(len(self.call.body) + parts_bytes)
            return
        self._connection.send_body(data)
        self._request_bytes_taken += len(data)
        self._return_credit(0)

    def _take_end(self) -> None:
        self._request_whole = True
        if self._connection is not None:
            self._connection.end_body()
            self._record_sent()

    def _record_sent(self) -> None:
        self._sent_at_ms = self.gate.clock.now_ms()
        self.gate.admission.sent(self.ticket, self._sent_at_ms)

    def _return_credit(self, size_bytes: int) -> None:
        self._request_bytes_taken += size_bytes
        if self._connection is None or not self._connection.writable:
            return
        if self._request_bytes_taken and not self._request_whole:
            self.sink(Credit(self.call.stream, self._request_bytes_taken))
            self._request_bytes_taken = 0

    def _take_credit(self, size_bytes: int) -> None:
        self._reply_room_bytes += size_bytes
        if self._reply_room_bytes > 0 and self._connection is not None:
            self._connection.resume()

    def _deadline_passed(self) -> None:
        not_run = self.state in (CallState.WAITING, CallState.CONNECTING)
        self._refuse(RefusalReason.DEADLINE, not_run, Result.CANCELLED)

    def _refuse_reached(self, reason: RefusalReason, result: Result) -> None:
        """Refuse a call that the upstream received but declined to run."""
        self._refuse(reason, True, result, reached=True)

    def _refuse(
        self,
        reason: RefusalReason,
        not_run: bool,
        result: Result,
        reached: bool = False,
    ) -> None:
        self._end(result)
        load = self.gate.load()
        only_at = self.gate.guard.suspects.tester(self.call.fingerprint)
        self.sink(Refused(self.call.stream, reason, not_run, load, only_at, reached))

    def _end(self, result: Result) -> None:
        self.state = CallState.ENDED
        self._timer.cancel()
        self._holding.release()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.cancel()
            self._connection = None
        if self.alone and self._admitted:
            self.gate.guard.suspects.test_ended(self.call.fingerprint)
        self.gate.call_ended(
            self, result if self._admitted else None, self._service_time_ms
        )
