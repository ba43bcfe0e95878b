"""Streams the body of one request from the caller to a gate.

The node holds at most two buffers of it: the beginning, which can be replayed to
another gate, and what awaits credit from the current gate.
"""

from cicadawheel.entry.peers import CallHandle
from cicadawheel.http.caller_request import CallerRequest
from cicadawheel.messages import Body, End

DEFERRED_BODY_BYTES = 16_384
"""From this size on, a body sent in vain costs more than a round trip to the gate."""


class RequestBody:
    """The body of one request.

    Parameters
    ----------
    connection : CallerRequest
        The request on the caller's connection; reading is paused while the buffers
        are full.
    buffer_bytes : int
        The size of each of the two buffers.
    complete : bool
        Whether the body is complete from the start, that is, there is none.
    """

    def __init__(self, connection: CallerRequest, buffer_bytes: int, complete: bool):
        self.connection = connection
        self.buffer_bytes = buffer_bytes
        self.complete = complete
        self.beginning = bytearray()
        self.replayable = True
        self._waiting = bytearray()
        self._credit_bytes = 0
        self._handle: CallHandle | None = None
        self._end_pending = False
        self._deferred = False
        self._has_early_credit = False

    @property
    def ready(self) -> bool:
        """Whether enough of the body is buffered to dispatch the request."""
        return self.complete or len(self.beginning) >= self.buffer_bytes

    @property
    def empty(self) -> bool:
        """Whether the request has no body."""
        return self.complete and not self.beginning

    @property
    def is_deferred(self) -> bool:
        """Whether the body is sent only after the gate has accepted the call.

        A refused attempt then costs the transfer of the head only.
        """
        return self.complete and len(self.beginning) >= DEFERRED_BODY_BYTES

    @property
    def more(self) -> bool:
        """Whether there is more of the body than the beginning."""
        return not self.complete or bool(self._waiting)

    def receive(self, data: bytes) -> None:
        """Take a chunk from the caller."""
        if not self.ready:
            self.beginning += data
            self._report_held()
            return
        self._waiting += data
        self._send()
        self._report_held()
        if len(self._waiting) >= self.buffer_bytes:
            self.connection.pause_body()

    def _report_held(self) -> None:
        held_bytes = len(self.beginning) + len(self._waiting)
        self.connection.body_held_bytes = held_bytes

    def receive_end(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self._send()

    def attach(self, handle: CallHandle) -> None:
        """Send the rest of the body to a gate."""
        self._handle = handle
        self._deferred = self.is_deferred
        self._credit_bytes = self.buffer_bytes
        if self._has_early_credit:
            self.add_credit(0)
        self._send()

    def prepare(self) -> None:
        """Prepare for a new attempt, before its gate may grant credit."""
        self._end_pending = self.more or self.is_deferred
        self._has_early_credit = False

    def detach(self) -> None:
        """Stop sending to the current gate."""
        self._handle = None
        self._deferred = False

    def add_credit(self, size_bytes: int) -> None:
        """Add credit from the gate."""
        if self._handle is None:
            # This node's own gate grants credit within `open`, before `attach`.
            self._has_early_credit = True
        elif self._deferred:
            self._deferred = False
            beginning = bytes(self.beginning)
            self._handle.receive(Body(self._handle.stream, beginning))
        self._credit_bytes += size_bytes
        self._send()

    def _send(self) -> None:
        if self._handle is None or self._deferred:
            return
        if self._waiting and self._credit_bytes > 0:
            self._send_chunk()
        if self.complete and not self._waiting and self._end_pending:
            self._end_pending = False
            self._handle.receive(End(self._handle.stream))

    def _send_chunk(self) -> None:
        chunk = bytes(self._waiting[: self._credit_bytes])
        del self._waiting[: len(chunk)]
        self._credit_bytes -= len(chunk)
        self.replayable = False
        self._report_held()
        self._handle.receive(Body(self._handle.stream, chunk))
        if not self.complete and len(self._waiting) < self.buffer_bytes:
            self.connection.resume_body()
