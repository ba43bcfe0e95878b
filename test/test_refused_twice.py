"""A refusal that an upstream writes once more is not taken for that of a request."""

import asyncio

from site_in_loop import until

from cicadawheel.announcement import Announcement
from cicadawheel.configuration import Configuration, ServiceRule
from cicadawheel.gate.gate import Gate
from cicadawheel.messages import CallOpen, Header, RefusalReason, Refused, ReplyHead
from cicadawheel.platform.headers import PLATFORM_DIALECT
from cicadawheel.settings import GateSettings
from cicadawheel.timer import make_timer_service

DEADLINE_MS = 5_000.0
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
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    settings = GateSettings(limit="told")
    gate = Gate(settings, "dc", make_timer_service(), "n1", PLATFORM_DIALECT)
    gate.configure(Configuration(1, services={"s": ServiceRule("s", DEADLINE_MS)}))
    gate.announce(Announcement("u", "1", "s", "v1", port, 4, 20, host))
    ends = []
    for request in requests:
        messages = []
        headers = (Header(b"host", b"s"), Header(b"attempt-id", request.encode()))
        fields = ("s", "", "GET", "/x", headers, b"", False, DEADLINE_MS, 0, False, "f")
        gate.open(CallOpen(1, request, *fields), messages.append)
        await until(lambda messages=messages: messages)
        ends.append(messages[-1])
    gate.close()
    await until(lambda: not upstream.open)
    server.close()
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
