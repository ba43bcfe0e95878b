"""The process of a stand-in upstream: its ports, announcements and draining."""

import asyncio
import gc
import signal
from pathlib import Path

import msgspec

from bench.announcer import Announcer
from bench.behaviour import Behaviour
from bench.record import RECORD_SUFFIX, RecordWriter
from bench.standin import Upstream, UpstreamOptions, now_ms
from bench.upstream_server import UpstreamConnection
from cicadawheel.announcement import Announcement
from cicadawheel.http.exchange import HttpAnswer, HttpRequest, json_answer, serve_http
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

HOST = "127.0.0.1"
SETTLE_MS = 300.0
DRAIN_LIMIT_MS = 30_000.0
POLL_MS = 10.0


async def handle_control(upstream: Upstream, request: HttpRequest) -> HttpAnswer:
    """Answer one request of the control port.

    ``GET /control`` returns the behaviour, ``POST /control`` replaces it, ``POST
    /fall-back`` starts a cold start, ``GET /counters`` returns the counters.
    """
    if request.path == "/fall-back":
        upstream.fall_back()
        return json_answer(upstream.read_counters())
    if request.path == "/counters":
        return json_answer(upstream.read_counters())
    if request.path != "/control":
        return HttpAnswer(404)
    if request.method == "POST":
        upstream.behaviour = msgspec.json.decode(request.body, type=Behaviour)
    return json_answer(upstream.behaviour)


class UpstreamProcess:
    """One stand-in upstream with its data port and control port.

    Parameters
    ----------
    options : UpstreamOptions
        Its identity and initial behaviour.
    record_path : Path
        The file that its executions are recorded in.
    """

    def __init__(self, options: UpstreamOptions, record_path: Path):
        self._options = options
        self._upstream = Upstream(options, RecordWriter(record_path))
        self._announcer = Announcer(
            options.node_admin, make_announcement(self._upstream)
        )
        self._connections: set[UpstreamConnection] = set()

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set; then drain and return."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self._connect, HOST, self._options.port)
        control_address = Address(HOST, self._options.control_port)
        control = await serve_http(control_address, self._on_control)
        announcing = asyncio.create_task(self._announcer.run())
        await stop.wait()
        self._upstream.leave()
        announcing.cancel()
        await self._announcer.leave()
        await _drain(self._connections)
        server.close()
        control.close()
        for connection in list(self._connections):
            connection.close_when_idle()

    def _connect(self) -> UpstreamConnection:
        limit = self._options.connections
        return UpstreamConnection(self._upstream.handle, self._connections, limit)

    async def _on_control(self, request: HttpRequest) -> HttpAnswer:
        return await handle_control(self._upstream, request)


async def serve_upstreams(options: list[UpstreamOptions], record: Path) -> None:
    """Run stand-in upstreams until SIGTERM or SIGINT, then drain them and return.

    ``record`` is one file for all executions, or a folder with a file per upstream.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    gc.freeze()
    running = []
    for each in options:
        path = record
        if record.is_dir():
            path = record / f"{each.upstream}{RECORD_SUFFIX}"
        running.append(UpstreamProcess(each, path).run(stop))
    await asyncio.gather(*running)


def make_announcement(upstream: Upstream) -> Announcement:
    """Return the announcement that an upstream sends to its node."""
    options = upstream.options
    return Announcement(
        upstream=options.upstream,
        boot=upstream.boot,
        service=options.service,
        version=options.version,
        port=options.announced_port or options.port,
        slots=options.slots,
        connections=options.connections,
    )


async def _drain(connections: set[UpstreamConnection]) -> None:
    """Wait until connections are idle for ``SETTLE_MS``, or until the limit."""
    ends_ms = now_ms() + DRAIN_LIMIT_MS
    idle_since_ms = now_ms()
    while now_ms() < ends_ms:
        if any(connection.busy for connection in connections):
            idle_since_ms = now_ms()
        elif now_ms() - idle_since_ms >= SETTLE_MS:
            return
        await asyncio.sleep(POLL_MS / MS_PER_S)
