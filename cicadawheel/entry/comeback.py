"""Spreads the callers that are told to come back over the room to come.

It answers an excess that lasts. Callers that are all told the expected wait return
together, while the excess still lasts, and are refused once more. An excess that has
lasted for some time is expected to last as long again, and each caller that was told a
time before needs a part of the room.

Does no I/O and reads no clock.
"""

from collections import deque
from random import Random

USABLE_PART = 1.0 / 3.0
"""The part of its time left that a caller waits at most before it comes back."""

MIN_DELAY_MS = 100.0
"""An earlier return would meet the same queue."""

SPREAD_MIN_PART = 0.6
"""Returns are spread over the expected wait by this part of it at least."""

EXCESS_ENDED_MS = 1_000.0
"""An excess without a refusal for this long has ended."""

ANSWER_WEIGHT = 0.1
"""The weight of the latest interval between answers in their moving average."""


class Comebacks:
    """The callers of one service that an entry has told to come back.

    Parameters
    ----------
    random : Random
        The source of randomness.
    """

    def __init__(self, random: Random):
        self.random = random
        self._told_at_ms: deque[float] = deque()
        self._excess_since_ms = 0.0
        self._refused_at_ms = -EXCESS_ENDED_MS
        self._answered_at_ms: float | None = None
        self._answer_interval_ms = 0.0

    def answered(self, now_ms: float) -> None:
        """Record an answer, by whose rate the room to come is known."""
        if self._answered_at_ms is not None:
            interval_ms = now_ms - self._answered_at_ms
            change_ms = interval_ms - self._answer_interval_ms
            self._answer_interval_ms += ANSWER_WEIGHT * change_ms
        self._answered_at_ms = now_ms

    def delay_ms(
        self, wait_ms: float, work_ms: float, left_ms: float, now_ms: float
    ) -> float:
        """Return the delay after which a refused caller should come back, 0 for none.

        Parameters
        ----------
        wait_ms : float
            The expected wait of one more call now.
        work_ms : float
            The usual time of such a call. A caller that would have less left when it
            returns is told no time.
        left_ms : float
            The time that the caller has left.
        now_ms : float
            The time.
        """
        if now_ms - self._refused_at_ms > EXCESS_ENDED_MS:
            self._excess_since_ms = now_ms
        self._refused_at_ms = now_ms
        latest_ms = left_ms * USABLE_PART
        if left_ms - latest_ms < work_ms:
            return 0.0
        earliest_ms = min(latest_ms, max(MIN_DELAY_MS, wait_ms))
        spread_ms = max(
            earliest_ms * SPREAD_MIN_PART,
            now_ms - self._excess_since_ms,
            self.pending(now_ms) * self._answer_interval_ms,
        )
        if earliest_ms + spread_ms > latest_ms:
            # The room to come lies beyond its time: all of that is used.
            earliest_ms = min(earliest_ms, latest_ms * (1.0 - SPREAD_MIN_PART))
            spread_ms = latest_ms - earliest_ms
        delay_ms = earliest_ms + self.random.random() * spread_ms
        self._told_at_ms.append(now_ms + delay_ms)
        return delay_ms

    def pending(self, now_ms: float) -> int:
        """Return how many callers were told a time that hasn't passed."""
        told = [at_ms for at_ms in self._told_at_ms if at_ms > now_ms]
        self._told_at_ms = deque(told)
        return len(told)
