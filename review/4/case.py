"""A backend whose heartbeats are seconds late deregisters, and goes on serving."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin import client
from standin.backend import BEAT_INTERVAL_S, Backend
from standin.case import NotRunError, begin, run_case, trouble
from standin.operator import BOOK, READ, Operator, configuration
from standin.platform import BOUNDS, ZONES, Platform

LATE_S = 6.0
LEAVES_AFTER_S = 5.0
SERVES_ON_S = 8.0
REQUESTS_PER_S = 40


class LateBackend(Backend):
    """Its heartbeats are late by ``late_s`` on their way to the node."""

    late_s = 0.0

    async def send_beats(self) -> None:
        """Send a heartbeat at each interval until cancelled."""
        tasks = set()
        while True:
            tasks.add(asyncio.create_task(self.deliver(self.beat_body())))
            await asyncio.sleep(BEAT_INTERVAL_S)

    async def deliver(self, body: bytes) -> None:
        """Deliver one heartbeat, maybe late."""
        sequence, late_s = self.sequence, self.late_s
        await asyncio.sleep(late_s)
        reply = await self.send_beat(body)
        answer = "no answer" if reply is None else reply.status
        self.platform.record(
            f"heartbeat {sequence} of {self.id} arrives {late_s} s late: {answer}"
        )


async def play(platform: Platform) -> list[str]:
    """Play a backend that leaves while its heartbeats are late."""
    backends = [LateBackend(platform, machine, 0.3) for machine in platform.sides]
    operator = Operator(platform)
    await begin(platform, backends, operator, configuration())
    leaving = backends[0]
    sending = asyncio.create_task(send_requests(platform))
    await asyncio.sleep(1.0)

    leaving.stop_beats()
    if trouble():
        platform.record(f"the heartbeats of {leaving.id} are {LATE_S} s late from now")
        leaving.late_s = LATE_S
    beats = asyncio.create_task(leaving.send_beats())
    await asyncio.sleep(LEAVES_AFTER_S)
    beats.cancel()
    reply = await leaving.deregister()
    if reply is None or reply.status != 200:
        raise NotRunError("the deregistration was not acknowledged")
    acknowledged_at = time.monotonic()
    platform.record(f"the deregistration of {leaving.id} is acknowledged")
    await asyncio.sleep(SERVES_ON_S)
    platform.record(f"{leaving.id} exits")
    await leaving.stop()
    await asyncio.sleep(2.0)
    sending.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await sending
    await asyncio.sleep(1.0)

    late = [
        at - acknowledged_at
        for at, _ in leaving.arrivals
        if at > acknowledged_at + BOUNDS["drain_s"]
    ]
    for backend in backends[1:]:
        await backend.stop()
    if not late:
        return []
    return [
        f"{len(late)} requests reached {leaving.id}, the first {late[0]:.2f} s and "
        f"the last {late[-1]:.2f} s after its deregistration was acknowledged"
    ]


async def send_requests(platform: Platform) -> None:
    """Send requests at a steady rate until cancelled."""
    tasks = set()
    number = 0
    while True:
        machine = platform.sides[number % len(platform.sides)]
        number += 1
        method, route = ("GET", READ) if number % 2 else ("POST", BOOK)
        sending = client.request(platform, machine, method, f"{route}{number}")
        tasks.add(asyncio.create_task(sending))
        await asyncio.sleep(1 / REQUESTS_PER_S)


run_case(Platform([(zone, "yoyaku") for zone in (*ZONES, "doto-a")]), play)
