"""An answer that breaks off, in its head or its body, never counts as complete."""

import asyncio
import contextlib

import pytest
from lone_gate import make_call, serve_gate
from site_in_loop import until

from cicadawheel.messages import End, Refused, ReplyHead

HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\nServer-Seal: s\r\n"
ANSWERS = {
    "length": f"{HEAD}Content-Length: 5\r\n\r\nwhole",
    "chunks": f"{HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "interim head": f"HTTP/1.1 100 Continue\r\n\r\n{HEAD}Content-Length: 1\r\n\r\nw",
}
UNFRAMED = f"{HEAD}\r\n"


class CuttingUpstream:
    """Sends the beginning of an answer and closes the connection."""

    def __init__(self, answer):
        self.answer = answer.encode()
        self.sent_bytes = 0
        self.open = 0

    async def serve(self, reader, writer):
        self.open += 1
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer[: self.sent_bytes])
        writer.close()
        await writer.wait_closed()
        self.open -= 1


def has_ended(messages):
    last = messages[-1] if messages else None
    whole = isinstance(last, ReplyHead) and not last.more
    return whole or isinstance(last, End | Refused)


async def play(upstream, cuts):
    """Return the messages of one call for each length of the answer."""
    ends = []
    async with serve_gate(upstream) as gate:
        for upstream.sent_bytes in cuts:
            messages = []
            gate.open(make_call("r"), messages.append)
            await until(lambda messages=messages: has_ended(messages))
            ends.append(messages)
    return ends


@pytest.mark.parametrize("name", ANSWERS)
def test_answer_that_breaks_off_anywhere_is_no_success(name):
    upstream = CuttingUpstream(ANSWERS[name])
    size_bytes = len(upstream.answer)
    *cut, whole = asyncio.run(play(upstream, range(size_bytes + 1)))
    for messages in cut:
        assert isinstance(messages[-1], Refused)
        assert not messages[-1].not_run
    assert not isinstance(whole[-1], Refused)


def test_head_that_breaks_off_is_no_answer_without_a_length():
    upstream = CuttingUpstream(UNFRAMED)
    for messages in asyncio.run(play(upstream, range(len(UNFRAMED)))):
        assert [type(message) for message in messages] == [Refused]
        assert not messages[0].not_run
