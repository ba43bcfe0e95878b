"""Storage after a kill at each step, torn writes, corruption and disk errors."""

import errno

import msgspec
import pytest
from crashing_files import CrashingFiles, KilledError
from raft_shuttle import members, persist

from cicadawheel.control.raft.entry import (
    CommandData,
    HardState,
    LogEntry,
    SavedState,
    Snapshot,
    WriteBatch,
)
from cicadawheel.control.storage import DiskFiles, Storage
from cicadawheel.control.storage.identity import Identity
from cicadawheel.errors import CorruptionError, StorageError

MEMBERS = members("a", "b", "c")


def entries(term, first, last):
    payload = CommandData(b"%d" % term * 300)
    return tuple(LogEntry(index, term, payload) for index in range(first, last + 1))


def snapshot(index, term):
    return Snapshot(index, term, MEMBERS, b"state" * 400)


BATCHES = [
    WriteBatch(HardState(1, "a")),
    WriteBatch(entries=entries(1, 1, 4)),
    WriteBatch(entries=entries(1, 5, 9)),
    WriteBatch(HardState(2, "b"), entries=entries(2, 8, 12)),
    WriteBatch(snapshot=snapshot(6, 1)),
    WriteBatch(entries=entries(2, 13, 14)),
    WriteBatch(snapshot=snapshot(13, 2), entries=entries(2, 15, 18)),
    WriteBatch(HardState(3, ""), snapshot(16, 3), True),
    WriteBatch(entries=entries(3, 17, 19)),
    WriteBatch(HardState(4, "c"), snapshot(30, 4), True, entries(4, 31, 33)),
    WriteBatch(entries=entries(4, 34, 38)),
    WriteBatch(snapshot=snapshot(36, 4)),
    WriteBatch(entries=entries(4, 39, 41)),
    WriteBatch(HardState(5, "a"), snapshot(38, 5), True),
    WriteBatch(entries=entries(5, 39, 39)),
]


def outcomes(saved, batch):
    """Return the states that a disk may hold after an interrupted batch."""
    parts = [
        WriteBatch(batch.hard_state),
        WriteBatch(batch.hard_state, batch.snapshot, batch.replaces_log),
        batch,
    ]
    return [saved, *(persist(saved, part) for part in parts)]


def write(storage, batch):
    """Write a batch; a snapshot that keeps the log is saved separately."""
    if batch.snapshot is None or batch.replaces_log:
        storage.write(batch)
        return
    storage.save_snapshot(batch.snapshot)
    storage.write(msgspec.structs.replace(batch, snapshot=None))
    storage.drop_covered(batch.snapshot)


def write_all(files):
    """Write the batches until killed, and return the states that a load may find."""
    storage = Storage(files)
    saved = SavedState()
    for batch in BATCHES:
        allowed = outcomes(saved, batch)
        try:
            write(storage, batch)
        except KilledError:
            return allowed
        saved = persist(saved, batch)
    return [saved]


def count_steps():
    files = CrashingFiles()
    write_all(files)
    return files.steps


@pytest.mark.parametrize("seed", range(10))
def test_killed_at_each_step(seed):
    for step in range(count_steps() + 1):
        files = CrashingFiles(fail_at=step, seed=seed)
        allowed = write_all(files)
        files.reboot()
        found = Storage(files).load()
        assert found in allowed, f"killed at step {step}"


@pytest.mark.parametrize("seed", range(5))
def test_second_kill_at_each_step_of_load(seed):
    for step in range(0, count_steps(), 3):
        for load_step in range(8):
            files = CrashingFiles(fail_at=step, seed=seed)
            allowed = write_all(files)
            files.reboot(fail_at=load_step)
            try:
                Storage(files).load()
            except KilledError:
                files.reboot()
            else:
                files.fail_at = None
            storage = Storage(files)
            found = storage.load()
            assert found in allowed, f"killed at steps {step} and {load_step}"
            last = found.entries[-1].index if found.entries else 0
            base = found.snapshot.index if found.snapshot else 0
            first = max(last, base) + 1
            storage.write(WriteBatch(entries=entries(9, first, first + 2)))
            files.reboot()
            assert Storage(files).load().entries[-3:] == entries(9, first, first + 2)


def two_batches():
    files = CrashingFiles()
    storage = Storage(files)
    storage.write(BATCHES[1])
    first_bytes = len(files.read("log-000000000000"))
    storage.write(BATCHES[2])
    return files, files.inodes["log-000000000000"], first_bytes


def test_torn_record_is_discarded_at_any_length():
    _, inode, first_bytes = two_batches()
    for size in range(first_bytes, len(inode.data)):
        files, torn, _ = two_batches()
        torn.data = torn.data[:size]
        assert Storage(files).load().entries == BATCHES[1].entries
        assert Storage(files).load().entries == BATCHES[1].entries


def test_corruption_error_names_file_and_offset():
    _, inode, first_bytes = two_batches()
    for position in range(0, len(inode.data), 7):
        files, damaged, _ = two_batches()
        data = bytearray(damaged.data)
        data[position] ^= 0x41
        damaged.data = bytes(data)
        offset = 0 if position < first_bytes else first_bytes
        with pytest.raises(CorruptionError, match="new replica id") as caught:
            Storage(files).load()
        assert f"memory/log-000000000000 is corrupt at byte {offset};" in str(
            caught.value
        )


def test_zeroed_sector_before_valid_record_is_corruption():
    files, damaged, first_bytes = two_batches()
    damaged.data = bytes(512) + damaged.data[512:]
    assert first_bytes > 512
    with pytest.raises(CorruptionError):
        Storage(files).load()


@pytest.mark.parametrize("name", ["vote", "identity", "snapshot-00000000000000000038"])
def test_corrupt_value_is_refused(name):
    files = CrashingFiles()
    storage = Storage(files)
    storage.save_identity(Identity("a", "folder"))
    for batch in BATCHES:
        storage.write(batch)
    inode = files.inodes[name]
    inode.data = inode.data[:-1] + b"\x00"
    with pytest.raises(CorruptionError, match=name):
        Storage(files).load()


def test_missing_segment_is_refused():
    files = CrashingFiles()
    storage = Storage(files)
    for batch in BATCHES[:6]:
        storage.write(batch)
    files.remove("log-000000000000")
    with pytest.raises(CorruptionError, match="missing"):
        Storage(files).load()


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_disk_error_at_each_step_stops_all_writes(number):
    for step in range(count_steps()):
        files = CrashingFiles(OSError(number, "disk error"), fail_at=step)
        storage = Storage(files)
        saved = SavedState()
        for batch in BATCHES:
            allowed = outcomes(saved, batch)
            try:
                write(storage, batch)
            except StorageError as error:
                assert "disk error" in str(error)
                break
            saved = persist(saved, batch)
        steps = files.steps
        files.fail_at = None
        with pytest.raises(StorageError, match="disk error"):
            storage.write(WriteBatch(entries=entries(9, 99, 99)))
        assert files.steps == steps
        files.reboot()
        assert Storage(files).load() in allowed


def test_disk_files_round_trip(tmp_path):
    files = DiskFiles(str(tmp_path / "data"))
    storage = Storage(files)
    saved = SavedState()
    for batch in BATCHES:
        storage.write(batch)
        saved = persist(saved, batch)
    storage.save_identity(Identity("a", "folder", MEMBERS))
    storage.close()
    storage = Storage(DiskFiles(str(tmp_path / "data")))
    assert storage.load() == msgspec.structs.replace(saved, bootstrap=MEMBERS)
    assert storage.identity == Identity("a", "folder", MEMBERS)
    storage.close()


def test_second_process_is_refused(tmp_path):
    files = DiskFiles(str(tmp_path))
    with pytest.raises(StorageError, match="another process"):
        DiskFiles(str(tmp_path))
    files.close()
    DiskFiles(str(tmp_path)).close()


def test_unusable_folder_is_refused(tmp_path):
    (tmp_path / "file").touch()
    with pytest.raises(StorageError, match="can't be opened"):
        DiskFiles(str(tmp_path / "file"))
