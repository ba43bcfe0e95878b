"""The retry budget of a gate: how many repeats it may send to its upstream.

A repeat is any send of a request after its first one. All gates of a service share one
budget: a share of the requests in a sliding window, plus a fixed slack. Every send
passes a gate, whichever entry it comes from. Each gate can therefore enforce its part
(the share of its own requests, and an equal part of the slack) without coordination.

The counts are lost when the process ends. After a start, a gate therefore doesn't use
the slack and uses only half of what its requests earn, until repeats that were sent
before the start have left the window.
"""

from collections import deque

import msgspec

EARNING_PART = 0.5
"""The share of the window in which requests earn repeats. As the window slides, a span
of half its length lies in the window that ends with it or in the one half a window
before."""

STARTUP_PART = 0.5
"""The share of its earnings that a gate may spend after a start: requests from before
the start have earned repeats in the same window too."""

VIEW_PROPAGATION_MS = 2_000.0
"""The longest time until all gates know of one that joins, or of any other change."""

FORMER_GATE_WINDOWS = 3.0
"""For how many windows gates that have left keep their part of the slack: a gate that
is only cut off goes on sending."""


class RepeatBudgetReport(msgspec.Struct, frozen=True):
    """A gate's part of the retry budget of its service, for operators."""

    limit: float
    spent: int
    reserved: int
    gates: int


class RepeatBudget:
    """The retry budget of one gate.

    Parameters
    ----------
    share : float
        Repeats allowed per request.
    slack : float
        Additional repeats per window, shared by all gates of the service.
    window_ms : float
        The length of the sliding window.
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
        """Start counting for a service whose budget may already be partly spent."""
        self._slack_from_ms = now_ms + self.window_ms + VIEW_PROPAGATION_MS
        self._requests.clear()

    def share_with(self, gates: int, now_ms: float) -> None:
        """Set the number of gates that share the slack."""
        if gates != self._gates:
            self._former_gates.append((now_ms, self._gates))
            self._gates = gates

    def request_sent(self, now_ms: float) -> None:
        """Count the first send of a request."""
        self._requests.append(now_ms)

    def reserve(self, now_ms: float, part: float = 1.0) -> bool:
        """Reserve one repeat, and return whether the budget allows it.

        Repeats that aren't essential may use only a ``part`` of the budget.
        """
        if not self.allows(now_ms, part):
            return False
        self._reserved += 1
        return True

    def spend(self, now_ms: float) -> None:
        """Turn a reservation into a repeat that was sent."""
        self._reserved -= 1
        self._repeats.append(now_ms)

    def cancel_reservation(self) -> None:
        """Cancel a reservation whose repeat isn't sent."""
        self._reserved -= 1

    def allows(self, now_ms: float, part: float = 1.0) -> bool:
        """Return whether the budget has room for one more repeat."""
        _drop_before(self._repeats, now_ms - self.window_ms)
        used = len(self._repeats) + self._reserved
        return used + 1 <= self.limit(now_ms) * part

    def limit(self, now_ms: float) -> float:
        """Return the number of repeats allowed in the window that ends now."""
        _drop_before(self._requests, now_ms - self.window_ms * EARNING_PART)
        own = self.share * len(self._requests)
        if now_ms < self._slack_from_ms:
            return own * STARTUP_PART
        return own + self.slack / self._sharing_gates(now_ms)

    def report(self, now_ms: float) -> RepeatBudgetReport:
        """Return the state for operators and logs."""
        _drop_before(self._repeats, now_ms - self.window_ms)
        return RepeatBudgetReport(
            self.limit(now_ms),
            len(self._repeats),
            self._reserved,
            self._sharing_gates(now_ms),
        )

    def _sharing_gates(self, now_ms: float) -> int:
        """Return the number of gates that share the slack, with recent former ones."""
        former = self._former_gates
        while former and former[0][0] <= now_ms - FORMER_GATE_WINDOWS * self.window_ms:
            former.popleft()
        return max([self._gates, *(gates for _, gates in former)])


def _drop_before(times_ms: deque[float], since_ms: float) -> None:
    while times_ms and times_ms[0] <= since_ms:
        times_ms.popleft()
