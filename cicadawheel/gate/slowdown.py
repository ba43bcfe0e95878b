"""Detects slowdowns of the upstream from answers and from requests in flight.

An upstream that falls back into cold start slows down before it is overloaded, and is
overloaded before any request admitted since then has ended. The test therefore uses the
age of requests in flight as well as the service times of answers.

The test is sequential (Page's CUSUM). Each request contributes a log-likelihood ratio
for the hypothesis that service times have grown by `SLOW_FACTOR`, computed from the
logarithm of its time and the usual spread of its kind. At a threshold the slowdown is
suspected, and the load is reduced at once. The requests sent after that are tested
separately (Wald's sequential test): usual times dismiss the suspicion, so that noise
reduces the load only while it lasts and starts no warm-up. A slowdown that persists is
taken for a cold start.

Each dismissed suspicion raises the threshold of the next one, so that an upstream with
noisy neighbours keeps its load. The increase decays with time.
"""

import math
from enum import Enum

import msgspec

from cicadawheel.gate.service_time import SLOW_LOG, ServiceTimes

MIN_SPREAD_LOG = 0.15
# Kinds with a larger spread are ignored: they show slowdowns late and noise often.
MAX_SPREAD_LOG = SLOW_LOG / 1.5
WEIGHT_LIMIT = 2.5
SUSPECT_WEIGHT = 12.0
TRIAL_WEIGHT = 4.0
CONFIRM_ANSWERS = 2
CAUTION_FACTOR = 1.5
CAUTION_HALF_LIFE_MS = 30_000.0
MIN_DISTANCE = -1.0
MIN_TAIL = 1e-12


class SlowdownState(Enum):
    """The state of the slowdown test."""

    STEADY = "steady"
    SUSPECTED = "suspected"
    CONFIRMED = "confirmed"


class _Pending(msgspec.Struct):
    kind: str
    sent_at_ms: float


class Slowdown:
    """Tests one upstream for slowdowns.

    Parameters
    ----------
    times : ServiceTimes
        The usual service times.
    confirm_after_ms : float
        How long a suspected slowdown must last to be confirmed.
    """

    def __init__(self, times: ServiceTimes, confirm_after_ms: float):
        self.times = times
        self.confirm_after_ms = confirm_after_ms
        self.state = SlowdownState.STEADY
        self.suspicions = 0
        self._suspected_at_ms = 0.0
        self._weight = 0.0
        self._answers = 0
        self._caution = 1.0
        self._caution_at_ms = 0.0
        self._pending: dict[int, _Pending] = {}

    @property
    def suspected(self) -> bool:
        """Whether a slowdown is suspected, and the load is to be reduced."""
        return self.state is SlowdownState.SUSPECTED

    def sent(self, ticket: int, kind: str, now_ms: float) -> None:
        """Record that a request was sent completely."""
        self._pending[ticket] = _Pending(kind, now_ms)

    def replying(self, ticket: int) -> None:
        """Ignore the age of a request from now on."""
        pending = self._pending.get(ticket)
        if pending is not None:
            pending.sent_at_ms = math.inf

    def ended(self, ticket: int) -> None:
        """Remove a request."""
        self._pending.pop(ticket, None)

    def answered(self, ticket: int, time_ms: float) -> None:
        """Add the weight of a service time; call it before updating the usual time."""
        pending = self._pending.pop(ticket, None)
        if pending is None:
            return
        self._answers += 1
        weight = self._weigh(pending.kind, time_ms, answer_weight)
        if self.suspected:
            self._weight = min(TRIAL_WEIGHT, self._weight + weight)
        else:
            self._weight = max(0.0, self._weight + weight)

    def check(self, now_ms: float) -> SlowdownState:
        """Update the state with the age of the requests in flight, and return it."""
        weight = self._weight + self._weigh_pending(now_ms)
        if self.suspected:
            self._evaluate_trial(weight, now_ms)
        elif weight >= SUSPECT_WEIGHT * self.caution(now_ms):
            self._suspect(now_ms)
        return self.state

    def reset(self) -> None:
        """Restart the test without the requests that are in flight now."""
        self._enter(SlowdownState.STEADY)

    def caution(self, now_ms: float) -> float:
        """Return the factor on the threshold of the next suspicion."""
        lives = (now_ms - self._caution_at_ms) / CAUTION_HALF_LIFE_MS
        return 1.0 + (self._caution - 1.0) * 0.5**lives

    def _enter(self, state: SlowdownState) -> None:
        self.state = state
        self._answers = 0
        self._weight = 0.0
        self._pending.clear()

    def _suspect(self, now_ms: float) -> None:
        self.suspicions += 1
        self._suspected_at_ms = now_ms
        self._enter(SlowdownState.SUSPECTED)

    def _evaluate_trial(self, weight: float, now_ms: float) -> None:
        if weight <= -TRIAL_WEIGHT:
            self._caution = CAUTION_FACTOR * self.caution(now_ms)
            self._caution_at_ms = now_ms
            self._enter(SlowdownState.STEADY)
        elif self._answers >= CONFIRM_ANSWERS and self._lasts(now_ms):
            self._enter(SlowdownState.CONFIRMED)

    def _lasts(self, now_ms: float) -> bool:
        return now_ms - self._suspected_at_ms > self.confirm_after_ms

    def _weigh_pending(self, now_ms: float) -> float:
        return sum(
            self._weigh(pending.kind, now_ms - pending.sent_at_ms, age_weight)
            for pending in self._pending.values()
            if pending.sent_at_ms < now_ms
        )

    def _weigh(self, kind: str, time_ms: float, weigh) -> float:
        usual = self.times.find_usual(kind)
        if usual is None or usual.spread > MAX_SPREAD_LOG:
            return 0.0
        spread = max(MIN_SPREAD_LOG, usual.spread)
        return weigh(usual.distance(time_ms) / spread, SLOW_LOG / spread)


def answer_weight(distance: float, shift: float) -> float:
    """Return the log-likelihood ratio of a service time.

    Both arguments are in units of the usual spread: the distance from the usual time,
    and the shift that a slowdown causes.
    """
    weight = shift * (distance - shift / 2)
    return max(-WEIGHT_LIMIT, min(WEIGHT_LIMIT, weight))


def age_weight(distance: float, shift: float) -> float:
    """Return the log-likelihood ratio of a request in flight.

    It is 0 for a request well below the usual time, which carries hardly any evidence.
    """
    if distance < MIN_DISTANCE:
        return 0.0
    weight = math.log(_tail(distance - shift) / _tail(distance))
    return min(WEIGHT_LIMIT, weight)


def _tail(distance: float) -> float:
    return max(MIN_TAIL, math.erfc(distance / math.sqrt(2.0)) / 2)
