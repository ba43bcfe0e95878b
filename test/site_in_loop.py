"""A site in one event loop: control, nodes and upstreams on real sockets."""

import asyncio
import contextlib

import msgspec

from bench.ports import free_port
from cicadawheel.announcement import ANNOUNCE_PATH, LEAVE_PATH, Announcement, Leave
from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    RepeatRule,
    RouteRule,
    ServiceRule,
)
from cicadawheel.control.command import ApplyConfiguration
from cicadawheel.control.daemon import ControlDaemon
from cicadawheel.errors import CicadawheelError
from cicadawheel.http.exchange import fetch
from cicadawheel.node.admin import ANNOUNCE_REPEAT_MS
from cicadawheel.node.daemon import Node
from cicadawheel.settings import Address, load_settings
from cicadawheel.timer import MS_PER_S, make_timer_service

KEY = "0123456789abcdef"
CONDITION_TIMEOUT_S = 10.0
WARM_UP_CALLS = 4
POLL_S = 0.01

SHOP = Configuration(
    services={
        "shop": ServiceRule(
            name="shop",
            deadline_ms=5_000.0,
            routes=(
                RouteRule("book", "POST", "/book", RepeatRule.NEVER, 5_000.0),
                RouteRule("any", "*", "/", RepeatRule.REPEATABLE, 5_000.0),
            ),
        )
    },
    data_centres={
        f"dc-n{number}": DataCentreRule(f"dc-n{number}") for number in range(1, 6)
    },
)


def free_address():
    """Return an address with a free port."""
    return Address("127.0.0.1", free_port())


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(CONDITION_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


async def until_answers(address):
    """Wait until a node's admin address answers."""
    async with asyncio.timeout(CONDITION_TIMEOUT_S):
        while True:
            with contextlib.suppress(Exception):
                if (await fetch(address, "GET", "/dump")).status == 200:
                    return
            await asyncio.sleep(POLL_S)


class UpstreamConnection(asyncio.Protocol):
    """A server connection; request bodies are framed by Content-Length only."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.buffer = b""
        self.answered_early = False

    def connection_made(self, transport):
        self.transport = transport
        self.upstream.transports.add(transport)

    def connection_lost(self, exc):
        self.upstream.transports.discard(self.transport)

    def data_received(self, data):
        self.buffer += data
        head, end, rest = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return
        lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        length = int(fields.get("content-length", 0))
        if " /early" in lines[0]:
            if not self.answered_early:
                self.upstream.answer(self.transport, "POST", b"early")
            self.answered_early = True
            return
        if len(rest) >= length:
            self.buffer = rest[length:]
            method, target, _ = lines[0].split(" ")
            self.upstream.serve(self.transport, method, target, rest[:length])


class Upstream:
    """Answers with its name and the body; some targets crash, reset or block."""

    def __init__(self, name, slots):
        self.name = name
        self.slots = slots
        self.boots = 0
        self.crashes = 0
        self.transports = set()
        self.runs = []
        self.bodies = []
        self.holding = False
        self.held = []
        self.address = None
        self.server = None

    async def start(self):
        self.boots += 1
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: UpstreamConnection(self), "127.0.0.1", 0
        )
        self.address = Address(*self.server.sockets[0].getsockname())

    def stop(self):
        self.server.close()
        for transport in list(self.transports):
            transport.abort()

    def serve(self, transport, method, target, body):
        if target in ("/load", "/health"):
            self.answer(transport, method, b"")
            return
        self.runs.append(target)
        self.bodies.append(body)
        if target.startswith("/crash"):
            self.crashes += 1
            self.stop()
        elif target.startswith("/reset"):
            transport.abort()
        elif self.holding or target.startswith("/hold"):
            self.held.append((transport, method, body))
        elif target.startswith("/raw/"):
            status = target.rpartition("/")[2]
            transport.write(f"HTTP/1.1 {status} X\r\n\r\n".encode())
        elif target.startswith("/big"):
            size = int(target.rpartition("/")[2])
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
            transport.write(head.encode() + bytes(size))
        elif target.startswith("/half"):
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nhalf")
            transport.close()
        else:
            self.answer(transport, method, body)

    def answer(self, transport, method, body):
        content = self.name.encode() + b" " + body
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n"
        transport.write(head.encode() + (b"" if method == "HEAD" else content))

    def release(self):
        self.holding = False
        held, self.held = self.held, []
        for transport, method, body in held:
            self.answer(transport, method, body)


class Site:
    """One control replica and several nodes, each with an upstream."""

    def __init__(self, tmp_path, node_count, slots):
        self.tmp_path = tmp_path
        self.slots = slots
        self.names = [f"n{number}" for number in range(1, node_count + 1)]
        self.nodes = []
        self.upstreams = []
        self.tasks = []
        self.announcing = {}
        self.stops = []

    def settings(self, name, text):
        path = self.tmp_path / f"{name}.ini"
        path.write_text(
            f"[process]\nname = {name}\nkey = {KEY}\ndata_centre = dc-{name}\n"
            f"random_seed = 1\n{text}"
        )
        return load_settings(path)

    async def start(self):
        settings = self.settings(
            "c1",
            f"[control]\nstream_address = {free_address()}\n"
            f"operator_address = {free_address()}\n",
        )
        self.control = ControlDaemon(settings, make_timer_service())
        self.run(self.control)
        for name in self.names:
            await self.start_node(name, settings.control.stream_address)
        count = len(self.names)
        await until(
            lambda: all(len(node.control.view.members) == count for node in self.nodes)
        )
        operation = ApplyConfiguration(
            now_ms=1, operation="op-1", expected_revision=0, configuration=SHOP
        )
        await self.control.server.log.propose(operation)
        await until(lambda: self.in_force("shop"))

    async def start_node(self, name, control):
        settings = self.settings(
            name,
            f"[node]\ncaller_address = {free_address()}\n"
            f"peer_address = {free_address()}\nadmin_address = {free_address()}\n"
            f"control_addresses = {control}\ndrain_timeout_ms = 1000\n"
            "[gate]\nwarm_up_ms = 1\n",
        )
        node = Node(settings, make_timer_service())
        self.nodes.append(node)
        self.run(node)
        upstream = Upstream(f"u-{name}", self.slots)
        self.upstreams.append(upstream)
        await until_answers(node.settings.node.admin_address)
        await self.start_upstream(upstream)

    async def start_upstream(self, upstream):
        """Start an upstream and keep announcing it to its node."""
        await upstream.start()
        boot = f"boot-{upstream.boots}"
        port = upstream.address.port
        announcement = Announcement(
            upstream.name, boot, "shop", "v1", port, upstream.slots, 20
        )
        await self.post(upstream, ANNOUNCE_PATH, announcement)
        repeated = self.keep_announcing(upstream, upstream.server, announcement)
        self.announcing[upstream.name] = asyncio.ensure_future(repeated)

    async def keep_announcing(self, upstream, server, announcement):
        """Repeat the announcement; otherwise the node drops the upstream."""
        while True:
            await asyncio.sleep(ANNOUNCE_REPEAT_MS / MS_PER_S / 2)
            if not server.is_serving():
                return
            with contextlib.suppress(CicadawheelError):
                await self.post(upstream, ANNOUNCE_PATH, announcement)

    def stop_announcing(self, upstream):
        """Stop announcing an upstream."""
        self.announcing[upstream.name].cancel()

    async def warm_up(self):
        """Send calls until all gates have completed their warm-up.

        The calls are sent concurrently, so that they spread over the gates.
        """

        def is_warm():
            return all(node.gate.admission.warm_up.warm for node in self.nodes)

        try:
            async with asyncio.timeout(CONDITION_TIMEOUT_S):
                while not is_warm():
                    nodes = self.nodes * WARM_UP_CALLS
                    await asyncio.gather(*(call(one, "GET", "/list") for one in nodes))
        except TimeoutError as error:
            reports = [node.gate.report() for node in self.nodes]
            raise AssertionError(
                f"gates did not complete their warm-up: {reports}"
            ) from error

    async def leave(self, upstream):
        """Notify the node of an upstream that it accepts no new calls."""
        self.stop_announcing(upstream)
        leave = Leave(upstream.name, f"boot-{upstream.boots}")
        await self.post(upstream, LEAVE_PATH, leave)

    async def post(self, upstream, path, message):
        node = self.nodes[self.upstreams.index(upstream)]
        body = msgspec.json.encode(message)
        await fetch(node.settings.node.admin_address, "POST", path, body)

    def run(self, daemon):
        self.stops.append(asyncio.Event())
        self.tasks.append(asyncio.ensure_future(daemon.run(self.stops[-1])))

    def stop_control(self):
        """Stop the control replica."""
        self.stops[0].set()

    async def until_claims_requested(self, task):
        """Wait until a call has requested its claim from control at least twice."""
        index = self.control.server.log.index
        await until(lambda: task.done() or self.control.server.log.index >= index + 2)

    def in_force(self, service):
        return all(
            service in node.control.view.configuration.services for node in self.nodes
        )

    async def close(self):
        for announcing in self.announcing.values():
            announcing.cancel()
        for stop in self.stops:
            stop.set()
        await asyncio.gather(*self.tasks)
        for upstream in self.upstreams:
            upstream.stop()


def call(node, method, target, body=b"", **headers):
    """Send a request to a node's entry and return the answer."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    fields = {"cicadawheel-service": "shop", **fields}
    return fetch(node.settings.node.caller_address, method, target, body, fields)


async def hold_call(site, key):
    """Return a call that must not be repeated, in progress at the last upstream.

    ``release`` of that upstream answers it. The other upstreams must have left.
    """
    upstream = site.upstreams[-1]
    count = len(upstream.held)
    upstream.holding = True
    task = asyncio.ensure_future(
        call(site.nodes[0], "POST", "/book", b"held", idempotency_key=key)
    )
    await until(lambda: len(upstream.held) > count)
    upstream.holding = False
    return task
