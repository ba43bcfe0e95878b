"""Relays the answer to a call from the gate to the caller."""

from collections.abc import Callable

from cicadawheel.control.state.claims import ANSWER_LIMIT_BYTES
from cicadawheel.entry.answer import Answer
from cicadawheel.entry.answer_size import HEADER_SEPARATORS_BYTES
from cicadawheel.http.caller_request import CallerRequest
from cicadawheel.http.dialect import OWN_DIALECT, Dialect
from cicadawheel.ids import RequestId
from cicadawheel.messages import Header, ReplyHead


class ReplyRelay:
    """Relays one answer, and on request keeps a copy for resends.

    Parameters
    ----------
    connection : CallerRequest
        The request on the caller's connection.
    request : RequestId
        The request id, returned to the caller.
    give_credit : Callable
        Grants the gate credit for this many more bytes.
    dialect : Dialect
        Names the header field of the request id.
    """

    def __init__(
        self,
        connection: CallerRequest,
        request: RequestId,
        give_credit: Callable[[int], None],
        dialect: Dialect = OWN_DIALECT,
    ):
        self.connection = connection
        self.request = request
        self.dialect = dialect
        self.relayed_bytes = 0
        self._give_credit = give_credit
        self._head: ReplyHead | None = None
        self._copy = bytearray()
        self._uncredited_bytes = 0

    def send_complete(self, head: ReplyHead) -> None:
        """Send an answer whose head includes the complete body."""
        self.relayed_bytes += _head_bytes(head) + len(head.body)
        self.connection.respond(head.status, self._headers(head), head.body)

    def start(self, head: ReplyHead) -> None:
        """Send the head of an answer whose body follows in chunks."""
        self._head = head
        self.relayed_bytes += _head_bytes(head)
        self.connection.start_response(head.status, self._headers(head))

    def send(self, data: bytes, keep: bool) -> None:
        """Send a chunk of the body, and add it to the copy if ``keep`` is set."""
        if keep:
            room_bytes = ANSWER_LIMIT_BYTES + 1 - len(self._copy)
            self._copy += data[:room_bytes]
        self.connection.send_body(data)
        self.relayed_bytes += len(data)
        self._uncredited_bytes += len(data)
        self.caller_writable()

    def end(self) -> None:
        """Mark the answer as complete."""
        self.connection.end_response()

    def caller_writable(self) -> None:
        """Grant the gate credit for what the caller has read."""
        if self._head is None or not self.connection.writable:
            return
        uncredited_bytes, self._uncredited_bytes = self._uncredited_bytes, 0
        self._give_credit(uncredited_bytes)

    def answer(self) -> Answer:
        """Return the copy of the answer; if truncated, it is over the size limit."""
        return Answer(self._head.status, self._head.headers, bytes(self._copy))

    def _headers(self, head: ReplyHead) -> tuple[Header, ...]:
        name = self.dialect.request_id
        if any(header.name == name for header in head.headers):
            return head.headers
        return (*head.headers, Header(name, self.request.encode()))


def _head_bytes(head: ReplyHead) -> int:
    return sum(
        len(header.name) + len(header.value) + HEADER_SEPARATORS_BYTES
        for header in head.headers
    )
