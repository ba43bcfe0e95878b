"""Waits for the intended times of an open load, more finely than the event loop."""

import asyncio
import time
from collections.abc import Callable, Iterable

from cicadawheel.timer import MS_PER_S

SPIN_MS = 1.2
"""The event loop wakes this late at most; the rest is waited for by polling."""


def now_ms() -> float:
    """Return milliseconds on the finest clock that never goes back."""
    return time.perf_counter() * MS_PER_S


def unix_ms() -> int:
    """Return milliseconds since the Unix epoch, as upstreams write them down."""
    return int(time.time() * MS_PER_S)


class Pacer:
    """Calls back at each intended time, whatever the earlier calls do."""

    def __init__(self):
        self._stopped = False

    def stop(self) -> None:
        """Call back no more."""
        self._stopped = True

    async def run(
        self,
        started_ms: float,
        times_ms: Iterable[float],
        send: Callable[[float], None],
    ) -> None:
        """Call ``send`` with each time, counted from ``started_ms``, when it comes."""
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
