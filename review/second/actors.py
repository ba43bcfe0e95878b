"""The backends and the operator."""

import asyncio
import contextlib
import json
import random
import time

from second.web import ask, encode, read_message

BEAT_S = 1.5


class Backend:
    """A sound backend: runs what its node sends it, and tells its load."""

    def __init__(self, machines, place, service, record, slots=9, work_s=0.02):
        node = machines.nodes[place]
        self.ip, self.port = node.ip, machines.ports["app"]
        self.beat_port = machines.ports["control"]
        self.zone = node.fields["zone"]
        self.service, self.record = service, record
        self.slots, self.work_s = slots, work_s
        self.name = f"i-{service}-{place}"
        self.born_ms = int(time.time() * 1_000)
        self.ran = []
        self.version = "v1"
        self.declined_share = 0.0
        self.declined = 0
        self.running = 0
        self._sequence = 0
        self._tasks = []
        self._writers = set()
        self._server = None

    async def start(self):
        """Listen, and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self._tasks.append(asyncio.ensure_future(self._beat()))

    async def close(self):
        """Stop."""
        for task in self._tasks:
            task.cancel()
        self._server.close()

    async def crash(self):
        """Stop at once, with all connections reset."""
        await self.close()
        for writer in self._writers:
            writer.transport.abort()
        self.record.note(f"{self.name} crashes with {self.running} requests")

    async def beat(self, state="ready"):
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_remaining_s": 0,
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        target = f"/rpc?call=instances.heartbeat&of={self.name}"
        fields = {"Content-Type": "application/json"}
        sent = json.dumps(body).encode()
        answer = await ask(self.ip, self.beat_port, "POST", target, fields, sent)
        return answer is not None and answer.status == 200

    async def _beat(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    def _load(self):
        return f"{self.running},0,{self.slots},100"

    async def _serve(self, reader, writer):
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        self._writers.add(writer)
        with contextlib.suppress(*ended):
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request):
        method, target, _ = request.words
        own = {"Instance-Id": self.name, "Backend-Load": self._load()}
        if target == "/health":
            return encode("HTTP/1.1 200 OK", own)
        attempt = request.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt, **own}
        if request.headers.get("target-instance", self.name) != self.name:
            return encode("HTTP/1.1 421 Misdirected Request", echo)
        if random.random() < self.declined_share:
            self.declined += 1
            self.record.note(f"{self.name} declines {attempt}")
            fields = {**echo, "Not-Executed": "1"}
            return encode("HTTP/1.1 503 Service Unavailable", fields)
        self.ran.append((attempt, method, target))
        host = request.headers.get("host")
        self.record.note(f"{self.name} runs {attempt} {method} {host}{target}")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        seal = {"Server-Seal": f"seal.{self.name}.{attempt}"}
        return encode("HTTP/1.1 200 OK", {**echo, **seal}, b"done\n")


class Operator:
    """Sends an order again, to one machine after the other, until one answers."""

    def __init__(self, machines, record):
        self.addresses = machines.operator_addresses()
        self.record = record
        self._next = 0

    async def order(self, call, body=b"", within_s=20.0):
        """Return the clear answer to a call, None without one in time."""
        ends_s = time.monotonic() + within_s
        target = f"/rpc?call={call}"
        while time.monotonic() < ends_s:
            host, port = self.addresses[self._next % len(self.addresses)]
            self._next += 1
            fields = {"Content-Type": "application/json"}
            answer = await ask(host, port, "POST", target, fields, body)
            shown = "no answer" if answer is None else answer.status
            self.record.note(f"operator: {call} at {host}: {shown}")
            if answer is not None and answer.status < 500:
                return answer
            await asyncio.sleep(0.2)
        return None
