"""An order that a frozen machine receives takes effect when the machine wakes."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin import client
from standin.backend import Backend
from standin.case import NotRunError, begin, run_case, trouble
from standin.operator import READ, Operator, configuration
from standin.platform import BOUNDS, ZONES, Platform

ZONE = "doto-b"
FREEZE_S = 7.0
PAUSE_S = 4.0
AFTER_WAKE_S = 20.0
REQUESTS_PER_S = 20
# The bound, and what an unstable core may add to it.
LIMIT_S = BOUNDS["evacuation_s"] + BOUNDS["max_stretch_s"]


async def play(platform: Platform) -> list[str]:
    """Play an order that is sent to a frozen machine."""
    backends = [Backend(platform, machine) for machine in platform.sides]
    operator = Operator(platform)
    await begin(platform, backends, operator, configuration())
    evacuated = [one for one in backends if one.machine.zone == ZONE]
    frozen, *others = await followers_first(platform)
    if not await operator.order("evacuate.start", ZONE, machines=others):
        raise NotRunError("the first evacuation was not acknowledged")
    await asyncio.sleep(3.0)

    if trouble():
        platform.record(f"{frozen.name} freezes")
        platform.signal(frozen, signal.SIGSTOP)
    frozen_at = time.monotonic()
    # The operator tries the frozen machine first, and another one a second later.
    if not await operator.order("evacuate.end", ZONE, machines=[frozen, *others]):
        raise NotRunError("the end of the evacuation was not acknowledged")
    await asyncio.sleep(PAUSE_S)
    if not await operator.order("evacuate.start", ZONE, machines=others):
        raise NotRunError("the second evacuation was not acknowledged")
    acknowledged_at = time.monotonic()
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if trouble():
        platform.record(f"{frozen.name} wakes")
        platform.signal(frozen, signal.SIGCONT)

    ends_at = time.monotonic() + AFTER_WAKE_S
    number = 0
    tasks = []
    while time.monotonic() < ends_at:
        machine = platform.sides[number % len(platform.sides)]
        number += 1
        sending = client.request(platform, machine, "GET", f"{READ}{number}")
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    late = [
        (at - acknowledged_at, attempt)
        for backend in evacuated
        for at, attempt in backend.arrivals
        if at > acknowledged_at + LIMIT_S
    ]
    platform.record(
        f"{len(late)} requests reached backends of {ZONE} more than {LIMIT_S} s after "
        "the acknowledgement of its evacuation"
    )
    for backend in backends:
        await backend.stop()
    if not late:
        return []
    return [
        f"{len(late)} requests reached {ZONE}, the first {late[0][0]:.1f} s and the "
        f"last {late[-1][0]:.1f} s after its evacuation was acknowledged"
    ]


async def followers_first(platform: Platform):
    """Return the machines that serve control, those that don't lead first."""
    leader = ""
    for machine in platform.cores:
        path = platform.folder / f"{machine.name}.log"
        for line in path.read_text().splitlines():
            if "event=leadership_changed" in line and "leads=True" in line:
                leader = machine.name
    if not leader:
        raise NotRunError("no leader found")
    platform.record(f"{leader} leads")
    return sorted(platform.cores, key=lambda one: one.name == leader)


run_case(
    Platform([(zone, "yoyaku") for zone in (*ZONES, "doto-a", "doto-b", "doto-c")]),
    play,
)
