"""The replicated state as bytes, encoded in steps that don't hold up the loop."""

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
    """The whole replicated state; nothing that it holds is changed later."""

    now_ms: int
    view_revision: LogIndex
    configuration: Configuration
    members: MembersSnapshot
    operations: OperationsSnapshot
    claims: ClaimsSnapshot
    quarantined: list[Quarantined]
    documents: DocumentSnapshot = DocumentSnapshot()


class StateEncoding:
    """The encoding of one snapshot, in steps of about a millisecond.

    Parameters
    ----------
    snapshot : StateSnapshot
        What is encoded.
    """

    def __init__(self, snapshot: StateSnapshot):
        self._parts: list[bytes] = []
        self._values = _values(snapshot)
        self._encoder = msgspec.msgpack.Encoder()

    def encode_next(self) -> bool:
        """Encode one more part, and return whether there was one left."""
        value = next(self._values, None)
        if value is None:
            return False
        self._parts.append(self._encoder.encode(value))
        return True

    def data(self) -> bytes:
        """Return the whole snapshot, encoding what is left of it.

        The parts are joined without the interpreter's lock, so that the loop goes
        on while a thread does this.
        """
        while self.encode_next():
            pass
        nothing = self._encoder.encode([None] * len(self._parts))
        head = nothing[: -len(self._parts)]
        return b"".join([head, *self._parts])


def decode_state(data: bytes) -> StateSnapshot:
    """Return the state that a whole encoding holds."""
    first, *rest = msgspec.msgpack.decode(data, type=list[msgspec.Raw])
    snapshot = msgspec.msgpack.decode(first, type=StateSnapshot)
    decoder = msgspec.msgpack.Decoder(ClaimsSnapshot)
    claims = join_claims(map(decoder.decode, rest), snapshot.claims.expired)
    return replace(snapshot, claims=claims)


@contextlib.contextmanager
def collection_paused() -> Iterator[None]:
    """Pause the collection of garbage, which has nothing to find in what is decoded."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _values(snapshot: StateSnapshot) -> Iterator[StateSnapshot | ClaimsSnapshot]:
    claims = snapshot.claims
    yield replace(snapshot, claims=ClaimsSnapshot([], [], claims.expired))
    yield from slice_claims(claims, SLICE_CLAIMS)
