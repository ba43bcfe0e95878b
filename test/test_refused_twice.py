"""A refusal that an upstream writes once more is not taken for that of a request."""

import asyncio

from lone_gate import gate_before, make_call
from site_in_loop import until

from cicadawheel.messages import RefusalReason, Refused, ReplyHead

REFUSAL = "HTTP/1.1 503 X\r\n{id}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
ANSWER = "HTTP/1.1 200 X\r\n{id}Server-Seal: s\r\nContent-Length: 2\r\n\r\nok"


def named(request):
    return f"Attempt-Id: {request}\r\n"


class FaultyUpstream:
    """Answers the requests of each connection with what it was told, in turn."""

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


async def _ask(upstream, requests):
    ends = []
    async with gate_before(upstream) as gate:
        for request in requests:
            messages = []
            gate.open(make_call(request), messages.append)
            await until(lambda messages=messages: messages)
            ends.append(messages[-1])
    return ends


def ask(upstream, *requests):
    """Return how requests that are sent one after the other end at a gate."""
    return asyncio.run(_ask(upstream, requests))


def test_refusal_of_the_request_itself_is_believed():
    (end,) = ask(FaultyUpstream([REFUSAL.format(id=named("a"))]), "a")
    assert isinstance(end, Refused)
    assert (end.reason, end.not_run) == (RefusalReason.OVERLOAD, True)


def test_refusal_without_a_name_does_not_say_that_a_request_was_not_run():
    (end,) = ask(FaultyUpstream([REFUSAL.format(id="")]), "a")
    assert isinstance(end, Refused)
    assert not end.not_run


def test_another_upstreams_refusal_without_a_name_is_not_believed():
    unnamed = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"
    (end,) = ask(FaultyUpstream([unnamed]), "a")
    assert isinstance(end, Refused)
    assert not end.not_run


def test_earlier_refusal_written_once_more_is_passed_over():
    refusal = REFUSAL.format(id=named("a"))
    upstream = FaultyUpstream([refusal], [refusal, ANSWER.format(id=named("b"))])
    refused, answered = ask(upstream, "a", "b")
    assert isinstance(refused, Refused)
    assert isinstance(answered, ReplyHead)
    assert (answered.status, answered.body) == (200, b"ok")


def test_request_does_not_return_on_the_connection_that_refused_it():
    refusal = REFUSAL.format(id=named("a"))
    upstream = FaultyUpstream([refusal], [refusal, ANSWER.format(id=named("a"))])
    ask(upstream, "a", "a")
    assert upstream.connections == 2
