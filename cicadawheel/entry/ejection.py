"""Ejects upstreams that keep failing, temporarily and up to a share of a service."""

import msgspec

from cicadawheel.entry.candidate import Candidate
from cicadawheel.ids import NodeId, ServiceName
from cicadawheel.messages import RefusalReason

EJECTION_THRESHOLD = 5
FIRST_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 30_000.0
EJECTED_SHARE_LIMIT = 0.5
DOUBLINGS_MAX = 5
"""After so many, an ejection lasts `MAX_EJECTION_MS`."""
RECOVERY_RAMP_MS = 2_000.0
INITIAL_TRUST = 0.2
ANSWER_WEIGHT = 1
WEIGHT_OF_REASON = {
    RefusalReason.PEER_LOST: 5,
    RefusalReason.UPSTREAM_UNREACHABLE: 3,
    RefusalReason.UPSTREAM_DIED: 3,
    RefusalReason.NO_UPSTREAM: 3,
    RefusalReason.TRUNCATED: 2,
}


class EjectionReport(msgspec.Struct, frozen=True):
    """An ejected upstream, as shown to operators."""

    node: NodeId
    left_ms: float
    times: int


class _Record(msgspec.Struct):
    faults: int = 0
    times: int = 0
    until_ms: float = 0.0


class Ejections:
    """The fault counts and ejections of the upstreams that an entry has called."""

    def __init__(self):
        self._records: dict[NodeId, _Record] = {}
        self._ejected: dict[ServiceName, set[NodeId]] = {}

    def is_ejected(self, candidate: Candidate, now_ms: float) -> bool:
        """Return whether an upstream is ejected, and update its trust if it is not."""
        record = self._records.get(candidate.member.node)
        if record is None or not record.until_ms:
            return False
        if now_ms < record.until_ms:
            return True
        self._ramp_up(candidate, record, now_ms)
        return False

    def succeeded(self, candidate: Candidate, now_ms: float) -> None:
        """Record a successful answer, which resets the fault count."""
        record = self._records.get(candidate.member.node)
        if record is None:
            return
        record.faults = 0
        if not record.until_ms:
            del self._records[candidate.member.node]

    def failed(
        self, candidate: Candidate, weight: int, group_size: int, now_ms: float
    ) -> bool:
        """Record a fault and return whether the upstream is ejected for it."""
        member = candidate.member
        record = self._records.setdefault(member.node, _Record())
        record.faults += weight
        if record.faults < EJECTION_THRESHOLD or now_ms < record.until_ms:
            return False
        ejected = self._ejected.setdefault(member.service, set())
        self._remove_returned(ejected, now_ms)
        if len(ejected) + 1 > group_size * EJECTED_SHARE_LIMIT:
            return False
        ejected.add(member.node)
        doublings = min(DOUBLINGS_MAX, record.times)
        length_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2**doublings)
        record.until_ms = now_ms + length_ms
        record.times += 1
        record.faults = 0
        return True

    def keep_only(self, nodes: set[NodeId]) -> None:
        """Remove the upstreams that are no longer members."""
        for node in set(self._records) - nodes:
            del self._records[node]
        for ejected in self._ejected.values():
            ejected &= nodes

    def report(self, now_ms: float) -> list[EjectionReport]:
        """Return the upstreams that are currently ejected."""
        return [
            EjectionReport(node, record.until_ms - now_ms, record.times)
            for node, record in self._records.items()
            if record.until_ms > now_ms
        ]

    def _ramp_up(self, candidate: Candidate, record: _Record, now_ms: float) -> None:
        since_ms = now_ms - record.until_ms
        if since_ms >= RECOVERY_RAMP_MS:
            candidate.trust = 1.0
            if record.faults == 0:
                del self._records[candidate.member.node]
            return
        progress = since_ms / RECOVERY_RAMP_MS
        candidate.trust = INITIAL_TRUST + (1.0 - INITIAL_TRUST) * progress

    def _remove_returned(self, ejected: set[NodeId], now_ms: float) -> None:
        for node in list(ejected):
            record = self._records.get(node)
            if record is None or record.until_ms <= now_ms:
                ejected.discard(node)
