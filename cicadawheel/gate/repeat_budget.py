"""What a gate may send its upstream beyond the first sending of each request.

All gates of a service share one budget: a part of its requests in a window, and a slack
besides. Every sending passes a gate, whichever entry it comes from, so that each gate
keeps to the part of its own requests and to its share of the slack without a message.

An account is lost with its process. A gate that starts therefore leaves alone the slack
and half of what it earns, until what may have been spent before has left the window.
"""

from collections import deque

import msgspec

HALF = 0.5
"""The part of the window in which requests earn repeats: the window slides, and a span
of half its length lies in that in which it ends, or in the one half a window before."""

YOUNG_PART = 0.5
"""The part of what its requests earn that a gate may spend at first: those before its
start have earned repeats too, which lie in the same window."""

VIEW_SPREAD_MS = 2_000.0
"""How long the news of a gate that joins takes to all others; changes have as long."""

KEPT_WINDOWS = 3.0
"""For how many windows gates that are gone keep their share: one that is only cut off
goes on to send."""


class RepeatBudgetReport(msgspec.Struct, frozen=True):
    """A gate's part of its service's budget, for operators."""

    limit: float
    spent: int
    reserved: int
    gates: int


class RepeatBudget:
    """The repeats that one gate may send to its upstream.

    Parameters
    ----------
    share : float
        The part of the requests that may be repeated.
    slack : float
        Repeats that all gates of the service may send besides.
    window_ms : float
        The window in which both are counted.
    now_ms : float
        When the gate starts.
    """

    def __init__(self, share: float, slack: float, window_ms: float, now_ms: float):
        self.share = share
        self.slack = slack
        self.window_ms = window_ms
        self._slack_from_ms = 0.0
        self._gates = 1
        self._former_gates: deque[tuple[float, int]] = deque()
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._reserved = 0
        self.start(now_ms)

    def start(self, now_ms: float) -> None:
        """Begin an account for a service, of which others may have spent before."""
        self._slack_from_ms = now_ms + self.window_ms + VIEW_SPREAD_MS
        self._requests.clear()

    def share_with(self, gates: int, now_ms: float) -> None:
        """Take how many gates share the slack."""
        if gates != self._gates:
            self._former_gates.append((now_ms, self._gates))
            self._gates = gates

    def request_sent(self, now_ms: float) -> None:
        """Take note of a request that is sent for the first time."""
        self._requests.append(now_ms)

    def reserve(self, now_ms: float, part: float = 1.0) -> bool:
        """Put one repeat by, and return whether the budget allows it.

        Only a ``part`` of the budget may be spent on what can be done without.
        """
        if not self.allows(now_ms, part):
            return False
        self._reserved += 1
        return True

    def spend(self, now_ms: float) -> None:
        """Spend what was put by, as the repeat is sent."""
        self._reserved -= 1
        self._repeats.append(now_ms)

    def give_back(self) -> None:
        """Free what was put by: the repeat isn't sent."""
        self._reserved -= 1

    def allows(self, now_ms: float, part: float = 1.0) -> bool:
        """Return whether the budget has room for one more repeat."""
        _drop_before(self._repeats, now_ms - self.window_ms)
        used = len(self._repeats) + self._reserved
        return used + 1 <= self.limit(now_ms) * part

    def limit(self, now_ms: float) -> float:
        """Return how many repeats may lie in the window that ends now."""
        _drop_before(self._requests, now_ms - self.window_ms * HALF)
        own = self.share * len(self._requests)
        if now_ms < self._slack_from_ms:
            return own * YOUNG_PART
        return own + self.slack / self._sharing(now_ms)

    def report(self, now_ms: float) -> RepeatBudgetReport:
        """Return the state for operators and logs."""
        _drop_before(self._repeats, now_ms - self.window_ms)
        return RepeatBudgetReport(
            self.limit(now_ms),
            len(self._repeats),
            self._reserved,
            self._sharing(now_ms),
        )

    def _sharing(self, now_ms: float) -> int:
        """Return how many gates share the slack, those that were there lately too."""
        former = self._former_gates
        while former and former[0][0] <= now_ms - KEPT_WINDOWS * self.window_ms:
            former.popleft()
        return max([self._gates, *(gates for _, gates in former)])


def _drop_before(times_ms: deque[float], since_ms: float) -> None:
    while times_ms and times_ms[0] <= since_ms:
        times_ms.popleft()
