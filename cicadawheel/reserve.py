"""Slots that long work of a low rank leaves to short work of a higher one.

The load that this answers: calls within calls. Their callers hold slots of their own
while they wait, so an upstream whose slots are all taken by long requests of a lower
rank makes another service full, which then looks overloaded too.
"""

from cicadawheel.timer import MS_PER_S

RESERVED_PART = 0.25
"""The part of the slots that is kept, one at least."""

LEAST_SLOTS = 3
"""An upstream with fewer has none to keep."""

SHARE_MIN = 0.1
"""The part of the requests that must be of a higher rank for slots to be kept."""

MEMORY_S = 3.0
"""For how long requests are remembered."""


class SlotReserve:
    """Says how many slots requests of a rank may use.

    Ranks are numbers, of which 0 goes first.
    """

    def __init__(self):
        self._seen: dict[int, float] = {}
        self._at_ms = 0.0

    def seen(self, priority: int, now_ms: float) -> None:
        """Take note of a request."""
        self._fade(now_ms)
        self._seen[priority] = self._seen.get(priority, 0.0) + 1.0

    def usable(self, priority: int, slots: int) -> int:
        """Return how many of the slots a request of a rank may use."""
        if slots < LEAST_SLOTS or not self._yields(priority):
            return slots
        return slots - max(1, int(slots * RESERVED_PART))

    def usable_part(self, priority: int) -> float:
        """Return which part of any upstream's slots requests of a rank may use."""
        return 1.0 - RESERVED_PART if self._yields(priority) else 1.0

    def _yields(self, priority: int) -> bool:
        total = sum(self._seen.values())
        higher = sum(count for rank, count in self._seen.items() if rank < priority)
        return higher > SHARE_MIN * total

    def _fade(self, now_ms: float) -> None:
        passed_s = (now_ms - self._at_ms) / MS_PER_S
        self._at_ms = now_ms
        kept = 0.5 ** (passed_s / MEMORY_S)
        for rank in self._seen:
            self._seen[rank] *= kept
