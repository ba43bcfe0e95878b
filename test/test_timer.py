"""Tests of the timer service: aligned intervals, early wake-ups and cancellation."""

import asyncio

from cicadawheel.timer import TimerService


class ManualClock:
    """A clock whose time the test sets."""

    def __init__(self):
        self.time_ms = 1_234.5

    def now_ms(self):
        return self.time_ms


def test_dividing_intervals_share_wake_ups():
    clock = ManualClock()
    timers = TimerService(clock)
    clock.time_ms += 30.0
    assert timers._delay_to_next_ms(50.0) == 20.0
    assert timers._delay_to_next_ms(250.0) == 220.0
    clock.time_ms += 20.0
    assert timers._delay_to_next_ms(50.0) == 50.0
    assert timers._delay_to_next_ms(250.0) == 200.0


def test_early_wake_up_does_not_fire_twice():
    clock = ManualClock()
    timers = TimerService(clock)
    clock.time_ms += 49.99
    assert timers._delay_to_next_ms(50.0) > 50.0


def test_cancelled_subscription_is_not_called():
    async def run():
        timers = TimerService(ManualClock())
        calls = []
        delay_over = asyncio.Event()
        subscription = timers.every(1.0, calls.append)
        subscription.cancel()
        once = timers.once(1.0, calls.append)
        once.cancel()
        timers.once(2.0, lambda now_ms: delay_over.set())
        await delay_over.wait()
        return calls

    assert asyncio.run(run()) == []
