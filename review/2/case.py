"""A planned stop of one node while its clients send short bodies in chunks."""

import asyncio
import signal
import sys
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin import client, web
from standin.backend import Backend
from standin.case import begin, run_case, trouble
from standin.operator import BOOK, HOST, READ, Operator, configuration
from standin.platform import BOUNDS, ZONES, Platform

BUDGET_MS = 5_000
SLOW_WORK_S = 3.0
LOSS_SLACK_S = BOUNDS["loss_slack_s"]
CHUNKED_REQUESTS = 6


class SlowBackend(Backend):
    """Takes longer for the paths that say so."""

    def __init__(self, *args):
        super().__init__(*args)
        self.working: set[str] = set()

    async def run(self, attempt, method, target, fields, body):
        """Run one request, slowly if its path says so."""
        self.work_s = SLOW_WORK_S if "slow" in target else 0.2
        self.working.add(attempt)
        try:
            await super().run(attempt, method, target, fields, body)
        finally:
            self.working.discard(attempt)


class Sent:
    """One request, and how its connection ended."""

    def __init__(self, kind: str):
        self.kind = kind
        self.attempt = uuid.uuid4().hex[:16]
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status: int | None = None
        self.at_work = False


async def send(platform, machine, backends, kind: str, target: str, data: bytes):
    """Send one request on a new connection and wait for the end of its answer."""
    sent = Sent(kind)
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {sent.attempt}\r\n"
        f"Timeout-Ms: {BUDGET_MS}\r\n"
    ).encode()
    reader, writer = await asyncio.open_connection(*machine.address("outbound"))
    sent.sent_at = time.monotonic()
    platform.record(f"client sends {sent.attempt} POST {target}, {kind}")
    try:
        async with asyncio.timeout(BUDGET_MS / 1000 + 0.5):
            sent.status = (await web.exchange(reader, writer, head + data)).status
    except (OSError, EOFError, TimeoutError):
        sent.status = None
    sent.ended_at = time.monotonic()
    sent.at_work = any(sent.attempt in backend.working for backend in backends)
    answer = "closed without an answer" if sent.status is None else sent.status
    platform.record(
        f"client gets {sent.attempt} ({kind}): {answer} after "
        f"{sent.ended_at - sent.sent_at:.2f} s; backend at work: {sent.at_work}"
    )
    writer.close()
    return sent


async def play(platform: Platform) -> list[str]:
    """Play a planned stop beside requests in chunks."""
    backends = [SlowBackend(platform, machine) for machine in platform.sides]
    operator = Operator(platform)
    await begin(platform, backends, operator, configuration(timeout_s=5.0))
    side = platform.sides[0]
    for _ in range(3):
        await asyncio.gather(
            *(client.request(platform, side, "GET", READ + "x") for _ in range(20))
        )
    if trouble():
        platform.record("SIGTERM to side-0")
        platform.signal(side, signal.SIGTERM)
    await asyncio.sleep(0.3)
    body = b"Content-Length: 5\r\n\r\nhello"
    chunks = b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
    tasks = []
    for _ in range(6):
        data = (platform, side, backends, "with a length", BOOK + "slow", body)
        tasks.append(asyncio.create_task(send(*data)))
    await asyncio.sleep(0.5)
    for _ in range(CHUNKED_REQUESTS):
        data = (platform, side, backends, "in chunks", BOOK + "x", chunks)
        tasks.append(asyncio.create_task(send(*data)))
        await asyncio.sleep(0.1)
    results = await asyncio.gather(*tasks)
    ran = {attempt for backend in backends for _, attempt in backend.runs}
    in_chunks = [one for one in results if one.kind == "in chunks"]
    platform.record(
        f"{sum(one.attempt in ran for one in in_chunks)} of {len(in_chunks)} requests "
        "in chunks have run"
    )
    for backend in backends:
        await backend.stop()
    broken_off = [one for one in results if one.status != 200 and one.at_work]
    platform.record(
        f"{len(broken_off)} of {len(results) - len(in_chunks)} requests with a length "
        "were broken off while their backend was at work"
    )
    # The rule counts these around a planned stop only.
    if not trouble():
        return []
    breaks = [text for one in results if (text := unanswered(one))]
    breaks += [
        f"{one.attempt} ({one.kind}): broken off with {one.status} after "
        f"{one.ended_at - one.sent_at:.2f} s, its backend at work"
        for one in broken_off
        if one.status is not None
    ]
    return breaks


def unanswered(one: Sent) -> str:
    """Return how a request was lost, or nothing."""
    took_s = one.ended_at - one.sent_at
    if one.status is not None or one.at_work or took_s >= BUDGET_MS / 1000:
        return ""
    if took_s <= LOSS_SLACK_S:
        return ""
    return f"{one.attempt} ({one.kind}): closed without an answer after {took_s:.2f} s"


run_case(Platform([(zone, "yoyaku") for zone in (*ZONES, "doto-a")]), play)
