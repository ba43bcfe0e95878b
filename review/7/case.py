"""The last route is removed; requests for it, and for others, are run all the same."""

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

HOST = "yoyaku.example"
SERVICE = "yoyaku"
APPLY_S = 2.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def make_document(version, base, prefixes):
    """Return a configuration with a route for each prefix."""
    paths = [
        {
            "name": f"r-{i}",
            "path_prefix": prefix,
            "route_type": "idempotent",
            "timeout_s": 1.2,
            "target_latency_s": 0.5,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        }
        for i, prefix in enumerate(prefixes)
    ]
    return {
        "version": version,
        "base_version": base,
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
        "virtual_hosts": [{"host": HOST, "paths": paths}] if paths else [],
    }


async def get(machines, record, place, number, path):
    """Send one GET to a node; return its id and status."""
    node = machines.nodes[place]
    attempt = f"{number:016x}"
    fields = {"Host": HOST, "Attempt-Id": attempt, "Timeout-Ms": "1200"}
    port = machines.ports["outbound"]
    answer = await ask(node.ip, port, "GET", path, fields, timeout_s=2.0)
    status = 0 if answer is None else answer.status
    record.note(f"client: {attempt} GET {HOST}{path} at {node.name}: {status}")
    return attempt, status


async def play(machines, record, trouble):
    """Play the case and return its exit code."""
    machines.start()
    backends = [Backend(machines, i, SERVICE, record) for i in range(3)]
    operator = Operator(machines, record)
    try:
        for backend in backends:
            await backend.start()
        first = make_document(1, 0, ["/slots/", "/old/"])
        answer = await operator.order("config.put", json.dumps(first).encode())
        if answer is None or answer.status != 200:
            return NOT_RUN
        await asyncio.sleep(APPLY_S + 3.0)
        before = [await get(machines, record, i, 1 + i, "/slots/1") for i in range(3)]
        never = [await get(machines, record, i, 5 + i, "/never/1") for i in range(3)]
        if {status for _, status in before} != {200}:
            return NOT_RUN
        if {status for _, status in never} != {404}:
            return NOT_RUN
        second = make_document(2, 1, [] if trouble else ["/old/"])
        answer = await operator.order("config.put", json.dumps(second).encode())
        if answer is None or answer.status != 200:
            return NOT_RUN
        acked_s = time.monotonic()
        await asyncio.sleep(APPLY_S + 1.0)
        record.note(f"{time.monotonic() - acked_s:.1f} s after the ack of version 2")
        later = []
        for i in range(3):
            later.append(await get(machines, record, i, 16 + i, "/slots/1"))
            later.append(await get(machines, record, i, 32 + i, "/never/1"))
        sent = {attempt for attempt, _ in later}
        ran = [run for backend in backends for run in backend.ran if run[0] in sent]
        dropped = sum(target == "/slots/1" for _, _, target in ran)
        unknown = sum(target == "/never/1" for _, _, target in ran)
        record.note(f"run on the dropped route: {dropped} of 3")
        record.note(f"run without a route in any configuration: {unknown} of 3")
        return BROKEN if ran else HELD
    finally:
        for backend in backends:
            await backend.close()


def main():
    """Run the case in a temporary folder."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        machines = Machines(folder, [SERVICE] * 3)
        try:
            code = asyncio.run(play(machines, record, trouble))
        finally:
            machines.close()
    record.note(f"exit {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
