"""Storage of one replica; data is durable when a call that writes it returns."""

from collections.abc import Callable
from typing import Any

from cicadawheel.control.raft.entry import (
    HardState,
    SavedState,
    Snapshot,
    WriteBatch,
)
from cicadawheel.control.raft.membership import Membership
from cicadawheel.control.storage.files import DISK_FULL_ERRNOS, Files
from cicadawheel.control.storage.identity import Identity
from cicadawheel.control.storage.segment import Segments
from cicadawheel.control.storage.value import TEMPORARY_SUFFIX, read_value, write_value
from cicadawheel.errors import StorageError, StorageFullError

IDENTITY_NAME = "identity"
VOTE_NAME = "vote"
SNAPSHOT_PREFIX = "snapshot-"


class Storage:
    """The persistent state in a data folder; methods block, and any failure is final.

    Parameters
    ----------
    files : Files
        The files of the folder.
    """

    def __init__(self, files: Files):
        self.files = files
        self.segments = Segments(files)
        self.failure: StorageError | None = None
        self.identity: Identity | None = None

    def load(self) -> SavedState:
        """Return the saved state, discarding a torn record at the end of the log.

        Raises
        ------
        CorruptionError
            A file is corrupt.
        StorageError
            A file can't be read or written.
        """
        return self._guard("load", self._load)

    def save_identity(self, identity: Identity) -> None:
        """Make the identity of the folder durable.

        Raises
        ------
        StorageError
            It can't be written.
        """
        self._guard("write", lambda: write_value(self.files, IDENTITY_NAME, identity))
        self.identity = identity

    def write(self, batch: WriteBatch) -> None:
        """Make a batch durable.

        Raises
        ------
        StorageError
            It can't be written. All later calls fail too, because the content of
            the disk is undefined after a failed sync.
        """
        self._guard("write", lambda: self._write(batch))

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Make a snapshot durable; may run concurrently with `write`.

        Raises
        ------
        StorageError
            It can't be written.
        """
        name = _snapshot_name(snapshot)
        self._guard("snapshot", lambda: write_value(self.files, name, snapshot))

    def drop_covered(self, snapshot: Snapshot) -> None:
        """Remove the segments and older snapshots that a durable snapshot covers.

        Raises
        ------
        StorageError
            A file can't be removed.
        """
        self._guard("snapshot", lambda: self._drop_covered(snapshot))

    def close(self) -> None:
        """Close all files."""
        self.files.close()

    def _guard(self, step: str, action: Callable[[], Any]) -> Any:
        if self.failure is not None:
            raise self.failure
        try:
            return action()
        except OSError as error:
            kind = StorageFullError if error.errno in DISK_FULL_ERRNOS else StorageError
            self.failure = kind(
                f"data folder can't be used: {error.strerror or error}; the replica "
                f"stops; free or replace the disk and start it again",
                step=step,
                peer=self.files.folder,
            )
            raise self.failure from error
        except StorageError as error:
            self.failure = error
            raise

    def _load(self) -> SavedState:
        names = self._remove_temporary_files(self.files.names())
        if IDENTITY_NAME in names:
            self.identity = read_value(self.files, IDENTITY_NAME, Identity)
        hard_state = HardState()
        if VOTE_NAME in names:
            hard_state = read_value(self.files, VOTE_NAME, HardState)
        snapshot = self._load_snapshot(names)
        entries = self.segments.load(names, snapshot)
        bootstrap = self.identity.bootstrap if self.identity else Membership()
        return SavedState(hard_state, bootstrap, snapshot, entries)

    def _remove_temporary_files(self, names: list[str]) -> list[str]:
        for name in names:
            if name.endswith(TEMPORARY_SUFFIX):
                self.files.remove(name)
        return [name for name in names if not name.endswith(TEMPORARY_SUFFIX)]

    def _load_snapshot(self, names: list[str]) -> Snapshot | None:
        snapshots = sorted(name for name in names if name.startswith(SNAPSHOT_PREFIX))
        if not snapshots:
            return None
        return read_value(self.files, snapshots[-1], Snapshot)

    def _write(self, batch: WriteBatch) -> None:
        if batch.hard_state is not None:
            write_value(self.files, VOTE_NAME, batch.hard_state)
        if batch.snapshot is not None:
            write_value(self.files, _snapshot_name(batch.snapshot), batch.snapshot)
        if batch.replaces_log:
            self.segments.replace(batch.entries)
        elif batch.entries:
            self.segments.append(batch.entries)
        if batch.snapshot is not None:
            self._drop_covered(batch.snapshot)

    def _drop_covered(self, snapshot: Snapshot) -> None:
        name = _snapshot_name(snapshot)
        self.segments.drop_until(snapshot.index)
        for old in self.files.names():
            if old.startswith(SNAPSHOT_PREFIX) and old < name:
                self.files.remove(old)


def _snapshot_name(snapshot: Snapshot) -> str:
    return f"{SNAPSHOT_PREFIX}{snapshot.index:020}"
