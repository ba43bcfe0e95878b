"""A backend crashes while backends of a version that was never ordered stand by."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin import client
from standin.backend import Backend
from standin.case import NotRunError, begin, run_case, trouble
from standin.operator import READ, Operator, configuration
from standin.platform import ZONES, Platform

OLD, NEW = "v1", "v2"
REQUESTS = 24
WORK_S = 1.0
TIMEOUT_MS = 3_000
RETRIES = 1


async def look(platform: Platform, machine, path: str) -> None:
    """Send an idempotent request, and retry it once after a failure."""
    for _ in range(1 + RETRIES):
        _, reply = await client.request(
            platform, machine, "GET", path, timeout_ms=TIMEOUT_MS
        )
        if reply is not None and reply.status == 200:
            return
        await asyncio.sleep(0.1)


async def play(platform: Platform) -> list[str]:
    """Play the crash of one backend."""
    backends = [
        Backend(platform, machine, WORK_S, version=OLD if n < 3 else NEW)
        for n, machine in enumerate(platform.sides)
    ]
    old, new = backends[:3], backends[3:]
    operator = Operator(platform)
    await begin(platform, old, operator, configuration())
    platform.record(f"backends of {NEW} start; no rollout is ordered")
    for backend in new:
        await backend.start()
    await asyncio.sleep(5.0)
    sending = [
        asyncio.create_task(
            look(platform, platform.sides[n % 3], f"{READ}{n}"),
        )
        for n in range(REQUESTS)
    ]
    await asyncio.sleep(0.4)
    crashing = max(old, key=lambda backend: backend.running)
    if not crashing.running:
        raise NotRunError("no request is in flight")
    if trouble():
        platform.record(f"{crashing.id} crashes with {crashing.running} requests")
        await crashing.stop()
    await asyncio.gather(*sending)
    # Others ask for the same paths.
    await asyncio.gather(
        *(
            look(platform, platform.sides[n % 3], f"{READ}{n}")
            for n in range(0, REQUESTS, 2)
        )
    )
    ran = sum(len(backend.runs) for backend in new)
    platform.record(f"{ran} requests ran on backends of {NEW}")
    for backend in backends:
        if backend is not crashing or not trouble():
            await backend.stop()
    if not ran:
        return []
    return [f"{ran} requests ran on {NEW}, to which no order has moved any"]


run_case(Platform([(zone, "yoyaku") for zone in (*ZONES, *ZONES)]), play)
