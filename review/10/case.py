"""Uploads in small chunks are ended with 413, though they are far below the limit."""

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

from second.actors import Backend, Operator
from second.machines import Machines, Record
from second.web import read_message

HOST = "files.example"
SERVICE = "rokuon"
BODY_BYTES = 24_000
BODY_LIMIT_BYTES = 67_108_864
SMALL_BYTES, LARGE_BYTES = 10, 1_000
PARTS = 24
PART_PAUSE_S = 0.02
CLIENTS = 8
ROUNDS = 5
ALLOWED, ALLOWED_SHARE = 5, 1 / 500
HELD, BROKEN, NOT_RUN = 0, 1, 2


def make_document():
    """Return the configuration, with one route for uploads."""
    path = {
        "name": "r-up",
        "path_prefix": "/up/",
        "route_type": "upload",
        "timeout_s": 5.0,
        "target_latency_s": 2.0,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
    }
    service = {
        "name": SERVICE,
        "health_path": "/health",
        "max_connections": 220,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 3.0,
        "cold_per_s": 9.7,
    }
    return {
        "version": 1,
        "base_version": 0,
        "services": [service],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": BODY_LIMIT_BYTES,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "virtual_hosts": [{"host": HOST, "paths": [path]}],
    }


async def upload(machines, record, number, chunk_bytes):
    """Stream one body in chunks to the first node; return the status."""
    node = machines.nodes[0]
    reader, writer = await asyncio.open_connection(node.ip, machines.ports["outbound"])
    attempt = f"{number:016x}"
    fields = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Timeout-Ms": "5000",
        "Transfer-Encoding": "chunked",
    }
    lines = [f"POST /up/{number} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    answer = asyncio.ensure_future(read_message(reader))
    status = 0
    try:
        async with asyncio.timeout(8.0):
            for _ in range(PARTS):
                if answer.done():
                    break
                writer.write(chunk * (BODY_BYTES // PARTS // chunk_bytes))
                await asyncio.sleep(PART_PAUSE_S)
            if not answer.done():
                writer.write(b"0\r\n\r\n")
            message = await answer
            status = 0 if message is None else message.status
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        answer.cancel()
    finally:
        writer.close()
    shown = status or "no answer"
    record.note(f"{attempt} POST /up/{number} in chunks of {chunk_bytes}: {shown}")
    return status


async def play(machines, record, trouble):
    """Play the case and return its exit code."""
    machines.start()
    backends = [Backend(machines, i, SERVICE, record) for i in range(3)]
    operator = Operator(machines, record)
    try:
        for backend in backends:
            await backend.start()
        body = json.dumps(make_document()).encode()
        answer = await operator.order("config.put", body)
        if answer is None or answer.status != 200:
            return NOT_RUN
        await asyncio.sleep(5.0)
        if await upload(machines, record, 1, LARGE_BYTES) != 200:
            return NOT_RUN
        chunk_bytes = SMALL_BYTES if trouble else LARGE_BYTES
        statuses = []
        for turn in range(ROUNDS):
            numbers = range(16 * (turn + 1), 16 * (turn + 1) + CLIENTS)
            uploads = (upload(machines, record, i, chunk_bytes) for i in numbers)
            statuses += await asyncio.gather(*uploads)
        denied = sum(400 <= status < 500 for status in statuses)
        served = sum(status == 200 for status in statuses)
        record.note(f"{len(statuses)} uploads: {served} served, {denied} denied")
        allowed = ALLOWED + ALLOWED_SHARE * (len(statuses) + 1)
        return BROKEN if denied > allowed else HELD
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
