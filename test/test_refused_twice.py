"""A duplicate refusal is not taken for the response to a later request."""

import asyncio

from lone_gate import make_call, serve_gate
from site_in_loop import until

from cicadawheel.messages import RefusalReason, Refused, ReplyHead

REFUSAL = "HTTP/1.1 503 X\r\n{id}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
ANSWER = "HTTP/1.1 200 X\r\n{id}Server-Seal: s\r\nContent-Length: 2\r\n\r\nok"


def id_field(request):
    return f"Attempt-Id: {request}\r\n"


class FaultyUpstream:
    """Answers the n-th request of each connection with the n-th script."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.open = 0

    async def serve(self, reader, writer):
        self.connections += 1
        self.open += 1
        for answers in self.scripts:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            writer.write("".join(answers).encode())
        writer.close()
        await writer.wait_closed()
        self.open -= 1


async def _send_requests(upstream, requests):
    ends = []
    async with serve_gate(upstream) as gate:
        for request in requests:
            messages = []
            gate.open(make_call(request), messages.append)
            await until(lambda messages=messages: messages)
            ends.append(messages[-1])
    return ends


def send_requests(upstream, *requests):
    """Send requests one after another; return the last message of each."""
    return asyncio.run(_send_requests(upstream, requests))


def test_refusal_with_the_id_of_the_request_is_accepted():
    (end,) = send_requests(FaultyUpstream([REFUSAL.format(id=id_field("a"))]), "a")
    assert isinstance(end, Refused)
    assert (end.reason, end.not_run) == (RefusalReason.OVERLOAD, True)


def test_refusal_without_an_id_does_not_mark_the_request_as_not_run():
    (end,) = send_requests(FaultyUpstream([REFUSAL.format(id="")]), "a")
    assert isinstance(end, Refused)
    assert not end.not_run


def test_misdirected_refusal_without_an_id_does_not_mark_the_request_as_not_run():
    unnamed = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"
    (end,) = send_requests(FaultyUpstream([unnamed]), "a")
    assert isinstance(end, Refused)
    assert not end.not_run


def test_duplicate_of_an_earlier_refusal_is_skipped():
    refusal = REFUSAL.format(id=id_field("a"))
    upstream = FaultyUpstream([refusal], [refusal, ANSWER.format(id=id_field("b"))])
    refused, answered = send_requests(upstream, "a", "b")
    assert isinstance(refused, Refused)
    assert isinstance(answered, ReplyHead)
    assert (answered.status, answered.body) == (200, b"ok")


def test_request_is_not_resent_on_the_connection_that_refused_it():
    refusal = REFUSAL.format(id=id_field("a"))
    upstream = FaultyUpstream([refusal], [refusal, ANSWER.format(id=id_field("a"))])
    send_requests(upstream, "a", "a")
    assert upstream.connections == 2
