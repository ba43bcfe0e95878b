"""Crowds of clients that misbehave, and a real node process that they come to."""

import asyncio
import contextlib
import os
from pathlib import Path
from unittest import mock

import msgspec
from processes import BYTES_PER_KIB, peak_memory_bytes

from bench.launcher import wait_for
from bench.ports import free_port
from bench.process import Process, stop_all
from cicadawheel.http.exchange import HttpAnswer, fetch, serve_http
from cicadawheel.settings import Address

HOST = "127.0.0.1"
CLIENTS = 100
BODY_LIMIT_BYTES = 4_000_000
HEAD_LIMIT_BYTES = 16_384
MEMORY_LIMIT_MB = 80
DESCRIPTOR_LIMIT = CLIENTS + 64
SETTLED_POLLS = 100
TRICKLE_S = 0.05
ANSWERED_TIMEOUT_MS = 30_000.0
LONG_ANSWER_BYTES = 300_000
BEAT_TARGET = "/rpc?call=instances.heartbeat&of=i-1"
PATHS = {
    "route": "/route/long",
    "no route": "/nothing",
    "ready": "/ready",
    "control": BEAT_TARGET,
}

CONTROL = """
[process]
name = control
data_centre = a
key = a key for the tests only
[control]
stream_address = {stream}
replica_address = {replica}
operator_address = {operator}
may_form = true
data_centres = a
"""
NODE = """
[process]
name = node
data_centre = a
key = a key for the tests only
[node]
caller_address = {route}
peer_address = {peer}
admin_address = {control}
ready_address = {ready}
control_addresses = {stream}
service = s
upstream_address = {upstream}
[entry]
policy = soonest-answer
[gate]
limit = told
report_interval_ms = 50
[bounds]
memory_mb = {memory_mb}
"""


def post(path, *fields):
    """Return the head of a request with a body."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: 127.0.0.1",
        "Attempt-Id: c",
        *fields,
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def sized(path, size_bytes=BODY_LIMIT_BYTES, *fields):
    return post(path, f"Content-Length: {size_bytes}", *fields)


def in_one_piece(path):
    return [sized(path) + bytes(BODY_LIMIT_BYTES - 1)]


def in_small_pieces(path):
    yield sized(path, 1_000_000)
    for _ in range(999):
        yield bytes(1_000)


def in_tiny_chunks(path):
    yield post(path, "Transfer-Encoding: chunked")
    for _ in range(4_000):
        yield b"1\r\nx\r\n" * 1_000


def over_the_limit(path):
    yield post(path, "Transfer-Encoding: chunked")
    for _ in range(900):
        yield b"10000\r\n" + bytes(65_536) + b"\r\n"


def many_fields(path):
    fields = ["a:"] * (HEAD_LIMIT_BYTES // 5)
    return [sized(path, BODY_LIMIT_BYTES, *fields) + bytes(1_000)]


def many_ahead(path):
    path = path.replace("long", "short")
    one = f"GET {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: c\r\n\r\n".encode()
    return [one * 50 for _ in range(200)]


def answers_unread(path):
    return [sized(path, 1_000_000) + bytes(1_000_000)] * 3


def half_heads(path):
    return [sized(path)[:-3]]


def slow_bodies(path):
    yield sized(path)
    while True:
        yield b"x"


KINDS = (
    in_one_piece,
    in_small_pieces,
    in_tiny_chunks,
    over_the_limit,
    many_fields,
    many_ahead,
    answers_unread,
    half_heads,
    slow_bodies,
)


class Crowd:
    """Clients that send the same, read nothing, and stay open until they are closed."""

    def __init__(self, address, pieces_of, path):
        self.address = address
        self.sent_pieces = 0
        self._writers = []
        self._pieces_of = pieces_of
        self._path = path
        self._tasks = [asyncio.ensure_future(self._run()) for _ in range(CLIENTS)]

    async def _run(self):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self._endpoint())
            self._writers.append(writer)
            writer.transport.pause_reading()
            for piece in self._pieces_of(self._path):
                writer.write(piece)
                await writer.drain()
                self.sent_pieces += 1
                if self._pieces_of is slow_bodies:
                    await asyncio.sleep(TRICKLE_S)

    def _endpoint(self):
        return self.address.host, self.address.port

    async def settled(self):
        """Wait until nobody can send more, or for a limited time."""
        seen = []

        async def is_still():
            seen.append(self.sent_pieces)
            ended = all(task.done() for task in self._tasks)
            still = len(seen) > SETTLED_POLLS and seen[-SETTLED_POLLS] == seen[-1]
            return ended or still

        with contextlib.suppress(TimeoutError):
            await wait_for(is_still, "a crowd that has sent all", 5_000.0)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()


class CrowdSite:
    """A node and a control replica as processes, with the platform's formats.

    The upstream is in the test's own process; ``serve`` may take its connections.
    """

    def __init__(self, folder, memory_mb=MEMORY_LIMIT_MB, serve=None):
        self._serve_connection = serve
        names = ("route", "control", "ready", "peer", "stream", "replica", "operator")
        self.at = {name: Address(HOST, free_port()) for name in (*names, "upstream")}
        self.at["no route"] = self.at["route"]
        self.node = Process("node", ["cicadawheel.platform", "node"], folder)
        self.core = Process("core", ["cicadawheel.platform", "control"], folder)
        for process, text in ((self.node, NODE), (self.core, CONTROL)):
            path = Path(folder, f"{process.name}.ini")
            path.write_text(text.format(**self.at, memory_mb=memory_mb))
        self._sequence = 0
        self._beating = None
        self._upstream = None

    async def __aenter__(self):
        at, serve = self.at["upstream"], self._serve_connection
        if serve is None:
            self._upstream = await serve_http(at, self._serve)
        else:
            self._upstream = await asyncio.start_server(serve, at.host, at.port)
        for process in (self.core, self.node):
            path = process.log_path.with_suffix(".ini")
            with mock.patch.dict(os.environ, CICADAWHEEL_SETTINGS=str(path)):
                process.start()
        self._beating = asyncio.ensure_future(self._beat_on())
        await wait_for(self._configured, "a configuration", 30_000.0)
        await self.wait_served("ready", "control", "route", "no route")
        return self

    async def __aexit__(self, *error):
        self._beating.cancel()
        await stop_all([self.node, self.core])
        self._upstream.close()

    async def _serve(self, request):
        own = {"Attempt-Id": request.headers.get("attempt-id", ""), "Server-Seal": "s"}
        own |= {"Instance-Id": "i-1", "Backend-Load": "0,0,4"}
        size_bytes = LONG_ANSWER_BYTES if request.path.endswith("long") else 4
        return HttpAnswer(200, bytes(size_bytes), headers=own)

    async def _configured(self):
        path = {"path_prefix": "/route/", "route_type": "idempotent", "timeout_s": 10}
        path |= {"target_latency_s": 1, "max_attempts": 2, "service": "s"}
        limits = {"max_header_bytes": HEAD_LIMIT_BYTES, "idle_timeout_s": 15}
        limits |= {"max_body_bytes": BODY_LIMIT_BYTES, "header_timeout_s": 3}
        document = {"version": 1, "services": [{"name": "s"}], "limits": limits}
        document["virtual_hosts"] = [{"host": HOST, "paths": [path]}]
        body = msgspec.json.encode(document)
        target = "/rpc?call=config.put"
        answer = await fetch(self.at["operator"], "POST", target, body)
        return answer.status == 200

    async def beat(self):
        """Send a heartbeat and return the status of its answer."""
        self._sequence += 1
        beat = {"service": "s", "zone": "a", "version": "1", "slots": 4, "born": 1}
        beat |= {"state": "ready", "sequence": self._sequence}
        beat["address"] = str(self.at["upstream"])
        body = msgspec.json.encode(beat)
        return (await fetch(self.at["control"], "POST", BEAT_TARGET, body)).status

    async def _beat_on(self):
        while True:
            with contextlib.suppress(Exception):
                await self.beat()
            await asyncio.sleep(1.0)

    async def answer(self, place):
        """Send one ordinary request and return whether it is served."""
        if place == "control":
            return await self.beat() == 200
        if place == "ready":
            return (await fetch(self.at["ready"], "GET", "/ready")).status == 200
        path, status = ("/route/x", 200) if place == "route" else ("/nothing", 404)
        fields = {"Attempt-Id": "c", "Timeout-Ms": "5000"}
        sent = await fetch(self.at["route"], "GET", path, headers=fields)
        return sent.status == status

    async def wait_served(self, *places):
        """Wait until one ordinary request at each of the places is served."""
        for place in places:
            await wait_for(
                lambda place=place: self.answer(place),
                f"a request at {place}",
                ANSWERED_TIMEOUT_MS,
            )

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.node.pid}/fd"))

    def peak_mb(self):
        return peak_memory_bytes(self.node) / (BYTES_PER_KIB * BYTES_PER_KIB)
