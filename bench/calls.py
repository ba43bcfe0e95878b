"""Calls of a load: their kinds, their weighted mix, and the check of answers."""

import random
from collections.abc import Sequence
from enum import Enum

import msgspec

from bench.content import NO_BODY_DIGEST, block_of, checksum
from cicadawheel.announcement import HEADER_NOT_RUN

DEFAULT_DEADLINE_MS = 5_000.0


class CallOutcome(Enum):
    """The outcome of a call as its caller sees it."""

    ANSWERED = "answered"
    WRONG = "wrong"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    FAILED = "failed"
    LOST = "lost"


class CallKind(msgspec.Struct, frozen=True):
    """A kind of call. Calls with ``never_repeat`` carry an idempotency key."""

    name: str
    service: str
    method: str = "GET"
    path: str = "/"
    body_bytes: int = 0
    answer_bytes: int = 200
    never_repeat: bool = False
    weight: float = 1.0
    deadline_ms: float = DEFAULT_DEADLINE_MS
    crash: bool = False


class Call(msgspec.Struct, frozen=True):
    """A call with a unique token; its body is ``block`` repeated."""

    kind: CallKind
    token: str
    block: bytes

    @property
    def key(self) -> str:
        """The idempotency key, or an empty string."""
        return f"key-{self.token}" if self.kind.never_repeat else ""

    def expected_checksum(self) -> str:
        """Return the checksum of the correct answer's body."""
        digest = NO_BODY_DIGEST
        if self.kind.body_bytes:
            digest = checksum(self.block, self.kind.body_bytes)
        return checksum(block_of(self.token, digest), self.kind.answer_bytes)


class Reply(msgspec.Struct, frozen=True):
    """A complete answer; only the digest of its body is kept."""

    status: int
    headers: dict[bytes, bytes]
    size_bytes: int
    digest: str

    def text(self, name: bytes) -> str:
        """Return a header as text, or an empty string if it is missing."""
        return self.headers.get(name, b"").decode("latin-1")


class CallDrawer:
    """Draws calls from a weighted mix.

    Parameters
    ----------
    kinds : sequence of CallKind
        The kinds of call, with their weights.
    rng : random.Random
        The seeded generator.
    prefix : str
        Prefix of each token, so that tokens are unique across loads.
    """

    def __init__(self, kinds: Sequence[CallKind], rng: random.Random, prefix: str):
        self._kinds = list(kinds)
        self._weights = [kind.weight for kind in kinds]
        self._rng = rng
        self._prefix = prefix
        self._drawn = 0

    def draw(self) -> Call:
        """Return the next call."""
        kind = self._rng.choices(self._kinds, self._weights)[0]
        self._drawn += 1
        token = f"{self._prefix}-{self._drawn}"
        return Call(kind, token, block_of(token, kind.name))


def judge(call: Call, reply: Reply | None) -> CallOutcome:
    """Classify an answer, or a missing one, as the caller sees it."""
    if reply is None:
        return CallOutcome.LOST
    if reply.text(HEADER_NOT_RUN) == "1":
        return CallOutcome.NOT_RUN
    if reply.status == 200:
        right = reply.digest == call.expected_checksum()
        return CallOutcome.ANSWERED if right else CallOutcome.WRONG
    if call.kind.never_repeat and reply.status in (409, 502, 504):
        return CallOutcome.MAY_HAVE_RUN
    return CallOutcome.FAILED
