"""The queue of requests that wait for a slot, and the limits on their wait.

In a burst, a request may wait for a large share of its remaining time. A queue that
persists is an overload: it would only make every answer late, so waits are kept short.
"""

import math
from collections import OrderedDict

import msgspec

from cicadawheel.messages import RefusalReason
from cicadawheel.settings import GateSettings

# The upstream has probably stalled if a request waits longer than the largest of these
# two and the overload share: the request is refused, so that another upstream can take
# it.
STALLED_WAIT_MS = 500.0
STALLED_WAIT_FACTOR = 4.0


class QueuedRequest(msgspec.Struct, frozen=True):
    """A queued request."""

    kind: str
    latest_start_ms: float
    offered_at_ms: float
    alone: bool


class WaitLimit:
    """Distinguishes bursts from overload, and limits waits accordingly.

    Parameters
    ----------
    settings : GateSettings
        The limits for bursts and for overload.
    """

    def __init__(self, settings: GateSettings):
        self.settings = settings
        self._queued_since_ms = math.inf
        self._overload_until_ms = -math.inf

    def queue_began(self, now_ms: float) -> None:
        """Record that the queue is empty and about to get a request."""
        self._queued_since_ms = now_ms

    def refused(self, now_ms: float) -> None:
        """Record that a request was refused because of the queue."""
        if self.is_overload(now_ms):
            self._overload_until_ms = now_ms + self.settings.queue_burst_ms

    def is_overload(self, now_ms: float) -> bool:
        """Return whether the queue has lasted longer than a burst.

        A refusal during an overload prolongs it by the length of a burst.
        """
        queued_ms = now_ms - self._queued_since_ms
        stays = queued_ms > self.settings.queue_burst_ms
        return stays or now_ms <= self._overload_until_ms

    def longest_wait_ms(self, deadline_at_ms: float, now_ms: float) -> float:
        """Return the longest expected wait with which a request is queued."""
        remaining_ms = max(0.0, deadline_at_ms - now_ms)
        in_burst_ms = remaining_ms * self.settings.queue_share
        if not self.is_overload(now_ms):
            return in_burst_ms
        overload_ms = remaining_ms * self.settings.overload_share
        return min(in_burst_ms, max(self.settings.overload_wait_ms, overload_ms))

    def latest_start_ms(
        self, deadline_at_ms: float, expected_wait_ms: float, now_ms: float
    ) -> float:
        """Return the time at which a queued request expires."""
        remaining_ms = max(0.0, deadline_at_ms - now_ms)
        stalled_ms = max(
            STALLED_WAIT_MS,
            STALLED_WAIT_FACTOR * expected_wait_ms,
            remaining_ms * self.settings.overload_share,
        )
        return now_ms + min(remaining_ms * self.settings.queue_share, stalled_ms)


class WaitingQueue:
    """The requests that wait for a slot, in order of arrival.

    Parameters
    ----------
    settings : GateSettings
        The limits on the length of the queue and on waits.
    """

    def __init__(self, settings: GateSettings):
        self.settings = settings
        self._limit = WaitLimit(settings)
        self._waiting: OrderedDict[int, QueuedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(
        self,
        ticket: int,
        kind: str,
        alone: bool,
        deadline_at_ms: float,
        wait_ms: float,
        now_ms: float,
    ) -> RefusalReason | None:
        """Queue a request, or return the reason to refuse it.

        ``wait_ms`` is its expected wait.
        """
        if not self._waiting:
            self._limit.queue_began(now_ms)
        reason = self._reason_not_to_wait(deadline_at_ms, wait_ms, now_ms)
        if reason is not None:
            self._limit.refused(now_ms)
            return reason
        latest_ms = self._limit.latest_start_ms(deadline_at_ms, wait_ms, now_ms)
        self._waiting[ticket] = QueuedRequest(kind, latest_ms, now_ms, alone)
        return None

    def first(self) -> tuple[int, QueuedRequest]:
        """Return the oldest request; the queue must not be empty."""
        return next(iter(self._waiting.items()))

    def withdraw(self, ticket: int) -> None:
        """Remove a request if it is queued."""
        self._waiting.pop(ticket, None)

    def expire(self, now_ms: float) -> list[int]:
        """Remove and return the requests that have waited too long."""
        expired = [
            ticket
            for ticket, waiting in self._waiting.items()
            if waiting.latest_start_ms <= now_ms
        ]
        for ticket in expired:
            self.withdraw(ticket)
        return expired

    def clear(self) -> list[int]:
        """Remove and return all requests."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting

    def _reason_not_to_wait(
        self, deadline_at_ms: float, wait_ms: float, now_ms: float
    ) -> RefusalReason | None:
        if len(self._waiting) >= self.settings.queue_limit:
            return RefusalReason.OVERLOAD
        if now_ms + wait_ms >= deadline_at_ms:
            return RefusalReason.QUEUE_DEADLINE
        longest_ms = self._limit.longest_wait_ms(deadline_at_ms, now_ms)
        return RefusalReason.OVERLOAD if wait_ms > longest_ms else None
