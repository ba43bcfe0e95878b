"""Snapshot encoding, in small steps that do not block the event loop."""

import contextlib
import gc
from collections.abc import Iterator

import msgspec
from msgspec.structs import replace

from cicadawheel.configuration import Configuration
from cicadawheel.control.state.claims import (
    ClaimsSnapshot,
    join_claims,
    slice_claims,
)
from cicadawheel.control.state.documents import DocumentSnapshot
from cicadawheel.control.state.membership import MembersSnapshot
from cicadawheel.control.state.operations import OperationsSnapshot
from cicadawheel.control.state.quarantine import Quarantined
from cicadawheel.ids import LogIndex

SLICE_CLAIMS = 2_000


class StateSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole replicated state; no value in it is changed later."""

    now_ms: int
    view_revision: LogIndex
    configuration: Configuration
    members: MembersSnapshot
    operations: OperationsSnapshot
    claims: ClaimsSnapshot
    quarantined: list[Quarantined]
    documents: DocumentSnapshot = DocumentSnapshot()


class StateEncoding:
    """An incremental encoding of a snapshot, in steps of about a millisecond.

    Parameters
    ----------
    snapshot : StateSnapshot
        The snapshot to encode.
    """

    def __init__(self, snapshot: StateSnapshot):
        self._parts: list[bytes] = []
        self._snapshot_parts = _snapshot_parts(snapshot)
        self._encoder = msgspec.msgpack.Encoder()

    def encode_next(self) -> bool:
        """Encode the next part, and return False if none was left."""
        value = next(self._snapshot_parts, None)
        if value is None:
            return False
        self._parts.append(self._encoder.encode(value))
        return True

    def data(self) -> bytes:
        """Return the encoded snapshot, after encoding any remaining parts.

        ``bytes.join`` releases the GIL for large inputs, so the event loop keeps
        running if a thread calls this.
        """
        while self.encode_next():
            pass
        placeholder = self._encoder.encode([None] * len(self._parts))
        head = placeholder[: -len(self._parts)]
        return b"".join([head, *self._parts])


def decode_state(data: bytes) -> StateSnapshot:
    """Decode a snapshot encoded by `StateEncoding`."""
    first, *rest = msgspec.msgpack.decode(data, type=list[msgspec.Raw])
    snapshot = msgspec.msgpack.decode(first, type=StateSnapshot)
    decoder = msgspec.msgpack.Decoder(ClaimsSnapshot)
    claims = join_claims(map(decoder.decode, rest), snapshot.claims.expired)
    return replace(snapshot, claims=claims)


@contextlib.contextmanager
def gc_paused() -> Iterator[None]:
    """Disable garbage collection: decoding creates many objects and no cycles."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _snapshot_parts(
    snapshot: StateSnapshot,
) -> Iterator[StateSnapshot | ClaimsSnapshot]:
    claims = snapshot.claims
    yield replace(snapshot, claims=ClaimsSnapshot([], [], claims.expired))
    yield from slice_claims(claims, SLICE_CLAIMS)
