"""Tests of the reload of settings files, and of errors of a full disk."""

import errno
import os

import pytest

from cicadawheel.control.storage import Storage
from cicadawheel.control.storage.identity import Identity
from cicadawheel.errors import StorageError, StorageFullError
from cicadawheel.settings import SettingsFile


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text("one")
    return SettingsFile(path, lambda read: read.read_text())


def test_changed_file_is_reloaded(file):
    assert not file.has_changed()
    file.path.write_text("another")
    assert file.has_changed()
    assert file.load() == "another"
    assert not file.has_changed()


def test_missing_file_counts_as_unchanged(file):
    file.path.unlink()
    assert not file.has_changed()


def test_same_size_replacement_counts_as_changed(file):
    file.path.write_text("two")
    os.utime(file.path, ns=(1, 1))
    assert file.has_changed()


class RefusingFiles:
    """Fake storage files on which every write fails."""

    folder = "/data"

    def __init__(self, number):
        self.number = number

    def append(self, name, data):
        raise OSError(self.number, os.strerror(self.number))


@pytest.mark.parametrize(
    ("number", "kind"),
    [
        (errno.ENOSPC, StorageFullError),
        (errno.EDQUOT, StorageFullError),
        (errno.EIO, StorageError),
    ],
)
def test_full_disk_is_distinguished_from_io_error(number, kind):
    storage = Storage(RefusingFiles(number))
    with pytest.raises(StorageError) as raised:
        storage.save_identity(Identity("c1", "f"))
    assert type(raised.value) is kind
