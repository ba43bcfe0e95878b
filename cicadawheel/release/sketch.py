"""Latency histogram: counts in buckets whose bounds grow by a constant factor."""

import math
from collections.abc import Mapping

BUCKET_GROWTH = 1.25
LOWEST_BOUND_MS = 0.1
BUCKETS = 64

LatencyCounts = dict[int, int]


def bucket_of(latency_ms: float) -> int:
    """Return the bucket of a latency."""
    if latency_ms <= LOWEST_BOUND_MS:
        return 0
    bucket = math.ceil(math.log(latency_ms / LOWEST_BOUND_MS, BUCKET_GROWTH))
    return min(bucket, BUCKETS - 1)


def bucket_bound_ms(bucket: int) -> float:
    """Return the upper bound of a bucket."""
    return LOWEST_BOUND_MS * BUCKET_GROWTH**bucket


def bucket_shift(factor: float) -> int:
    """Return the number of buckets that corresponds to a factor, rounded up."""
    return math.ceil(math.log(factor, BUCKET_GROWTH))


def merge_counts(into: LatencyCounts, other: Mapping[int, int]) -> None:
    """Add the counts of another histogram."""
    for bucket, count in other.items():
        into[bucket] = into.get(bucket, 0) + count


def count_above(counts: Mapping[int, int], bucket: int) -> int:
    """Return the number of latencies above a bucket."""
    return sum(count for key, count in counts.items() if key > bucket)


def quantile_bucket(counts: Mapping[int, float], quantile: float) -> int:
    """Return the bucket of a quantile, 0 for an empty histogram."""
    rank = quantile * sum(counts.values())
    seen = 0.0
    for bucket in sorted(counts):
        seen += counts[bucket]
        if seen >= rank:
            return bucket
    return 0


def total_ms(counts: Mapping[int, int]) -> float:
    """Return the sum of the latencies, each counted as the bound of its bucket."""
    return sum(count * bucket_bound_ms(bucket) for bucket, count in counts.items())
