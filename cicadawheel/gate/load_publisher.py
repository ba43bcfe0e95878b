"""Pushes the load of a gate to the entries that use it."""

from collections.abc import Callable

from cicadawheel.gate.news import LoadChangeFilter
from cicadawheel.messages import LoadReport
from cicadawheel.timer import TimerService


class LoadPublisher:
    """Pushes a load to its listeners if it differs enough from the last one.

    Parameters
    ----------
    timers : TimerService
        The source of the time and of timers.
    read_load : callable
        Returns the present load.
    """

    def __init__(self, timers: TimerService, read_load: Callable[[], LoadReport]):
        self.listeners: set[Callable[[LoadReport], None]] = set()
        self._timers = timers
        self._read_load = read_load
        self._changes = LoadChangeFilter()
        self._pending = False

    def push(self) -> None:
        """Push the load now, later or not at all, as its change demands."""
        if not self.listeners:
            return
        load = self._read_load()
        entries = len(self.listeners)
        now_ms = self._timers.clock.now_ms()
        if self._changes.should_push(load, now_ms, entries):
            for listener in list(self.listeners):
                listener(load)
        elif not self._pending:
            delay_ms = self._changes.postponed_ms(load, now_ms, entries)
            if delay_ms > 0.0:
                self._pending = True
                self._timers.once(delay_ms, self._push_postponed)

    def _push_postponed(self, now_ms: float) -> None:
        self._pending = False
        self.push()
