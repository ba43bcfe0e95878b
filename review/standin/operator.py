"""The operator: sends orders and configurations to the machines that serve control."""

import asyncio
import json
from urllib.parse import urlencode

from . import web
from .platform import Machine, Platform

HOST = "booths.example"
READ = "/read/"
BOOK = "/book/"


def configuration(
    version: int = 1,
    base_version: int = 0,
    services: tuple[str, ...] = ("yoyaku",),
    max_attempts: int = 2,
    timeout_s: float = 3.0,
) -> dict:
    """Return a configuration with a route of each kind for the first service."""

    def route(prefix: str, kind: str, service: str) -> dict:
        return {
            "name": f"r{prefix.strip('/')}",
            "path_prefix": prefix,
            "route_type": kind,
            "timeout_s": timeout_s,
            "target_latency_s": 0.5,
            "priority": 1,
            "service": service,
            "max_attempts": max_attempts,
        }

    return {
        "version": version,
        "base_version": base_version,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 220,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 3.0,
                "cold_per_s": 9.7,
            }
            for name in services
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
                    route(READ, "idempotent", services[0]),
                    route(BOOK, "non_idempotent", services[0]),
                ],
            }
        ],
    }


class Operator:
    """Sends calls, and records them with their answers."""

    def __init__(self, platform: Platform):
        self.platform = platform

    async def send(
        self, machine: Machine, call: str, of: str = "", body: bytes = b""
    ) -> web.Reply | None:
        """Send one call to one machine, waiting a second for the answer."""
        query = {"call": call, "of": of} if of else {"call": call}
        reply = await web.call(
            machine.address("control"),
            "POST",
            "/rpc?" + urlencode(query),
            {"Content-Type": "application/json"},
            body,
        )
        answer = "no answer" if reply is None else reply.status
        self.platform.record(f"operator: {call} {of} to {machine.name}: {answer}")
        return reply

    async def order(
        self,
        call: str,
        of: str = "",
        body: bytes = b"",
        machines: list[Machine] | None = None,
        timeout_s: float = 15.0,
    ) -> bool:
        """Send a call to one machine after the other until it is acknowledged."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        wait_s = 0.1
        while loop.time() < ends_at:
            for machine in machines or self.platform.cores:
                reply = await self.send(machine, call, of, body)
                if reply is not None and reply.status == 200:
                    return True
                if reply is not None and reply.status in (400, 409, 412, 413, 422):
                    return False
                await asyncio.sleep(wait_s)
                wait_s = min(1.0, wait_s * 1.5)
        return False

    async def put(self, document: dict, machines: list[Machine] | None = None) -> bool:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        return await self.order("config.put", body=body, machines=machines)
