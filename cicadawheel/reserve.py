"""Reserves slots for requests of a higher priority.

Upstreams that make calls to other services hold slots of their own while they wait. If
long requests of a low priority take all slots of an upstream, the services that call it
fill up as well and look overloaded too.
"""

from cicadawheel.timer import MS_PER_S

RESERVED_PART = 0.25
"""The share of the slots that is reserved, at least one slot."""

MIN_SLOTS = 3
"""An upstream with fewer slots reserves none."""

SHARE_MIN = 0.1
"""Slots are reserved while more than this share of requests has a higher priority."""

HALF_LIFE_S = 3.0
"""The half-life of the request counts."""

FORGOTTEN_COUNT = 0.01
"""Priorities without a request for some twenty seconds are forgotten."""


class SlotReserve:
    """Limits the slots that requests of each priority may use.

    Priority 0 is served first.
    """

    def __init__(self):
        self._counts: dict[int, float] = {}
        self._at_ms = 0.0

    def record_request(self, priority: int, now_ms: float) -> None:
        """Count a request."""
        self._decay(now_ms)
        self._counts[priority] = self._counts.get(priority, 0.0) + 1.0

    def usable(self, priority: int, slots: int) -> int:
        """Return how many of the slots a request of this priority may use."""
        if slots < MIN_SLOTS or not self._must_yield(priority):
            return slots
        return slots - max(1, int(slots * RESERVED_PART))

    def usable_part(self, priority: int) -> float:
        """Return the share of the slots that requests of this priority may use."""
        return 1.0 - RESERVED_PART if self._must_yield(priority) else 1.0

    def _must_yield(self, priority: int) -> bool:
        total = sum(self._counts.values())
        higher = sum(count for rank, count in self._counts.items() if rank < priority)
        return higher > SHARE_MIN * total

    def _decay(self, now_ms: float) -> None:
        passed_s = (now_ms - self._at_ms) / MS_PER_S
        self._at_ms = now_ms
        kept = 0.5 ** (passed_s / HALF_LIFE_S)
        self._counts = {
            priority: count * kept
            for priority, count in self._counts.items()
            if count * kept >= FORGOTTEN_COUNT
        }
