"""Periodic and one-shot timers on the event loop, with a replaceable clock."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

MS_PER_S = 1_000.0
EARLY_TOLERANCE_SHARE = 0.1


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def now_ms(self) -> float:
        """Return milliseconds on a clock that never goes back."""

    def unix_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """The system clock."""

    def now_ms(self) -> float:
        """Return milliseconds on a clock that never goes back."""
        return time.monotonic() * MS_PER_S

    def unix_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return int(time.time() * MS_PER_S)


class Subscription:
    """A periodic or one-shot timer, ended by `cancel`."""

    def __init__(self, interval_ms: float, callback: Callable[[float], None]):
        self.interval_ms = interval_ms
        self.callback = callback
        self.active = True

    def cancel(self) -> None:
        """Cancel the timer."""
        self.active = False


class TimerService:
    """Calls subscribers at intervals or after a delay, on the running event loop.

    Parameters
    ----------
    clock : Clock
        The time source.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._started_at_ms = clock.now_ms()

    def every(
        self, interval_ms: float, callback: Callable[[float], None]
    ) -> Subscription:
        """Call back with the current time at each interval, until cancelled."""
        subscription = Subscription(interval_ms, callback)
        self._schedule(subscription)
        return subscription

    def once(self, delay_ms: float, callback: Callable[[float], None]) -> Subscription:
        """Call back with the current time after a delay, unless cancelled."""
        subscription = Subscription(0.0, callback)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / MS_PER_S, self._fire_once, subscription)
        return subscription

    def _schedule(self, subscription: Subscription) -> None:
        loop = asyncio.get_running_loop()
        delay_ms = self._delay_to_next_ms(subscription.interval_ms)
        loop.call_later(delay_ms / MS_PER_S, self._fire_periodic, subscription)

    def _delay_to_next_ms(self, interval_ms: float) -> float:
        """Return the time to the next multiple of the interval since the start.

        Timers whose intervals divide each other fire in the same wake-up, and
        processes that were started at different times keep different phases.
        """
        elapsed_ms = self.clock.now_ms() - self._started_at_ms
        left_ms = interval_ms - elapsed_ms % interval_ms
        if left_ms < interval_ms * EARLY_TOLERANCE_SHARE:
            # The loop may have fired slightly early; don't fire twice for one tick.
            left_ms += interval_ms
        return left_ms

    def _fire_periodic(self, subscription: Subscription) -> None:
        if not subscription.active:
            return
        self._schedule(subscription)
        subscription.callback(self.clock.now_ms())

    def _fire_once(self, subscription: Subscription) -> None:
        if subscription.active:
            subscription.active = False
            subscription.callback(self.clock.now_ms())


def make_timer_service() -> TimerService:
    """Return a timer service that uses the system clock."""
    return TimerService(SystemClock())
