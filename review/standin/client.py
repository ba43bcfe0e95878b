"""Clients that send requests to the node of their machine."""

import uuid

from . import web
from .operator import HOST
from .platform import Machine, Platform


async def request(
    platform: Platform,
    machine: Machine,
    method: str,
    target: str,
    body: bytes = b"",
    timeout_ms: int = 1500,
) -> tuple[str, web.Reply | None]:
    """Send one request, and return its id and the answer."""
    attempt = uuid.uuid4().hex[:16]
    fields = {"Host": HOST, "Attempt-Id": attempt, "Timeout-Ms": str(timeout_ms)}
    platform.record(f"client on {machine.name} sends {attempt} {method} {target}")
    reply = await web.call(
        machine.address("outbound"),
        method,
        target,
        fields,
        body,
        timeout_s=timeout_ms / 1000 + 0.5,
    )
    answer = "no answer" if reply is None else reply.status
    platform.record(f"client on {machine.name} gets {attempt}: {answer}")
    return attempt, reply
