"""Deterministic bodies of requests and answers.

A caller computes the expected answer from its request, so it detects answers that
are truncated, corrupted or meant for another call.
"""

import hashlib
from collections.abc import Iterator

HEADER_TOKEN = b"bench-token"
HEADER_ATTEMPT = b"bench-attempt"
HEADER_ANSWER_BYTES = b"bench-answer-bytes"
HEADER_CHECKSUM = b"bench-checksum"
HEADER_UPSTREAM = b"bench-upstream"
HEADER_VERSION = b"bench-version"
HEADER_DATA_CENTRE = b"bench-data-centre"
HEADER_CRASH = b"bench-crash"

CRASH_PATH = "/crash"
DIGEST_CHARACTERS = 64
CHUNK_BYTES = 65_536
NO_BODY_DIGEST = hashlib.sha256(b"").hexdigest()


def block_of(token: str, body_digest: str) -> bytes:
    """Return the block of 64 bytes whose repetition is the answer's body."""
    return hashlib.sha256(f"{token}:{body_digest}".encode()).hexdigest().encode()


def chunks(block: bytes, size_bytes: int) -> Iterator[bytes]:
    """Yield a body of the given size that repeats a block of 64 bytes."""
    if size_bytes <= CHUNK_BYTES:
        repeats = size_bytes // DIGEST_CHARACTERS + 1
        yield (block * repeats)[:size_bytes]
        return
    chunk = block * (CHUNK_BYTES // DIGEST_CHARACTERS)
    for left in range(size_bytes, 0, -CHUNK_BYTES):
        yield chunk[:left]


def checksum(block: bytes, size_bytes: int) -> str:
    """Return the SHA-256 digest of the body that `chunks` yields."""
    digest = hashlib.sha256()
    for chunk in chunks(block, size_bytes):
        digest.update(chunk)
    return digest.hexdigest()


def checksum_of(body: bytes) -> str:
    """Return the SHA-256 digest of a body."""
    return hashlib.sha256(body).hexdigest()
