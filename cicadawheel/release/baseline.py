"""Baseline of a route: failure ratio and latencies of earlier calls."""

from cicadawheel.release.evidence import Counts
from cicadawheel.release.sketch import merge_counts, quantile_bucket

DECAY = 0.9
LATENCIES_MIN = 50


class Baseline:
    """Failure ratio of all calls, and latencies weighted towards recent ones."""

    def __init__(self):
        self.ended = 0
        self.failed = 0
        self.latencies: dict[int, float] = {}

    def add(self, counts: Counts) -> None:
        """Add the calls of a block."""
        self.ended += counts.ended
        self.failed += counts.failed
        if not counts.latencies:
            return
        for bucket in self.latencies:
            self.latencies[bucket] *= DECAY
        merge_counts(self.latencies, counts.latencies)

    @property
    def failure_ratio(self) -> float:
        """The ratio of failed calls, 0 if there were no calls."""
        return self.failed / self.ended if self.ended else 0.0

    @property
    def has_latencies(self) -> bool:
        """Whether there are enough latencies for quantiles."""
        return sum(self.latencies.values()) >= LATENCIES_MIN

    def bucket_at(self, quantile: float) -> int:
        """Return the latency bucket of a quantile."""
        return quantile_bucket(self.latencies, quantile)
