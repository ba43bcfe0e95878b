"""Storage of the operators' configuration document, with optimistic concurrency.

Operators choose the version numbers, so two operators may choose the same one. A
document is accepted only if its base version is the stored version. A document that
was accepted before is acknowledged again for as long as its digest is kept.
"""

from collections import OrderedDict

import msgspec

from cicadawheel.control.command import DocumentOutcome, PutDocument

ACCEPTED_LIMIT = 10_000
"""Number of digests kept; sized for about 4,800 planned changes a day."""


class DocumentSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The content of a `DocumentStore`."""

    version: int = 0
    document: bytes = b""
    accepted: list[bytes] = []


class DocumentStore:
    """The newest document as sent, and the digests of accepted documents."""

    def __init__(self):
        self.version = 0
        self.document = b""
        self._accepted: OrderedDict[bytes, None] = OrderedDict()

    def check(self, command: PutDocument) -> DocumentOutcome:
        """Return the outcome of putting a document, without storing it."""
        if command.digest in self._accepted:
            return DocumentOutcome.KNOWN
        if command.base_version != self.version:
            return DocumentOutcome.CONFLICT
        if command.version <= self.version:
            return DocumentOutcome.INVALID
        return DocumentOutcome.ACCEPTED

    def accept(self, command: PutDocument) -> None:
        """Replace the stored document with an accepted one."""
        self.version = command.version
        self.document = command.document
        self._accepted[command.digest] = None
        if len(self._accepted) > ACCEPTED_LIMIT:
            self._accepted.popitem(last=False)

    def snapshot(self) -> DocumentSnapshot:
        """Return a snapshot of the store."""
        return DocumentSnapshot(self.version, self.document, list(self._accepted))

    def restore(self, snapshot: DocumentSnapshot) -> None:
        """Replace the content with a snapshot."""
        self.version = snapshot.version
        self.document = snapshot.document
        self._accepted = OrderedDict.fromkeys(snapshot.accepted)
