"""A node hangs when a backend declines a request of a route with many attempts."""

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

from second.actors import Backend, Operator
from second.machines import Machines, Record
from second.web import ask

HOST = "booths.example"
SERVICE = "yoyaku"
MAX_ATTEMPTS = 2_147_483_647
TIMEOUT_S = 1.2
LATE_S = 0.5
CALM_S = 6.0
TROUBLE_S = 5.0
PAUSE_S = 0.1
DECLINED_SHARE = 0.4
LEAST_LATE = 8
HELD, BROKEN, NOT_RUN = 0, 1, 2


def make_path(name, prefix, priority):
    """Return one route."""
    return {
        "name": name,
        "path_prefix": prefix,
        "route_type": "idempotent",
        "timeout_s": TIMEOUT_S,
        "target_latency_s": 0.5,
        "priority": priority,
        "service": SERVICE,
        "max_attempts": MAX_ATTEMPTS,
    }


def make_document():
    """Return the configuration: two routes of different rank."""
    return {
        "version": 1,
        "base_version": 0,
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 220,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 3.0,
                "cold_per_s": 9.7,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "virtual_hosts": [
            {
                "host": HOST,
                "paths": [
                    make_path("r-state", "/state/", 1),
                    make_path("r-slots", "/slots/", 2),
                ],
            }
        ],
    }


class Clients:
    """Send requests to each node, and count the answers that are late."""

    def __init__(self, machines, record):
        self.machines = machines
        self.record = record
        self.sent = 0
        self.served = 0
        self.unanswered_in_time = 0
        self.late = 0
        self._tasks = set()

    async def run(self, for_s):
        """Send a request of each route to each node, again and again."""
        ends_s = time.monotonic() + for_s
        while time.monotonic() < ends_s:
            for node in self.machines.nodes:
                for prefix in ("/state/", "/slots/"):
                    task = asyncio.ensure_future(self._send(node, prefix))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(PAUSE_S)

    async def finish(self):
        """Wait for the answers."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _send(self, node, prefix):
        self.sent += 1
        attempt = f"{self.sent:016x}"
        target = f"{prefix}{self.sent}"
        fields = {"Host": HOST, "Attempt-Id": attempt, "Timeout-Ms": "5000"}
        port = self.machines.ports["outbound"]
        began_s = time.monotonic()
        answer = await ask(node.ip, port, "GET", target, fields, timeout_s=5.0)
        took_s = time.monotonic() - began_s
        status = 0 if answer is None else answer.status
        self.served += status == 200
        if took_s > TIMEOUT_S:
            self.unanswered_in_time += 1
            self.late += took_s > TIMEOUT_S + LATE_S
        shown = status or "no answer"
        self.record.note(f"{attempt} {target} at {node.name}: {shown} {took_s:.2f} s")


async def check_ready(machines, record):
    """Return how many nodes answer the platform's question."""
    ready = 0
    for node in machines.nodes:
        answer = await ask(node.ip, machines.ports["ready"], "GET", "/ready")
        status = "no answer" if answer is None else answer.status
        ready += status == 200
        record.note(f"GET /ready at {node.name}: {status}")
    return ready


async def play(machines, record, trouble):
    """Play the case and return its exit code."""
    machines.start()
    backends = [Backend(machines, i, SERVICE, record) for i in range(5)]
    operator = Operator(machines, record)
    clients = Clients(machines, record)
    try:
        for backend in backends:
            await backend.start()
        body = json.dumps(make_document()).encode()
        answer = await operator.order("config.put", body)
        if answer is None or answer.status != 200:
            return NOT_RUN
        await asyncio.sleep(5.0)
        if await check_ready(machines, record) < len(machines.nodes):
            return NOT_RUN
        await clients.run(CALM_S)
        await clients.finish()
        record.note(f"calm: {clients.sent} sent, {clients.served} served")
        if clients.unanswered_in_time:
            return NOT_RUN
        if trouble:
            record.note(f"{backends[0].name} declines {DECLINED_SHARE} of its requests")
            backends[0].declined_share = DECLINED_SHARE
        await clients.run(TROUBLE_S)
        backends[0].declined_share = 0.0
        await asyncio.sleep(1.0)
        ready = await check_ready(machines, record)
        await clients.finish()
        declined = sum(backend.declined for backend in backends)
        unanswered, late = clients.unanswered_in_time, clients.late
        record.note(
            f"{clients.sent} sent, {clients.served} served, {declined} declined"
        )
        record.note(f"unanswered at timeout_s: {unanswered}, 0.5 s later: {late}")
        record.note(f"nodes that answer /ready: {ready} of {len(machines.nodes)}")
        is_broken = late >= LEAST_LATE and 2 * late > unanswered
        return BROKEN if is_broken else HELD
    finally:
        for backend in backends:
            await backend.close()


def main():
    """Run the case in a temporary folder."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        machines = Machines(folder, [SERVICE] * 5)
        try:
            code = asyncio.run(play(machines, record, trouble))
        finally:
            machines.close()
    record.note(f"exit {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
