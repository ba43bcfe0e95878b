"""A backend that follows the users' protocol."""

import asyncio
import contextlib
import json
import time
import uuid
from urllib.parse import urlencode

from . import web
from .platform import Machine, Platform

BEAT_INTERVAL_S = 1.5


class Backend:
    """One backend beside a node; it records the requests that reach it."""

    def __init__(
        self,
        platform: Platform,
        machine: Machine,
        work_s: float = 0.02,
        slots: int = 9,
        version: str = "v1",
    ):
        self.platform = platform
        self.machine = machine
        self.work_s = work_s
        self.slots = slots
        self.version = version
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, *self.machine.app, limit=1 << 20
        )
        self._beats = asyncio.create_task(self._beat())

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        self._beats.cancel()

    async def stop(self) -> None:
        """Stop at once."""
        self.stop_beats()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0.1)

    def beat_body(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.machine.service,
                "address": "{}:{}".format(*self.machine.app),
                "zone": self.machine.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_s": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
        ).encode()

    async def send_beat(self, body: bytes | None = None) -> web.Reply | None:
        """Send a heartbeat to the node on this machine."""
        return await self._rpc("instances.heartbeat", body or self.beat_body())

    async def deregister(self) -> web.Reply | None:
        """Send a deregistration to the node on this machine."""
        body = json.dumps({"born": self.born_ms}).encode()
        return await self._rpc("instances.deregister", body)

    async def _rpc(self, call: str, body: bytes) -> web.Reply | None:
        target = "/rpc?" + urlencode({"call": call, "of": self.id})
        return await web.call(
            self.machine.address("control"),
            "POST",
            target,
            {"Content-Type": "application/json"},
            body,
        )

    async def _beat(self) -> None:
        while True:
            reply = await self.send_beat()
            ok = reply is not None and reply.status // 100 == 2
            await asyncio.sleep(BEAT_INTERVAL_S if ok else 0.2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError, ValueError):
            while True:
                first, fields = await web.read_head(reader)
                method, target, _ = first.split()
                if target == "/health":
                    self._answer(writer, 200, {"Instance-Id": self.id}, b"")
                    continue
                attempt = fields.get("attempt-id", "")
                self.arrivals.append((time.monotonic(), attempt))
                body = await web.read_body(reader, fields)
                if fields.get("target-instance", self.id) != self.id:
                    self._answer(writer, 421, {"Attempt-Id": attempt}, b"")
                    continue
                await self.run(attempt, method, target, fields, body)
                sealed = {"Attempt-Id": attempt, "Server-Seal": f"{self.id}.{attempt}"}
                self._answer(writer, 200, sealed, b"done " + attempt.encode())
        self._writers.discard(writer)
        writer.close()

    async def run(
        self, attempt: str, method: str, target: str, fields: dict, body: bytes
    ) -> None:
        """Run one request."""
        self.runs.append((time.monotonic(), attempt))
        self.platform.record(f"{self.machine.name} {self.id} runs {attempt}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        load = f"{self.running},0,{self.slots},100"
        fields = {**fields, "Backend-Load": load, "Content-Length": str(len(body))}
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
