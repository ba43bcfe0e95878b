"""A node that is killed twice forgets that its backend has left."""

import asyncio
import contextlib
import json
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "third"))
from case import run_case, with_trouble
from site3 import APP, CONTROL, OUTBOUND, Backend, Site, http, route, service

DRAIN_S = 2.0
CONTACT_S = 3.0
RESTART_S = 0.3
LATE_BEAT_S = 6.0
SERVES_ON_S = 9.0
CLIENTS = 12


def make_site():
    """Return three nodes of one service."""
    return Site(cores=1, sides=(("yoyaku", "za"),) * 3)


async def call(site, backend, name, body):
    """Send a call of a backend to its node and return the status."""
    target = f"/rpc?call=instances.{name}&of={backend.id}"
    fields = {"Content-Type": "application/json"}
    sent = (backend.side.ip, CONTROL, "POST", target, json.dumps(body).encode())
    with contextlib.suppress(OSError, TimeoutError, EOFError):
        status = (await http(*sent, fields, 1.0))[0]
        site.note(backend.id, name, body.get("sequence", ""), "gets", status)
        return status
    return 0


async def restart(site, machine):
    """Kill a node; the platform starts it again."""
    site.note(machine.name, "is killed")
    machine.kill()
    await asyncio.sleep(RESTART_S)
    machine.start()


async def ready_to_hear(machine):
    """Wait until a node listens for its backend."""
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(machine.ip, CONTROL)
            writer.close()
            return
        await asyncio.sleep(0.02)


async def client(side, ends, seen):
    """Send requests that may not be repeated to one node."""
    while time.monotonic() < ends:
        attempt = secrets.token_hex(8)
        fields = {"Attempt-Id": attempt, "Timeout-Ms": "1500"}
        status = "none"
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            sent = (side.ip, OUTBOUND, "POST", f"/book/{attempt}", b"x", fields, 3.0)
            status = (await http(*sent))[0]
        seen[status] = seen.get(status, 0) + 1
        await asyncio.sleep(0.1)


async def play(site):
    """Let a backend leave by a node that is killed before and after."""
    site.start()
    backends = [Backend(site, side, "yoyaku", work_ms=210) for side in site.sides]
    for one in backends:
        await one.start()
    kind = "non_idempotent"
    await site.configure([route("/book/", "yoyaku", kind=kind)], [service("yoyaku")])
    await site.ready()
    await asyncio.sleep(2.0)
    leaving, node = backends[0], site.sides[0]
    seen = {}
    ends = time.monotonic() + LATE_BEAT_S + SERVES_ON_S + 2.0
    clients = [
        asyncio.ensure_future(client(site.sides[1 + i % 2], ends, seen))
        for i in range(CLIENTS)
    ]
    # One heartbeat is sent now and arrives late; it is the last one.
    leaving.stop_beats()
    leaving.sequence += 1
    late = {
        "service": "yoyaku",
        "address": f"{node.ip}:{APP}",
        "zone": node.zone,
        "version": "v1",
        "slots": leaving.slots,
        "state": "ready",
        "cold_remaining_s": 0,
        "sequence": leaving.sequence,
        "born": leaving.born,
    }
    late_at = time.monotonic() + LATE_BEAT_S
    site.note(leaving.id, "sends heartbeat", leaving.sequence, "which will be late")
    if with_trouble():
        await restart(site, node)
    await ready_to_hear(node)
    while await call(site, leaving, "deregister", {"born": leaving.born}) != 200:
        await asyncio.sleep(0.1)
    left_at = time.monotonic()
    site.note(leaving.id, "has left, acknowledged by", node.name)
    if with_trouble():
        await restart(site, node)
    started_at = time.monotonic()
    await ready_to_hear(node)
    in_touch_at = max(left_at + DRAIN_S, started_at + CONTACT_S)
    await asyncio.sleep(max(0.0, max(late_at, in_touch_at) - time.monotonic()))
    await call(site, leaving, "heartbeat", late)
    await asyncio.sleep(max(0.0, left_at + SERVES_ON_S - time.monotonic()))
    broken = [at for at, _ in leaving.arrived if at > in_touch_at]
    at_work = leaving.running
    await leaving.stop()
    await asyncio.gather(*clients)
    site.note("requests of the clients:", seen, "at work at the end:", at_work)
    if broken:
        return (
            f"DRAIN: {len(broken)} requests reach a backend more than {DRAIN_S} s"
            f" after its departure was acknowledged; {at_work} are at work as it ends"
        )
    return ""


if __name__ == "__main__":
    run_case(__file__, make_site, play)
