"""Rate-limits probes of peers and load reports by the measuring budget."""

from cicadawheel.configuration import MeasuringBudget

PROBE_COST_BYTES = 200.0
REPORT_COST_BYTES = 600.0
MS_PER_S = 1_000.0


class ProbeLimiter:
    """Limits the number and the bytes of probes per second by token buckets.

    The buckets start empty and hold one probe, so that probes are paced and no
    second exceeds its budget.
    """

    def __init__(self):
        self.probes = 0
        self.size_bytes = 0.0
        self._probes_left = 0.0
        self._bytes_left = 0.0
        self._at_ms: float | None = None

    def allows(self, budget: MeasuringBudget, cost_bytes: float, now_ms: float) -> bool:
        """Return whether the budget covers a probe and its answer; spend it if so."""
        self._fill(budget, now_ms)
        if self._probes_left < 1.0 or self._bytes_left < cost_bytes:
            return False
        self._probes_left -= 1.0
        self._bytes_left -= cost_bytes
        self.probes += 1
        self.size_bytes += cost_bytes
        return True

    def _fill(self, budget: MeasuringBudget, now_ms: float) -> None:
        if self._at_ms is None:
            self._at_ms = now_ms
        passed_s = (now_ms - self._at_ms) / MS_PER_S
        self._at_ms = now_ms
        self._probes_left = min(
            1.0,
            self._probes_left + budget.probes_per_s * passed_s,
        )
        self._bytes_left = min(
            REPORT_COST_BYTES,
            self._bytes_left + budget.bytes_per_s * passed_s,
        )
