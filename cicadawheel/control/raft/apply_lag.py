"""How long a replica has known of a committed entry that it hasn't applied."""

from cicadawheel.ids import LogIndex


class ApplyLag:
    """The time since which the oldest known unapplied entry waits.

    An entry waits while it hasn't arrived, or while this replica's disk doesn't make it
    durable.

    Parameters
    ----------
    now_ms : float
        The current time.
    """

    def __init__(self, now_ms: float):
        self._target = LogIndex(0)
        self._target_at_ms = now_ms

    def observe(self, committed: LogIndex, applied: LogIndex, now_ms: float) -> None:
        """Update with the newest entry known to be committed, and the last applied."""
        if applied >= self._target:
            self._target = committed
            self._target_at_ms = now_ms

    def value_ms(self, applied: LogIndex, now_ms: float) -> float:
        """Return how long the oldest unapplied entry has waited, 0 if none has."""
        return now_ms - self._target_at_ms if applied < self._target else 0.0
