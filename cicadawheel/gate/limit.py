"""Adaptive limits on the number of requests in flight at an upstream.

A limit never exceeds the slots that the upstream has announced.
"""

import math
from typing import Protocol

from cicadawheel.errors import SettingsError

TOLERANCE = 1.5
SMOOTHING = 0.2
MIN_GRADIENT = 0.5
DECREASE = 0.9
OVERLOAD_DECREASE = 0.8
BUSY_SHARE = 0.5


class LimitLearner(Protocol):
    """The concurrency limit of one upstream."""

    limit: float

    def reset(self, slots: int) -> None:
        """Set the limit to the announced slots."""

    def answered(self, ratio: float, in_flight: int) -> None:
        """Update from an answer.

        ``ratio`` is the recent service time over the usual one, and ``in_flight`` the
        number of requests in flight with it.
        """

    def overloaded(self, in_flight: int) -> None:
        """Lower the limit after the upstream shed a request."""


class FixedLimit:
    """Always the announced slots."""

    def __init__(self):
        self.limit = 0.0

    def reset(self, slots: int) -> None:
        """Set the limit to the announced slots."""
        self.limit = float(slots)

    def answered(self, ratio: float, in_flight: int) -> None:
        """Do nothing: the limit is fixed."""

    def overloaded(self, in_flight: int) -> None:
        """Do nothing: the limit is fixed."""


class AimdLimit:
    """Additive increase, multiplicative decrease.

    The limit grows by one for each full round of answers at the usual service time, and
    falls by a factor otherwise.
    """

    def __init__(self):
        self.limit = 0.0
        self._slots = 0
        self._until_next = 0

    def reset(self, slots: int) -> None:
        """Set the limit to the announced slots."""
        self._slots = slots
        self.limit = float(slots)
        self._until_next = 0

    def answered(self, ratio: float, in_flight: int) -> None:
        """Raise the limit a little, or lower it at most once per round."""
        self._until_next -= 1
        if ratio <= TOLERANCE:
            self.limit = min(self._slots, self.limit + 1.0 / self.limit)
        elif self._until_next <= 0 and in_flight >= BUSY_SHARE * self.limit:
            self._lower(DECREASE)

    def overloaded(self, in_flight: int) -> None:
        """Lower the limit below the number of requests in flight."""
        self.limit = min(self.limit, float(max(1, in_flight)))
        self._lower(OVERLOAD_DECREASE)

    def _lower(self, factor: float) -> None:
        self.limit = max(1.0, self.limit * factor)
        self._until_next = math.ceil(self.limit)


class GradientLimit:
    """Follows the gradient: the ratio of the usual to the recent service time."""

    def __init__(self):
        self.limit = 0.0
        self._slots = 0

    def reset(self, slots: int) -> None:
        """Set the limit to the announced slots."""
        self._slots = slots
        self.limit = float(slots)

    def answered(self, ratio: float, in_flight: int) -> None:
        """Move towards the limit that brings the service time back to the usual."""
        if ratio > TOLERANCE and in_flight < BUSY_SHARE * self.limit:
            return
        gradient = max(MIN_GRADIENT, min(1.0, TOLERANCE / max(ratio, 1e-9)))
        wanted = self.limit * gradient + math.sqrt(self.limit)
        self.limit += SMOOTHING * (wanted - self.limit) / max(1.0, self.limit)
        self.limit = min(float(self._slots), max(1.0, self.limit))

    def overloaded(self, in_flight: int) -> None:
        """Lower the limit below the number of requests in flight."""
        self.limit = min(self.limit, float(max(1, in_flight)))
        self.limit = max(1.0, self.limit * OVERLOAD_DECREASE)


def make_limit(name: str) -> LimitLearner:
    """Return a new limit of the kind that the setting names.

    Raises
    ------
    SettingsError
        The name is unknown.
    """
    kinds = {"fixed": FixedLimit, "aimd": AimdLimit, "gradient": GradientLimit}
    if name not in kinds:
        known = ", ".join(kinds)
        raise SettingsError(
            f"[gate] limit = {name}: unknown; give one of {known}", step="settings"
        )
    return kinds[name]()
