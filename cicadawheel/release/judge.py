"""Compares a new version with the old one, by route and over all routes."""

import math
from enum import Enum

import msgspec

from cicadawheel.configuration import ReleaseHabits
from cicadawheel.release.baseline import Baseline
from cicadawheel.release.evidence import Counts, RouteName
from cicadawheel.release.monitor import RouteMonitor
from cicadawheel.release.sketch import (
    bucket_bound_ms,
    bucket_shift,
    count_above,
    quantile_bucket,
)
from cicadawheel.release.statistics import (
    ChangeDetector,
    Comparison,
    log_e_value,
    upper_ratio,
)

ALL_ROUTES = RouteName("all routes")
BLOCKS_LIMIT = 20_000
FALSE_ALARM_RATE = 0.005
LOG_FAILURE_BLOCK_LIMIT = 12.0
LOG_SLOW_BLOCK_LIMIT = 2.0
FAILURE_TESTS_PER_ROUTE = 2
SLOW_QUANTILES = (0.5, 0.75)
CONFIDENCE_DEVIATIONS = 1.645
ROUTE_SHARE_MIN = 0.01
ROUTE_CALLS_MIN = 10


class Verdict(Enum):
    """The result of evaluating a version."""

    BAD = "bad"
    SUSPECT = "suspect"
    GOOD = "good"
    UNDECIDED = "undecided"


class Judgement(msgspec.Struct, frozen=True):
    """A verdict with its reason, and the calls of the new version in this stage."""

    verdict: Verdict
    reason: str
    new_calls: int


class RouteBlock(msgspec.Struct):
    """The calls of both versions on one route in the same short period."""

    new: Counts
    old: Counts


class RouteJudge:
    """Compares the versions on one route, or on all routes together.

    Parameters
    ----------
    route : RouteName
        The name used in reasons.
    habits : ReleaseHabits
        The limits of additional failures and slowdown for a version to pass.
    log_threshold : float
        The logarithm of the alarm threshold of each detector.
    """

    def __init__(self, route: RouteName, habits: ReleaseHabits, log_threshold: float):
        self.route = route
        self.habits = habits
        self.stage = RouteBlock(Counts(), Counts())
        self.monitor = RouteMonitor(route, habits)
        self._old_baseline = Baseline()
        self._failures = ChangeDetector(log_threshold, LOG_FAILURE_BLOCK_LIMIT)
        self._failures_of_all_calls = ChangeDetector(
            log_threshold, LOG_FAILURE_BLOCK_LIMIT
        )
        self._slow = {
            quantile: ChangeDetector(log_threshold, LOG_SLOW_BLOCK_LIMIT)
            for quantile in SLOW_QUANTILES
        }

    def add(self, block: RouteBlock, all_routes: RouteBlock) -> None:
        """Add a block of this route, and the block of all routes together."""
        if all_routes.new.ended and all_routes.old.ended:
            self._compare_with_all_calls(block, all_routes)
        if block.new.ended and block.old.ended:
            self._compare(block)
        elif block.new.ended:
            self.monitor.add(block.new)
        self.monitor.add_to_baseline(block.old)
        self._old_baseline.add(block.old)
        self.stage.new.merge(block.new)
        self.stage.old.merge(block.old)

    def bad_reason(self) -> str:
        """Return why the version is bad on this route, or an empty string."""
        for detector in (self._failures, self._failures_of_all_calls):
            seen = detector.since_restart
            if detector.alarmed and seen.excess() >= self.habits.failure_ratio_limit:
                return (
                    f"{self.route}: {seen.new_hits} of {seen.new_calls} calls failed, "
                    f"{seen.old_hits} of {seen.old_calls} on the old version"
                )
        for quantile, detector in self._slow.items():
            if detector.alarmed:
                return self._slow_reason(quantile)
        return ""

    def is_good(self) -> bool:
        """Return whether the upper confidence bound of failures is within the limit."""
        new, old = self.stage.new, self.stage.old
        upper = upper_ratio(new.failed, new.ended, CONFIDENCE_DEVIATIONS)
        usual = old.failed / old.ended if old.ended else 0.0
        return upper <= usual + self.habits.failure_ratio_limit

    def start_stage(self) -> None:
        """Reset the counts of the stage."""
        self.stage = RouteBlock(Counts(), Counts())
        self.monitor.reset()

    def _compare_with_all_calls(
        self, block: RouteBlock, all_routes: RouteBlock
    ) -> None:
        # The version of a call doesn't depend on its route, so the failures of one
        # route can be compared relative to the calls of all routes. A route with
        # little traffic has too few calls of the old version per block for a
        # comparison of its own.
        new, old = block.new, block.old
        failed = Comparison(
            new.failed, all_routes.new.ended, old.failed, all_routes.old.ended
        )
        shown = Comparison(new.failed, new.ended, old.failed, old.ended)
        self._failures_of_all_calls.add(failed, log_e_value, shown)

    def _compare(self, block: RouteBlock) -> None:
        new, old = block.new, block.old
        failed = Comparison(new.failed, new.ended, old.failed, old.ended)
        self._failures.add(failed, log_e_value)
        if not self._old_baseline.has_latencies:
            return
        shift = bucket_shift(self.habits.slowdown_limit)
        for quantile, detector in self._slow.items():
            bucket = self._old_baseline.bucket_at(quantile)
            slow = Comparison(
                count_above(new.latencies, bucket + shift),
                sum(new.latencies.values()),
                count_above(old.latencies, bucket),
                sum(old.latencies.values()),
            )
            detector.add(slow, log_e_value)

    def _slow_reason(self, quantile: float) -> str:
        old_ms = bucket_bound_ms(self._old_baseline.bucket_at(quantile))
        new_ms = bucket_bound_ms(quantile_bucket(self.stage.new.latencies, quantile))
        return (
            f"{self.route}: quantile {quantile} of the latency is {new_ms:.0f} ms, "
            f"{old_ms:.0f} ms on the old version"
        )


class VersionJudge:
    """Evaluates one release of a service from blocks of both versions.

    The probability that a good version is found bad within `BLOCKS_LIMIT` blocks is
    at most the false-alarm rate, provided that disturbances affect the calls of both
    versions equally.

    Parameters
    ----------
    habits : ReleaseHabits
        The limits of additional failures and slowdown for a version to pass.
    routes : int
        The number of routes of the service.
    false_alarm_rate : float
        The false-alarm rate over all routes and tests, in `BLOCKS_LIMIT` blocks.
    """

    def __init__(
        self,
        habits: ReleaseHabits,
        routes: int,
        false_alarm_rate: float = FALSE_ALARM_RATE,
    ):
        tests = (routes + 1) * (FAILURE_TESTS_PER_ROUTE + len(SLOW_QUANTILES))
        self.habits = habits
        self._log_threshold = math.log(BLOCKS_LIMIT * tests / false_alarm_rate)
        self._all = RouteJudge(ALL_ROUTES, habits, self._log_threshold)
        self._routes: dict[RouteName, RouteJudge] = {}

    def add(self, blocks: dict[RouteName, RouteBlock]) -> None:
        """Add the calls of both versions in the same short period."""
        all_routes = RouteBlock(Counts(), Counts())
        for block in blocks.values():
            all_routes.new.merge(block.new)
            all_routes.old.merge(block.old)
        for route, block in blocks.items():
            self._get_judge(route).add(block, all_routes)
        if blocks:
            self._all.add(all_routes, all_routes)

    def judge(self) -> Judgement:
        """Return the verdict on all calls so far."""
        new_calls = self._all.stage.new.ended
        for judge in (*self._routes.values(), self._all):
            reason = judge.bad_reason()
            if reason:
                return Judgement(Verdict.BAD, reason, new_calls)
        for judge in (*self._routes.values(), self._all):
            reason = judge.monitor.suspicion()
            if reason:
                return Judgement(Verdict.SUSPECT, reason, new_calls)
        missing = self._undersampled_routes()
        if missing:
            reason = f"too few calls on {', '.join(missing)}"
            return Judgement(Verdict.UNDECIDED, reason, new_calls)
        if not self._all.is_good():
            reason = f"{new_calls} calls are too few to tell"
            return Judgement(Verdict.UNDECIDED, reason, new_calls)
        return Judgement(Verdict.GOOD, f"{new_calls} calls as good as old", new_calls)

    def start_stage(self) -> None:
        """Reset the counts of the stage; the sequential tests continue."""
        for judge in (*self._routes.values(), self._all):
            judge.start_stage()

    def _get_judge(self, route: RouteName) -> RouteJudge:
        judge = self._routes.get(route)
        if judge is None:
            judge = RouteJudge(route, self.habits, self._log_threshold)
            self._routes[route] = judge
        return judge

    def _undersampled_routes(self) -> list[RouteName]:
        old_calls_min = self._all.stage.old.ended * ROUTE_SHARE_MIN
        return [
            route
            for route, judge in self._routes.items()
            if judge.stage.new.ended < ROUTE_CALLS_MIN
            and judge.stage.old.ended > old_calls_min
        ]
