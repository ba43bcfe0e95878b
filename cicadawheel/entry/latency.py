"""Quantiles of the recent latency of each service."""

import math

from cicadawheel.ids import ServiceName

MIN_LATENCY_MS = 0.1
BUCKETS_PER_DOUBLING = 4
BUCKETS = 80
DECAY_THRESHOLD = 2_000
MIN_SAMPLES = 100


class _Histogram:
    def __init__(self):
        self.counts = [0.0] * BUCKETS
        self.total = 0.0

    def add(self, latency_ms: float) -> None:
        if self.total >= DECAY_THRESHOLD:
            self.counts = [count / 2.0 for count in self.counts]
            self.total /= 2.0
        doublings = math.log2(max(MIN_LATENCY_MS, latency_ms) / MIN_LATENCY_MS)
        bucket = min(BUCKETS - 1, int(doublings * BUCKETS_PER_DOUBLING))
        self.counts[bucket] += 1.0
        self.total += 1.0

    def quantile_ms(self, quantile: float) -> float:
        remaining = quantile * self.total
        for bucket, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 0.0:
                return MIN_LATENCY_MS * 2.0 ** ((bucket + 1) / BUCKETS_PER_DOUBLING)
        return math.inf


class Latencies:
    """Histograms of recent answer latencies by service; older samples decay."""

    def __init__(self):
        self._histograms: dict[ServiceName, _Histogram] = {}

    def add(self, service: ServiceName, latency_ms: float) -> None:
        """Record the latency of one answer."""
        histogram = self._histograms.get(service)
        if histogram is None:
            histogram = self._histograms[service] = _Histogram()
        histogram.add(latency_ms)

    def quantile_ms(self, service: ServiceName, quantile: float) -> float | None:
        """Return a quantile, or None while there are too few samples."""
        histogram = self._histograms.get(service)
        if histogram is None or histogram.total < MIN_SAMPLES:
            return None
        return histogram.quantile_ms(quantile)
