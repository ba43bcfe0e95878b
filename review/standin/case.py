"""Runs one case on a small deployment, and returns its result as the exit code."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

from .platform import Platform

HELD = 0
BROKEN = 1
NOT_RUN = 2
LIMIT_S = 115.0


class NotRunError(Exception):
    """The deployment or a stand-in wasn't in the state that the case needs."""


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    platform: Platform, play: Callable[[Platform], Awaitable[list[str]]]
) -> None:
    """Play a case, which returns the breaks of its rule, and exit."""
    code = NOT_RUN
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        breaks = asyncio.run(_limited(platform, play))
        for text in breaks:
            platform.record(f"BROKEN: {text}")
            print(text)
        code = BROKEN if breaks else HELD
        platform.record(f"result: {'rule broken' if breaks else 'rule held'}")
    except (Exception, KeyboardInterrupt):  # noqa: BLE001
        traceback.print_exc()
        platform.record(f"not run: {traceback.format_exc()}")
    finally:
        platform.close()
    sys.exit(code)


async def _limited(platform, play) -> list[str]:
    async with asyncio.timeout(LIMIT_S):
        return await play(platform)


async def begin(platform: Platform, backends, operator, document: dict) -> None:
    """Start the deployment, apply its first configuration and let it settle."""
    platform.start_all()
    for backend in backends:
        await backend.start()
    if not await operator.put(document):
        raise NotRunError("the first configuration was not acknowledged")
    if not await platform.wait_ready():
        raise NotRunError("not all nodes are ready")
    await asyncio.sleep(3.0)
