"""Compact record of the idempotency keys of expired claims, in Bloom filters.

False positives are possible, false negatives are not. The oldest filter is dropped
when the number of filters exceeds the limit.
"""

import hashlib
from collections.abc import Iterator

from cicadawheel.ids import IdempotencyKey, ServiceName

FILTER_BYTES = 262_144
FILTER_BITS = FILTER_BYTES * 8
KEYS_PER_FILTER = 72_000
FILTER_LIMIT = 64
BITS_PER_KEY = 20
COUNT_BYTES = 8


class ExpiredKeys:
    """Bloom filters of expired keys, newest last."""

    def __init__(self):
        self._filters: list[bytearray] = []
        self._newest_count = 0

    def add(self, service: ServiceName, key: IdempotencyKey) -> None:
        """Add a key to the newest filter."""
        if not self._filters or self._newest_count >= KEYS_PER_FILTER:
            self._filters.append(bytearray(FILTER_BYTES))
            self._newest_count = 0
            del self._filters[:-FILTER_LIMIT]
        newest = self._filters[-1]
        for position in _positions(service, key):
            newest[position >> 3] |= 1 << (position & 7)
        self._newest_count += 1

    def may_hold(self, service: ServiceName, key: IdempotencyKey) -> bool:
        """Return whether a key was added; may give false positives."""
        if not self._filters:
            return False
        positions = tuple(_positions(service, key))
        return any(
            all(bits[position >> 3] & (1 << (position & 7)) for position in positions)
            for bits in self._filters
        )

    def snapshot(self) -> list[bytes]:
        """Return the key count of the newest filter, followed by the filters."""
        count = self._newest_count.to_bytes(COUNT_BYTES, "big")
        return [count, *(bytes(bits) for bits in self._filters)]

    def restore(self, snapshot: list[bytes]) -> None:
        """Replace the filters with those of a snapshot."""
        self._newest_count = int.from_bytes(snapshot[0], "big")
        self._filters = [bytearray(bits) for bits in snapshot[1:]]


def _positions(service: ServiceName, key: IdempotencyKey) -> Iterator[int]:
    digest = hashlib.blake2b(f"{service}\0{key}".encode(), digest_size=16).digest()
    first = int.from_bytes(digest[:8], "big")
    step = int.from_bytes(digest[8:], "big") | 1
    return ((first + step * i) % FILTER_BITS for i in range(BITS_PER_KEY))
