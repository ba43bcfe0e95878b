"""Sequential tests that remain valid under continuous monitoring.

Each block of simultaneous calls yields an e-value: a number whose expectation is
at most 1 if the new version is no worse than the old one. The running product of
e-values, restarted whenever it falls below 1, is a change detector. The probability
of a false alarm within ``n`` blocks is at most ``n`` divided by the threshold, by
Doob's inequality for the Shiryaev-Roberts statistic, which bounds it from above.
"""

import math
from collections.abc import Callable

import msgspec

ODDS_RATIOS = (3.0, 10.0, 40.0)
TERMS_LIMIT = 1_000


class Comparison(msgspec.Struct, frozen=True):
    """Hits among the simultaneous calls of the new and the old version.

    A hit is a call that failed or was slow, depending on the test.
    """

    new_hits: int
    new_calls: int
    old_hits: int
    old_calls: int

    def __add__(self, other: "Comparison") -> "Comparison":
        """Return the sum of two comparisons."""
        return Comparison(
            self.new_hits + other.new_hits,
            self.new_calls + other.new_calls,
            self.old_hits + other.old_hits,
            self.old_calls + other.old_calls,
        )

    def excess(self) -> float:
        """Return the difference between the hit ratios of the new and old version."""
        return _ratio(self.new_hits, self.new_calls) - _ratio(
            self.old_hits, self.old_calls
        )


EMPTY_COMPARISON = Comparison(0, 0, 0, 0)


def log_e_value(block: Comparison, odds_ratio: float) -> float:
    """Return the log e-value of a block for one odds ratio.

    Given the total number of hits, the hits of the new version are distributed
    hypergeometrically if the versions are equal, whatever their common hit ratio.
    """
    block = _shrink(block)
    hits = block.new_hits + block.old_hits
    misses = block.new_calls + block.old_calls - hits
    lowest = max(0, block.new_calls - misses)
    highest = min(hits, block.new_calls)
    if lowest == highest:
        return 0.0
    step = math.log(odds_ratio)
    weights = []
    for count in range(lowest, highest + 1):
        chance = _log_choose(hits, count)
        chance += _log_choose(misses, block.new_calls - count)
        weights.append(chance + count * step)
    log_total = _log_choose(hits + misses, block.new_calls)
    return block.new_hits * step + log_total - _log_sum(weights)


def log_e_value_of_new(block: Comparison, highest_ratio: float, odds: float) -> float:
    """Return the log e-value of a block that has calls of the new version only.

    The expectation of the e-value is at most 1 while the hit ratio is not above
    ``highest_ratio``.
    """
    worse = highest_ratio * odds / (1 - highest_ratio + highest_ratio * odds)
    misses = block.new_calls - block.new_hits
    gain = block.new_hits * math.log(worse / highest_ratio)
    return gain + misses * math.log((1 - worse) / (1 - highest_ratio))


class ChangeDetector:
    """Detects a degradation that may begin at any time.

    Parameters
    ----------
    log_threshold : float
        The logarithm of the alarm threshold.
    log_block_limit : float
        The most that one block may add, so that a single short disturbance doesn't
        raise the alarm.
    """

    def __init__(self, log_threshold: float, log_block_limit: float):
        self.log_threshold = log_threshold
        self.log_block_limit = log_block_limit
        self.since_restart = EMPTY_COMPARISON
        self._logs = [0.0] * len(ODDS_RATIOS)

    def add(
        self,
        block: Comparison,
        log_value: Callable[[Comparison, float], float],
        shown: Comparison | None = None,
    ) -> None:
        """Add a block, with the function that returns its log e-value.

        ``shown`` is added to `since_restart` in place of the block, if given.
        """
        self.since_restart += block if shown is None else shown
        for place, odds_ratio in enumerate(ODDS_RATIOS):
            gain = min(log_value(block, odds_ratio), self.log_block_limit)
            self._logs[place] = max(self._logs[place], 0.0) + gain
        if max(self._logs) <= 0.0:
            self.since_restart = EMPTY_COMPARISON

    @property
    def log_statistic(self) -> float:
        """The logarithm of the mean statistic over all odds ratios."""
        return _log_sum(self._logs) - math.log(len(self._logs))

    @property
    def alarmed(self) -> bool:
        """Whether the statistic has reached the threshold."""
        return self.log_statistic >= self.log_threshold


def upper_ratio(hits: int, calls: int, deviations: float) -> float:
    """Return the upper bound of the Wilson score interval of a hit ratio."""
    if calls == 0:
        return 1.0
    square = deviations * deviations
    middle = hits + square / 2
    spread = math.sqrt(hits * (calls - hits) / calls + square / 4)
    return (middle + deviations * spread) / (calls + square)


def _shrink(block: Comparison) -> Comparison:
    calls = min(block.new_hits + block.old_hits, block.new_calls)
    if calls <= TERMS_LIMIT:
        return block
    scale = TERMS_LIMIT / calls
    return Comparison(
        int(block.new_hits * scale),
        int(block.new_calls * scale),
        math.ceil(block.old_hits * scale),
        math.ceil(block.old_calls * scale),
    )


def _ratio(hits: int, calls: int) -> float:
    return hits / calls if calls else 0.0


def _log_choose(total: int, chosen: int) -> float:
    return (
        math.lgamma(total + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(total - chosen + 1)
    )


def _log_sum(logs: list[float]) -> float:
    highest = max(logs)
    return highest + math.log(sum(math.exp(value - highest) for value in logs))
