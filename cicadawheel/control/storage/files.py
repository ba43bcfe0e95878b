"""File operations in one folder, each a separate step that tests can make fail."""

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

from cicadawheel.errors import StorageError, StorageFullError

LOCK_NAME = "lock"
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Files(Protocol):
    """The file operations of a data folder; any of them may raise OSError."""

    @property
    def folder(self) -> str:
        """The path of the folder, for error messages."""

    def names(self) -> list[str]:
        """Return the names of the files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is missing."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make created, renamed and removed file names durable."""

    def close(self) -> None:
        """Close all files."""


class DiskFiles:
    """A folder on disk, locked against use by a second process.

    Parameters
    ----------
    folder : str
        The path of the folder, which is created if it is missing.

    Raises
    ------
    StorageError
        The folder can't be opened, or another process holds its lock.
    """

    def __init__(self, folder: str):
        self.folder = folder
        self._path = Path(folder)
        self._open: dict[str, int] = {}
        try:
            _make_folder(self._path)
            self._folder = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
            self._lock = os.open(self._path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
            os.fsync(self._folder)
        except OSError as error:
            kind = StorageFullError if error.errno in DISK_FULL_ERRNOS else StorageError
            raise kind(
                f"data folder can't be opened: {error.strerror}",
                step="open",
                peer=folder,
            ) from error
        self._take_lock()

    def names(self) -> list[str]:
        """Return the names of the files."""
        return sorted(name for name in os.listdir(self._path) if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is missing."""
        handle = self._handle(name)
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fsync(self._handle(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""
        self._close_file(old)
        self._close_file(new)
        os.rename(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.unlink(self._path / name)

    def sync_folder(self) -> None:
        """Make created, renamed and removed file names durable."""
        os.fsync(self._folder)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._open):
            self._close_file(name)
        os.close(self._folder)
        os.close(self._lock)

    def _take_lock(self) -> None:
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._folder)
            os.close(self._lock)
            raise StorageError(
                "data folder is in use by another process; give each replica its own",
                step="lock",
                peer=self.folder,
            ) from error

    def _handle(self, name: str) -> int:
        if name not in self._open:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._open[name] = os.open(self._path / name, flags, 0o600)
        return self._open[name]

    def _close_file(self, name: str) -> None:
        handle = self._open.pop(name, None)
        if handle is not None:
            os.close(handle)


def _make_folder(path: Path) -> None:
    """Create a folder and its missing parents durably."""
    if path.is_dir():
        return
    _make_folder(path.parent)
    path.mkdir(exist_ok=True)
    _sync_path(path.parent)


def _sync_path(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
