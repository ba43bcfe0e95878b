"""Requests that crash upstreams, which all nodes refuse until an expiry time."""

import msgspec

from cicadawheel.ids import Fingerprint, ServiceName

QUARANTINE_LIMIT = 1_000


class Quarantined(msgspec.Struct, frozen=True, array_like=True):
    """A request that is refused until the Unix time ``until_ms``."""

    service: ServiceName
    fingerprint: Fingerprint
    until_ms: int
    reason: str


class QuarantineTable:
    """The quarantined requests, keyed by service and fingerprint."""

    def __init__(self):
        self.entries: dict[tuple[ServiceName, Fingerprint], Quarantined] = {}

    def add(self, entry: Quarantined) -> None:
        """Add a request; if full, evict the entry that expires first."""
        name = (entry.service, entry.fingerprint)
        if name not in self.entries and len(self.entries) >= QUARANTINE_LIMIT:
            earliest = min(self.entries, key=lambda name: self.entries[name].until_ms)
            del self.entries[earliest]
        self.entries[name] = entry

    def expire(self, now_ms: int) -> None:
        """Remove expired entries."""
        expired = [
            name for name, entry in self.entries.items() if entry.until_ms <= now_ms
        ]
        for name in expired:
            del self.entries[name]

    def snapshot(self) -> list[Quarantined]:
        """Return a snapshot of the table."""
        return list(self.entries.values())

    def restore(self, snapshot: list[Quarantined]) -> None:
        """Replace the table with a snapshot."""
        self.entries = {(entry.service, entry.fingerprint): entry for entry in snapshot}
