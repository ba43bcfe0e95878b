"""Paces an open-loop load more precisely than the event loop's timers."""

import asyncio
import time
from collections.abc import Callable, Iterable

from cicadawheel.timer import MS_PER_S

SPIN_MS = 1.2
"""The event loop wakes up to this late, so the last part of a wait is polled."""


def now_ms() -> float:
    """Return milliseconds on the monotonic clock with the highest resolution."""
    return time.perf_counter() * MS_PER_S


def unix_ms() -> int:
    """Return milliseconds since the Unix epoch, as in the records of upstreams."""
    return int(time.time() * MS_PER_S)


class Pacer:
    """Invokes a callback at each scheduled time, independent of earlier calls."""

    def __init__(self):
        self._stopped = False

    def stop(self) -> None:
        """Stop invoking the callback."""
        self._stopped = True

    async def run(
        self,
        started_ms: float,
        times_ms: Iterable[float],
        send: Callable[[float], None],
    ) -> None:
        """Call ``send`` with each time, relative to ``started_ms``, when it is due."""
        for at_ms in times_ms:
            await self._wait_until(started_ms + at_ms)
            if self._stopped:
                return
            send(at_ms)

    async def _wait_until(self, due_ms: float) -> None:
        early_ms = due_ms - now_ms() - SPIN_MS
        if early_ms > 0:
            await asyncio.sleep(early_ms / MS_PER_S)
        while now_ms() < due_ms and not self._stopped:
            await asyncio.sleep(0)
