"""Runs the product with injected disk and clock faults.

``python -m bench.machine FAULTS COMMAND ...`` runs the product's command line with its
file operations and wall clock replaced. The file ``FAULTS`` holds the current faults
and may change at any time. The synced size of each data file is written to a file next
to it, so that a simulated power loss can discard the unsynced bytes.
"""

import errno
import os
import random
import sys
import time
from pathlib import Path

import msgspec

from cicadawheel.control.storage.files import DiskFiles
from cicadawheel.timer import MS_PER_S, SystemClock
from cicadawheel.ui import main

BLOCK_BYTES = 512
"""Disks write aligned blocks of this size atomically; a block that was not synced may
read back as zeros."""
STALL_POLL_S = 0.01


class MachineFaults(msgspec.Struct, frozen=True):
    """Injected disk and clock faults.

    With ``full`` set, every append fails; with ``stalled`` set, no sync ends.
    """

    sync_delay_ms: float = 0.0
    full: bool = False
    stalled: bool = False
    clock_step_ms: int = 0


class FaultFile:
    """The injected faults of one process, and the durable sizes of its data files.

    Parameters
    ----------
    path : Path
        The file that holds the faults; if it does not exist, there are none.
    """

    def __init__(self, path: Path):
        self.path = path
        self._synced_path = path.with_suffix(".synced")
        self._read_at_ns = 0
        self._faults = MachineFaults()

    def write(self, faults: MachineFaults) -> None:
        """Replace the faults atomically."""
        draft = self.path.with_suffix(".new")
        draft.write_bytes(msgspec.json.encode(faults))
        draft.rename(self.path)

    def read(self) -> MachineFaults:
        """Return the current faults."""
        try:
            changed_at_ns = self.path.stat().st_mtime_ns
        except FileNotFoundError:
            return self._faults
        if changed_at_ns != self._read_at_ns:
            self._read_at_ns = changed_at_ns
            self._faults = msgspec.json.decode(
                self.path.read_bytes(), type=MachineFaults
            )
        return self._faults

    def write_synced(self, sizes: dict[str, int]) -> None:
        """Store the number of durable bytes of each file."""
        draft = self._synced_path.with_suffix(".draft")
        draft.write_bytes(msgspec.json.encode(sizes))
        draft.rename(self._synced_path)

    def read_synced(self) -> dict[str, int]:
        """Return the number of durable bytes of each file."""
        if not self._synced_path.exists():
            return {}
        return msgspec.json.decode(self._synced_path.read_bytes(), type=dict[str, int])


def lose_power(data_folder: Path, faults: FaultFile, rng: random.Random) -> int:
    """Simulate a power loss on the data files of a killed process.

    A random number of the unsynced bytes of each file is kept, and one block of these
    may be zeroed. Returns the number of bytes lost.
    """
    gone_bytes = 0
    synced_bytes = faults.read_synced()
    for path in sorted(data_folder.iterdir()):
        if path.name not in synced_bytes:
            continue
        data = bytearray(path.read_bytes())
        synced = synced_bytes[path.name]
        kept = rng.randint(min(synced, len(data)), len(data))
        gone_bytes += len(data) - kept
        if kept > synced and rng.random() < 0.5:
            at = rng.randrange(synced, kept)
            start = max(synced, at - at % BLOCK_BYTES)
            stop = min(kept, at - at % BLOCK_BYTES + BLOCK_BYTES)
            data[start:stop] = bytes(stop - start)
        path.write_bytes(data[:kept])
    return gone_bytes


def _replace_files(faults: FaultFile) -> None:
    append, sync, rename = DiskFiles.append, DiskFiles.sync, DiskFiles.rename
    sizes = faults.read_synced()

    def faulty_append(files: DiskFiles, name: str, data: bytes) -> None:
        if faults.read().full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        append(files, name, data)

    def faulty_sync(files: DiskFiles, name: str) -> None:
        time.sleep(faults.read().sync_delay_ms / MS_PER_S)
        while faults.read().stalled:
            time.sleep(STALL_POLL_S)
        size_bytes = (Path(files.folder) / name).stat().st_size
        sync(files, name)
        sizes[name] = size_bytes
        faults.write_synced(sizes)

    def noted_rename(files: DiskFiles, old: str, new: str) -> None:
        rename(files, old, new)
        sizes[new] = sizes.pop(old, 0)
        faults.write_synced(sizes)

    DiskFiles.append = faulty_append
    DiskFiles.sync = faulty_sync
    DiskFiles.rename = noted_rename


def _replace_clock(faults: FaultFile) -> None:
    true_unix_ms = SystemClock.unix_ms

    def stepped_unix_ms(clock: SystemClock) -> int:
        return true_unix_ms(clock) + faults.read().clock_step_ms

    SystemClock.unix_ms = stepped_unix_ms


def run(path: Path, arguments: list[str]) -> int:
    """Run the command line with injected faults, and return the exit code."""
    faults = FaultFile(path)
    _replace_files(faults)
    _replace_clock(faults)
    return main(arguments)


if __name__ == "__main__":
    sys.exit(run(Path(sys.argv[1]), sys.argv[2:]))
