"""Monitors a released version after the old one no longer gets calls.

The version is compared with past calls. A disturbance of the infrastructure has
the same symptoms as a bad version, so the monitor only raises a suspicion. The
release is then reopened with a small share for the new version, and `VersionJudge`
compares both.
"""

import math

from cicadawheel.configuration import ReleaseHabits
from cicadawheel.release.baseline import Baseline
from cicadawheel.release.evidence import Counts, RouteName
from cicadawheel.release.sketch import bucket_shift, count_above
from cicadawheel.release.statistics import (
    ChangeDetector,
    Comparison,
    log_e_value_of_new,
)

LOG_THRESHOLD = math.log(1e5)
LOG_BLOCK_LIMIT = 6.0
BASELINE_CALLS_MIN = 200
FAILURE_FACTOR = 2.0
SLOW_FACTOR = 2.0
RATIO_LIMIT = 0.5
SLOW_QUANTILE = 0.75


class RouteMonitor:
    """Monitors one route.

    Parameters
    ----------
    route : RouteName
        The name used in reasons.
    habits : ReleaseHabits
        The limits of additional failures and slowdown for a version to pass.
    """

    def __init__(self, route: RouteName, habits: ReleaseHabits):
        self.route = route
        self.habits = habits
        self._baseline = Baseline()
        self.reset()

    def reset(self) -> None:
        """Reset the detectors, and keep the baseline."""
        self._failures = ChangeDetector(LOG_THRESHOLD, LOG_BLOCK_LIMIT)
        self._slow = ChangeDetector(LOG_THRESHOLD, LOG_BLOCK_LIMIT)

    def add_to_baseline(self, counts: Counts) -> None:
        """Add calls to the baseline."""
        self._baseline.add(counts)

    def add(self, counts: Counts) -> None:
        """Add calls of a block that has none of the old version.

        They are added to the baseline while it has too few calls.
        """
        if self._baseline.ended < BASELINE_CALLS_MIN:
            self._baseline.add(counts)
            return
        self._add_failures(counts)
        if self._baseline.has_latencies:
            self._add_latencies(counts)

    def suspicion(self) -> str:
        """Return why the version may be bad on this route, or an empty string."""
        if self._failures.alarmed:
            seen = self._failures.since_restart
            usual_ratio = self._baseline.failure_ratio
            return (
                f"{self.route}: {seen.new_hits} of {seen.new_calls} calls failed, "
                f"{usual_ratio:.1%} did before"
            )
        if self._slow.alarmed:
            seen = self._slow.since_restart
            return (
                f"{self.route}: {seen.new_hits} of {seen.new_calls} calls took far "
                "longer than before"
            )
        return ""

    def _add_failures(self, counts: Counts) -> None:
        usual_ratio = self._baseline.failure_ratio * FAILURE_FACTOR
        highest = min(usual_ratio + self.habits.failure_ratio_limit, RATIO_LIMIT)
        _add_block(self._failures, counts.failed, counts.ended, highest)

    def _add_latencies(self, counts: Counts) -> None:
        factor = self.habits.slowdown_limit * SLOW_FACTOR
        bucket = self._baseline.bucket_at(SLOW_QUANTILE) + bucket_shift(factor)
        slow = count_above(counts.latencies, bucket)
        _add_block(self._slow, slow, sum(counts.latencies.values()), RATIO_LIMIT)


def _add_block(
    detector: ChangeDetector, hits: int, calls: int, highest_ratio: float
) -> None:
    detector.add(
        Comparison(hits, calls, 0, 0),
        lambda seen, odds: log_e_value_of_new(seen, highest_ratio, odds),
    )
