"""A gate with the platform dialect, and an upstream that the test simulates."""

import asyncio
import contextlib

from site_in_loop import until

from cicadawheel.announcement import Announcement
from cicadawheel.configuration import Configuration, ServiceRule
from cicadawheel.gate.gate import Gate
from cicadawheel.messages import CallOpen, Header
from cicadawheel.platform.headers import PLATFORM_DIALECT
from cicadawheel.settings import GateSettings
from cicadawheel.timer import make_timer_service

DEADLINE_MS = 5_000.0


@contextlib.asynccontextmanager
async def serve_gate(upstream, limit="told"):
    """Yield the gate of an upstream, which counts its open connections in ``open``."""
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    settings = GateSettings(limit=limit)
    gate = Gate(settings, "dc", make_timer_service(), "n1", PLATFORM_DIALECT)
    gate.configure(Configuration(1, services={"s": ServiceRule("s", DEADLINE_MS)}))
    gate.announce(Announcement("u", "1", "s", "v1", port, 4, 20, host))
    yield gate
    gate.close()
    await until(lambda: not upstream.open)
    server.close()


def make_call(request, repeatable=False):
    """Return a call as an entry sends it."""
    headers = (Header(b"host", b"s"), Header(b"attempt-id", request.encode()))
    rest = (headers, b"", False, DEADLINE_MS, 0, repeatable, "f")
    return CallOpen(1, request, "s", "", "GET", "/x", *rest)
