"""How fast requests are read from a connection whose requests are refused.

Clients come back after a refusal as its Retry-After says, and on a new connection. One
that has sent hundreds of requests ahead can't, and each refusal would make room for the
next one: the node would do nothing else.
"""

FAILED_ANSWERS = 16
"""Refused requests, beyond those served, from which on a connection is read slowly."""
FAILED_ANSWERS_MAX = 64
"""Most refusals that are remembered; as many served requests make up for them."""
PAUSE_S = 0.25
"""Time from one request to the next on such a connection."""
FIRST_FAILURE_STATUS = 400


class RefusedPace:
    """Counts the answers of one connection and paces its next requests."""

    def __init__(self):
        self._failed = 0
        self._next_at_s = 0.0

    def answered(self, status: int) -> None:
        """Count an answer."""
        if status >= FIRST_FAILURE_STATUS:
            self._failed = min(FAILED_ANSWERS_MAX, self._failed + 1)
        else:
            self._failed = max(0, self._failed - 1)

    def read(self, now_s: float) -> None:
        """Note that a request has been read."""
        if self._failed >= FAILED_ANSWERS:
            self._next_at_s = now_s + PAUSE_S

    def wait_s(self, now_s: float) -> float:
        """Return how long the next request has to wait."""
        return max(0.0, self._next_at_s - now_s)
