"""The answer of a call on its way from the gate to the caller."""

from collections.abc import Callable

from cicadawheel.control.state.claims import ANSWER_LIMIT_BYTES
from cicadawheel.entry.answer import Answer
from cicadawheel.http.caller import CallerConnection
from cicadawheel.http.dialect import OWN_DIALECT, Dialect
from cicadawheel.ids import RequestId
from cicadawheel.messages import Header, ReplyHead


class ReplyRelay:
    """Sends one answer on, and keeps it for resends where that is asked for.

    Parameters
    ----------
    connection : CallerConnection
        Where the answer goes.
    request : RequestId
        The name of the call, told to the caller.
    give_credit : Callable
        Lets the gate send this many bytes more.
    dialect : Dialect
        How the caller is told the name of the call.
    """

    def __init__(
        self,
        connection: CallerConnection,
        request: RequestId,
        give_credit: Callable[[int], None],
        dialect: Dialect = OWN_DIALECT,
    ):
        self.connection = connection
        self.request = request
        self.dialect = dialect
        self._give_credit = give_credit
        self._head: ReplyHead | None = None
        self._kept = bytearray()
        self._unread_bytes = 0

    def send_whole(self, head: ReplyHead) -> None:
        """Send an answer whose body came with its head."""
        self.connection.respond(head.status, self._headers(head), head.body)

    def start(self, head: ReplyHead) -> None:
        """Send the head of an answer whose body follows."""
        self._head = head
        self.connection.start_response(head.status, self._headers(head))

    def send(self, data: bytes, keep: bool) -> None:
        """Send a piece of the body."""
        if keep:
            room_bytes = ANSWER_LIMIT_BYTES + 1 - len(self._kept)
            self._kept += data[:room_bytes]
        self.connection.send_body(data)
        self._unread_bytes += len(data)
        self.caller_writable()

    def end(self) -> None:
        """Mark the answer as whole."""
        self.connection.end_response()

    def caller_writable(self) -> None:
        """Give credit for what the caller has taken."""
        if self._head is None or not self.connection.writable:
            return
        unread_bytes, self._unread_bytes = self._unread_bytes, 0
        self._give_credit(unread_bytes)

    def answer(self) -> Answer:
        """Return what is kept of the answer; it is over the limit if cut."""
        return Answer(self._head.status, self._head.headers, bytes(self._kept))

    def _headers(self, head: ReplyHead) -> tuple[Header, ...]:
        name = self.dialect.request_id
        if any(header.name == name for header in head.headers):
            return head.headers
        return (*head.headers, Header(name, self.request.encode()))
