"""The configuration document that operators put, by its own version numbers.

Operators number their documents themselves, and two of them may take the same number.
A document replaces the one that it names as its base, and none else. A document that
was accepted once is acknowledged again for ever.
"""

from collections import OrderedDict

import msgspec

from cicadawheel.control.command import DocumentOutcome, PutDocument

ACCEPTED_LIMIT = 10_000
"""Accepted documents whose digests are kept; about 4,800 changes a day are planned."""


class DocumentSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The content of a `DocumentStore`."""

    version: int = 0
    document: bytes = b""
    accepted: list[bytes] = []


class DocumentStore:
    """The newest document as it was sent, and the digests of all accepted ones."""

    def __init__(self):
        self.version = 0
        self.document = b""
        self._accepted: OrderedDict[bytes, None] = OrderedDict()

    def judge(self, command: PutDocument) -> DocumentOutcome:
        """Return what becomes of a document, without taking it."""
        if command.digest in self._accepted:
            return DocumentOutcome.KNOWN
        if command.base_version != self.version:
            return DocumentOutcome.CONFLICT
        if command.version <= self.version:
            return DocumentOutcome.INVALID
        return DocumentOutcome.ACCEPTED

    def take(self, command: PutDocument) -> None:
        """Keep an accepted document in place of the one before."""
        self.version = command.version
        self.document = command.document
        self._accepted[command.digest] = None
        if len(self._accepted) > ACCEPTED_LIMIT:
            self._accepted.popitem(last=False)

    def snapshot(self) -> DocumentSnapshot:
        """Return the whole content."""
        return DocumentSnapshot(self.version, self.document, list(self._accepted))

    def restore(self, snapshot: DocumentSnapshot) -> None:
        """Replace the whole content."""
        self.version = snapshot.version
        self.document = snapshot.document
        self._accepted = OrderedDict.fromkeys(snapshot.accepted)
