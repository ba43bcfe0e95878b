"""One request on a caller's connection, and its answer."""

import contextlib
from typing import Protocol

import h11

from cicadawheel.http.fields import END_OF_MESSAGE, RequestHead, has_body
from cicadawheel.http.pieces import FREE_PIECES
from cicadawheel.messages import Header

# States of the caller's side while its request hasn't been read whole.
UNREAD_STATES = (h11.SEND_BODY, h11.ERROR)

Fields = list[tuple[bytes, bytes]]


def discard_body(http: h11.Connection) -> None:
    """Read and discard what has arrived of a request body.

    A request that was answered on its head alone may have arrived whole, and the event
    for its end is still to be read then.
    """
    with contextlib.suppress(h11.RemoteProtocolError):
        for _ in range(FREE_PIECES):
            if http.their_state is not h11.SEND_BODY:
                return
            if http.next_event() is h11.NEED_DATA:
                return


class RequestParser(h11.Connection):
    """Parses one request, and frames its answer."""

    def limit_head(self, limit_bytes: int) -> None:
        """Set the size of the longest head; the newest configuration may change it."""
        self._max_incomplete_event_size = limit_bytes

    def take_unread(self) -> bytes:
        """Return what was received behind the request, and keep nothing of it.

        The parser lives on until the answer is sent, and each one would hold a copy.
        """
        unread = bytes(self._receive_buffer)
        self._receive_buffer = type(self._receive_buffer)()
        return unread


class CallOwner(Protocol):
    """Receives the request body of one call and the events of its connection."""

    def begin(self) -> None:
        """Start the call, which `CallerRequest.may_start` has held back."""

    def body_received(self, data: bytes) -> None:
        """Handle a chunk of the request body."""

    def body_ended(self) -> None:
        """Handle the end of the request."""

    def caller_lost(self) -> None:
        """Handle the loss of the connection before the response was complete."""

    def caller_writable(self) -> None:
        """Resume sending, as there is room for more of the response."""


class RequestConnection(Protocol):
    """The connection of a request, which keeps its requests in order."""

    peer: str

    def closes_after(self, request: "CallerRequest") -> bool:
        """Return whether the connection closes after the answer to a request."""

    def may_start(self, request: "CallerRequest") -> bool:
        """Return whether a request may run now."""

    def send(self, request: "CallerRequest", data: bytes) -> bool:
        """Send a part of an answer, unless earlier answers come first.

        Returns whether it was sent.
        """

    def is_writable(self, request: "CallerRequest") -> bool:
        """Return whether there is room for more of an answer."""

    def request_answered(self, request: "CallerRequest") -> None:
        """Handle the end of an answer."""

    def count_answer(self, status: int) -> None:
        """Count an answer that begins."""

    def cut(self, request: "CallerRequest") -> None:
        """Close the connection so that an answer is seen as incomplete."""

    def update_reading(self) -> None:
        """Pause or resume reading."""


class CallerRequest:
    """One request of a caller; its answer waits for those before it on the connection.

    Parameters
    ----------
    connection : RequestConnection
        The caller's connection.
    http : h11.Connection
        Parses this request, and frames its answer.
    head : RequestHead or None
        The head of the request, None if it couldn't be read.
    ahead : bool
        Whether earlier requests on the connection aren't answered yet.
    """

    def __init__(
        self,
        connection: RequestConnection,
        http: h11.Connection,
        head: RequestHead | None,
        ahead: bool = False,
    ):
        self.peer = connection.peer
        self.http = http
        self.ahead = ahead
        self.owner: CallOwner | None = None
        self._method = b"" if head is None else head.method
        self.answered = False
        """Whether nothing more of the answer follows: it is complete, cut or lost."""
        self.body_bytes = 0
        self.body_pieces = 0
        self.fields = 0 if head is None else len(head.headers)
        self.body_held_bytes = 0
        self.body_paused = False
        self.runs_once = False
        self.whole = head is None or not has_body(head.headers)
        self.waits = False
        self.kept = bytearray()
        """The part of the answer that waits for earlier answers."""
        self._connection = connection

    @property
    def closes(self) -> bool:
        """Whether the connection ends with this answer, which is complete or cut."""
        return (self.http.our_state, self.http.their_state) != (h11.DONE, h11.DONE)

    @property
    def held_bytes(self) -> int:
        """The bytes held of the answer, and of the body until there is an answer."""
        return len(self.kept) + (0 if self.answered else self.body_bytes)

    @property
    def writable(self) -> bool:
        """Whether there is room for more of the answer."""
        return self.answered or self._connection.is_writable(self)

    def may_start(self, repeatable: bool) -> bool:
        """Return whether the call may run now; if not, its owner is told to begin."""
        self.runs_once = not repeatable
        self.waits = not self.answered and not self._connection.may_start(self)
        return not self.waits

    def pause_body(self) -> None:
        """Pause reading of the request body."""
        self._set_body_paused(True)

    def resume_body(self) -> None:
        """Resume reading of the request body."""
        self._set_body_paused(False)

    def respond(self, status: int, headers: tuple[Header, ...], body: bytes) -> None:
        """Answer with a complete response."""
        if self.answered:
            return
        discard_body(self.http)
        fields = self._response_fields(headers)
        if not any(name == b"content-length" for name, _ in fields):
            fields.append((b"content-length", b"%d" % len(body)))
        self._finish(self._frame(status, fields, body))

    def start_response(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of a response whose body is streamed."""
        if not self.answered:
            self._send(self._frame_head(status, self._response_fields(headers)))

    def send_body(self, data: bytes) -> None:
        """Send a chunk of the response body."""
        if not self.answered:
            self._send(self.http.send(h11.Data(data=data)))

    def end_response(self) -> None:
        """Complete a streamed response."""
        if not self.answered:
            self._finish(self.http.send(END_OF_MESSAGE))

    def refuse(self, status: int, reason: str) -> None:
        """Answer with a plain-text error that closes the connection.

        A response that has begun already ends incomplete.
        """
        if self.answered:
            return
        data = b""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = reason.encode() + b"\n"
            fields = [
                (b"content-type", b"text/plain; charset=utf-8"),
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
            ]
            data = self._frame(status, fields, body)
        self._finish(data)

    def abort(self) -> None:
        """End the answer so that it is seen as incomplete."""
        if not self.answered:
            self.kept.clear()
            self._end()
            self._connection.cut(self)

    def end_unanswered(self) -> CallOwner | None:
        """End the request without an answer, and return the owner of its call."""
        owner = self.owner
        self.kept.clear()
        self._end()
        return owner

    def send_continue(self) -> None:
        """Ask for the body, if the caller waits for that."""
        if self.http.they_are_waiting_for_100_continue:
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            self._send(self.http.send(interim_response))

    def take_kept(self) -> bytes:
        """Return the kept part of the answer, which can be sent now."""
        kept, self.kept = self.kept, bytearray()
        return bytes(kept)

    def _end(self) -> None:
        self.owner = None
        self.answered = True
        self.body_paused = False
        self.body_held_bytes = 0
        # One that was answered while it waited doesn't hold back others any more.
        self.waits = self.runs_once = False

    def _set_body_paused(self, paused: bool) -> None:
        if not self.answered:
            self.body_paused = paused
            self._connection.update_reading()

    def _send(self, data: bytes) -> None:
        if not self._connection.send(self, data):
            self.kept += data

    def _frame_head(self, status: int, fields: Fields) -> bytes:
        self._connection.count_answer(status)
        return self.http.send(h11.Response(status_code=status, headers=fields))

    def _frame(self, status: int, fields: Fields, body: bytes) -> bytes:
        data = self._frame_head(status, fields)
        if body and self._method != b"HEAD":
            data += self.http.send(h11.Data(data=body))
        return data + self.http.send(END_OF_MESSAGE)

    def _response_fields(self, headers: tuple[Header, ...]) -> Fields:
        fields = [(header.name, header.value) for header in headers]
        unread = self.http.their_state in UNREAD_STATES
        if unread or self._connection.closes_after(self):
            fields.append((b"connection", b"close"))
        return fields

    def _finish(self, data: bytes) -> None:
        if data:
            self._send(data)
        self._end()
        discard_body(self.http)
        self._connection.request_answered(self)
