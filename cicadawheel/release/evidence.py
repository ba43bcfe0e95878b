"""Call statistics: calls, failures and latencies by version and route."""

import msgspec

from cicadawheel.configuration import ReleaseRule
from cicadawheel.ids import NodeId, ServiceName, VersionName
from cicadawheel.release.sketch import LatencyCounts, bucket_of, merge_counts

RouteName = str
EvidenceKey = tuple[ServiceName, VersionName, RouteName]


class Counts(msgspec.Struct, array_like=True):
    """Completed and failed calls, and the latencies of the successful ones."""

    ended: int = 0
    failed: int = 0
    latencies: LatencyCounts = {}

    def add(self, failed: bool, latency_ms: float) -> None:
        """Count one call."""
        self.ended += 1
        if failed:
            self.failed += 1
            return
        bucket = bucket_of(latency_ms)
        self.latencies[bucket] = self.latencies.get(bucket, 0) + 1

    def merge(self, other: "Counts") -> None:
        """Add the counts of another period or node."""
        self.ended += other.ended
        self.failed += other.failed
        merge_counts(self.latencies, other.latencies)


class RouteEvidence(msgspec.Struct, array_like=True, frozen=True):
    """The calls of one version of a service on one route."""

    service: ServiceName
    version: VersionName
    route: RouteName
    counts: Counts


class LocalWithdrawal(msgspec.Struct, array_like=True, frozen=True):
    """An entry's decision to stop routing calls to a version.

    ``started_at_ms`` identifies the release, as an operator may release the same
    version again later.
    """

    service: ServiceName
    version: VersionName
    started_at_ms: int
    reason: str

    def concerns(self, release: ReleaseRule) -> bool:
        """Return whether the withdrawal is of this release."""
        return (self.service, self.version, self.started_at_ms) == (
            release.service,
            release.version,
            release.started_at_ms,
        )


class ReleaseEvidence(msgspec.Struct, array_like=True, frozen=True):
    """An entry's counts for versions under release since its last report."""

    node: NodeId
    routes: tuple[RouteEvidence, ...]
    withdrawals: tuple[LocalWithdrawal, ...] = ()


class EvidenceCounter:
    """Counts calls by service, version and route."""

    def __init__(self):
        self.counts: dict[EvidenceKey, Counts] = {}

    def record(
        self,
        service: ServiceName,
        version: VersionName,
        route: RouteName,
        failed: bool,
        latency_ms: float,
    ) -> None:
        """Count one completed call."""
        self.counts_of((service, version, route)).add(failed, latency_ms)

    def counts_of(self, name: EvidenceKey) -> Counts:
        """Return the counts of a name, creating them if necessary."""
        counts = self.counts.get(name)
        if counts is None:
            counts = self.counts[name] = Counts()
        return counts

    def merge(self, other: "EvidenceCounter") -> None:
        """Add another counter's calls."""
        for name, counts in other.counts.items():
            self.counts_of(name).merge(counts)

    def evidence(self) -> tuple[RouteEvidence, ...]:
        """Return all counts in the form in which they are reported."""
        return tuple(
            RouteEvidence(*name, counts) for name, counts in self.counts.items()
        )
