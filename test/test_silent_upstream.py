"""Kept connections to an upstream that go silent, while new ones work."""

import asyncio
import re

import msgspec
import pytest
from lone_gate import make_call, serve_gate
from site_in_loop import POLL_S, until

from bench.faultproxy import start_proxy
from cicadawheel.messages import ReplyHead
from cicadawheel.settings import Address
from cicadawheel.timer import make_timer_service

CONTACT_WINDOW_S = 3.0
MEASURE_INTERVAL_MS = 50.0
KEPT = 3
ANSWER = "HTTP/1.1 200 X\r\n{id}Server-Seal: s\r\nContent-Length: 2\r\n\r\nok"


class KeepingUpstream:
    """Answers calls and health checks on kept connections; holds calls at first."""

    def __init__(self):
        self.open = 0
        self.calls = 0
        self.answering = asyncio.Event()

    async def serve(self, reader, writer):
        self.open += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if not head.startswith("GET /health"):
                    self.calls += 1
                    await self.answering.wait()
                named = re.search(r"attempt-id: .*\r\n", head, re.IGNORECASE)
                writer.write(ANSWER.format(id=named[0] if named else "").encode())
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
        self.open -= 1


def measure(gate):
    """Start to read the upstream's reports, and return the subscription."""
    return make_timer_service().every(
        MEASURE_INTERVAL_MS,
        lambda now_ms: gate.report_due(now_ms) and gate.read_report(now_ms),
    )


@pytest.mark.parametrize("silent", ["all", "all but the health check's"])
def test_request_is_answered_after_kept_connections_went_silent(silent):
    async def work():
        upstream = KeepingUpstream()
        async with serve_gate(upstream) as gate:
            announced = gate.announcement
            proxy = await start_proxy(Address(announced.host, announced.port))
            behind = msgspec.structs.replace(announced, port=proxy.address.port)
            gate.announce(behind)
            if silent == "all":
                measuring = measure(gate)
                await until(lambda: proxy.accepted == 1)
            replies = []
            for number in range(KEPT):
                gate.open(make_call(f"kept-{number}"), replies.append)
            await until(lambda: upstream.calls == KEPT)
            upstream.answering.set()
            await until(lambda: len(replies) == KEPT)
            proxy.silence()
            accepted = proxy.accepted
            if silent != "all":
                measuring = measure(gate)
            async with asyncio.timeout(CONTACT_WINDOW_S):
                while proxy.accepted == accepted:
                    await asyncio.sleep(POLL_S)
            for number in range(KEPT):
                gate.open(make_call(f"later-{number}"), replies.append)
            async with asyncio.timeout(CONTACT_WINDOW_S):
                while len(replies) < 2 * KEPT:
                    await asyncio.sleep(POLL_S)
            assert [type(reply) for reply in replies] == [ReplyHead] * 2 * KEPT
            measuring.cancel()
            gate.close()
            await proxy.close()

    asyncio.run(work())
