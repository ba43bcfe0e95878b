"""Tracks the usual and recent service times of an upstream, and detects jumps.

Service times differ by route, so each one is compared with the usual time of its own
kind. Times are compared as logarithms, so that a factor of three has the same weight
at 2 ms and at 2 s.
"""

import math

FAST_WEIGHT = 0.3
RECENT_HALF_LIFE_MS = 500.0
SLOW_WEIGHT = 0.02
DEVIATION_WEIGHT = 0.1
DEVIATION_FACTOR = 2.0
LATE_DEVIATION_FACTOR = 4.0
FIRST_SAMPLES = 8
KIND_LIMIT = 128
OTHER_KIND = "other"
SLOW_FACTOR = 2.0
SLOW_LOG = math.log(SLOW_FACTOR)
CAUTIOUS_FOLLOW_MS = 10_000.0
MIN_TIME_MS = 0.05
# The ratio of the standard deviation to the mean absolute deviation, if normal.
SPREAD_FACTOR = math.sqrt(math.pi / 2)


class UsualTime:
    """The moving average of the logarithm of one kind's service times."""

    __slots__ = ("added_at_ms", "deviation", "mean", "samples")

    def __init__(self, first: float, now_ms: float):
        self.added_at_ms = now_ms
        self.mean = first
        self.deviation = 0.0
        self.samples = 1

    @property
    def spread(self) -> float:
        """The estimated standard deviation, for normally distributed logarithms."""
        return SPREAD_FACTOR * self.deviation

    def distance(self, time_ms: float) -> float:
        """Return the logarithm of the ratio of a time to the usual one."""
        return math.log(max(MIN_TIME_MS, time_ms)) - self.mean

    def add(self, value: float, now_ms: float, follow_ms: float = 0.0) -> None:
        """Add a sample; the first ones have a larger weight.

        ``follow_ms`` is the shortest time constant of the average, whatever the rate
        of samples.
        """
        self.samples += 1
        weight = max(SLOW_WEIGHT, 1.0 / min(self.samples, FIRST_SAMPLES * 4))
        if follow_ms:
            weight = min(weight, (now_ms - self.added_at_ms) / follow_ms)
        self.added_at_ms = now_ms
        distance = value - self.mean
        self.mean += weight * distance
        self.deviation += weight * (abs(distance) - self.deviation)


class ServiceTimes:
    """Compares recent service times with the usual ones.

    Parameters
    ----------
    jump_factor : float
        A ratio of recent to usual times above this factor is a jump.
    """

    def __init__(self, jump_factor: float):
        self.jump_log = math.log(jump_factor)
        self.recent_ms = 0.0
        self._usual: dict[str, UsualTime] = {}
        self._recent_log_ratio = 0.0
        self._deviation = 0.0
        self._added_at_ms = -math.inf

    @property
    def ratio(self) -> float:
        """The ratio of the recent to the usual service times."""
        return math.exp(self._recent_log_ratio)

    @property
    def jumped(self) -> bool:
        """Whether the recent service times are far above the usual ones."""
        return self._recent_log_ratio > self._threshold()

    def add(self, kind: str, time_ms: float, now_ms: float, cautious: bool) -> bool:
        """Add a service time, and return whether it is usual for its kind.

        The usual time isn't updated while the recent times are far above it. With
        ``cautious``, a known cause may raise times temporarily, and the usual time
        follows slowly.
        """
        value = math.log(max(MIN_TIME_MS, time_ms))
        usual = self._find(kind, value, now_ms)
        log_ratio = value - usual.mean
        self._recent_log_ratio += FAST_WEIGHT * (log_ratio - self._recent_log_ratio)
        self._update_recent(time_ms, now_ms)
        first = usual.samples < FIRST_SAMPLES
        if first or not self.jumped:
            follow_ms = CAUTIOUS_FOLLOW_MS if cautious and not first else 0.0
            usual.add(value, now_ms, follow_ms)
            self._deviation += DEVIATION_WEIGHT * (usual.deviation - self._deviation)
        return log_ratio <= self._late_log()

    def _update_recent(self, time_ms: float, now_ms: float) -> None:
        """Update the average of recent times, in which old samples decay with time.

        Entries avoid a slow upstream, so its next answer may come seconds later and
        must be enough to show that it has recovered.
        """
        age_ms = now_ms - self._added_at_ms
        old_weight = (1.0 - FAST_WEIGHT) * 0.5 ** (age_ms / RECENT_HALF_LIFE_MS)
        self.recent_ms = time_ms + old_weight * (self.recent_ms - time_ms)
        self._added_at_ms = now_ms

    def find_usual(self, kind: str) -> UsualTime | None:
        """Return the usual time of a kind, or None with too few samples."""
        usual = self._usual.get(kind)
        if usual is None or usual.samples < FIRST_SAMPLES:
            return None
        return usual

    def late_after_ms(self, kind: str) -> float:
        """Return the service time above which a request of a kind is late."""
        usual = self.find_usual(kind)
        if usual is None:
            return math.inf
        return math.exp(usual.mean + self._late_log())

    def accept(self) -> None:
        """Make the recent service times the usual ones."""
        for usual in self._usual.values():
            usual.mean += self._recent_log_ratio
        self._recent_log_ratio = 0.0

    def accept_if_slow(self) -> None:
        """Accept the recent service times if they are slow.

        Called at the end of a warm-up: a slowdown that lasts until then is permanent.
        """
        if self._recent_log_ratio > self._slow_log():
            self.accept()

    def _slow_log(self) -> float:
        return max(SLOW_LOG / 2, DEVIATION_FACTOR * self._deviation)

    def _late_log(self) -> float:
        return max(self.jump_log, LATE_DEVIATION_FACTOR * self._deviation)

    def _threshold(self) -> float:
        return max(self.jump_log, DEVIATION_FACTOR * self._deviation)

    def _find(self, kind: str, value: float, now_ms: float) -> UsualTime:
        usual = self._usual.get(kind)
        if usual is None and len(self._usual) >= KIND_LIMIT:
            kind = OTHER_KIND
            usual = self._usual.get(kind)
        if usual is None:
            usual = self._usual[kind] = UsualTime(value, now_ms)
        return usual
