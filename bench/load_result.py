"""The result of a load: counts, latencies, and one record per call."""

from collections import Counter

import msgspec
from hdrh.histogram import HdrHistogram

from bench.calls import CallOutcome
from cicadawheel.timer import MS_PER_S

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_FIGURES = 3


class CallRecord(msgspec.Struct, frozen=True):
    """The end of one call. ``refused_attempts`` were answered as not run."""

    token: str
    kind: str
    key: str
    sent_at_ms: int
    latency_ms: float
    outcome: CallOutcome
    attempts: int
    refused_attempts: tuple[str, ...]
    status: int
    upstream: str
    version: str
    data_centre: str


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection was lost, or that timed out.

    ``entry`` is the index in the plan's entries; the times are Unix times.
    """

    attempt: str
    entry: int
    began_ms: int
    ended_ms: int
    timed_out: bool


class Counts(msgspec.Struct, frozen=True):
    """The number of calls per outcome."""

    sent: int
    answered: int
    wrong: int
    not_run: int
    may_have_run: int
    failed: int
    lost: int
    resent: int


class LoadResult:
    """Collects the outcomes and latencies of calls.

    Parameters
    ----------
    name : str
        The name of the load.
    """

    def __init__(self, name: str):
        self.name = name
        self.duration_ms = 0.0
        self.records: list[CallRecord] = []
        self.lost: list[LostAttempt] = []
        self.answered_us = make_histogram()
        self.refused_us = make_histogram()

    def add(self, record: CallRecord, *, timed: bool) -> None:
        """Add the record of one call."""
        self.records.append(record)
        if not timed:
            return
        latency_us = max(LOWEST_US, int(record.latency_ms * MS_PER_S))
        if record.outcome is CallOutcome.ANSWERED:
            self.answered_us.record_value(min(latency_us, HIGHEST_US))
        elif record.outcome is CallOutcome.NOT_RUN:
            self.refused_us.record_value(min(latency_us, HIGHEST_US))

    def counts(self) -> Counts:
        """Return the number of calls per outcome."""
        ends = Counter(record.outcome for record in self.records)
        return Counts(
            sent=len(self.records),
            answered=ends[CallOutcome.ANSWERED],
            wrong=ends[CallOutcome.WRONG],
            not_run=ends[CallOutcome.NOT_RUN],
            may_have_run=ends[CallOutcome.MAY_HAVE_RUN],
            failed=ends[CallOutcome.FAILED],
            lost=ends[CallOutcome.LOST],
            resent=sum(record.attempts - 1 for record in self.records),
        )

    def merge(self, other: "LoadResult") -> None:
        """Add the results of another load."""
        self.duration_ms += other.duration_ms
        self.records += other.records
        self.lost += other.lost
        self.answered_us.add(other.answered_us)
        self.refused_us.add(other.refused_us)

    def refused_attempts(self) -> set[str]:
        """Return all attempts that were answered as not run."""
        return {name for record in self.records for name in record.refused_attempts}

    def answered_ms(self, percentile: float) -> float:
        """Return a latency percentile of the answered calls."""
        return percentile_ms(self.answered_us, percentile)

    def refused_ms(self, percentile: float) -> float:
        """Return a latency percentile of the calls refused as not run."""
        return percentile_ms(self.refused_us, percentile)


def make_histogram() -> HdrHistogram:
    """Return an empty latency histogram in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile of a microsecond histogram, in ms."""
    return histogram.get_value_at_percentile(percentile) / MS_PER_S
