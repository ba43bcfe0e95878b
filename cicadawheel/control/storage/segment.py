"""The log on disk: append-only segment files of records."""

import logging

import msgspec

from cicadawheel.control.raft.entry import LogEntry, Snapshot
from cicadawheel.control.storage.files import Files
from cicadawheel.control.storage.record import encode_record, scan_records
from cicadawheel.control.storage.replay import rebuild_log
from cicadawheel.control.storage.value import (
    decode_value,
    make_corruption_error,
    replace_file,
)
from cicadawheel.ids import LogIndex
from cicadawheel.logs import log_event

log = logging.getLogger(__name__)

SEGMENT_PREFIX = "log-"


class EntryBatch(msgspec.Struct, array_like=True, frozen=True):
    """The content of one record: entries that were written together.

    They overwrite the log from the index of the first of them, or with
    ``replaces_log`` everything in earlier records.
    """

    replaces_log: bool
    entries: tuple[LogEntry, ...]


class Segments:
    """The segments of a data folder; entries are appended to the last one.

    Parameters
    ----------
    files : Files
        The files of the folder.
    """

    def __init__(self, files: Files):
        self.files = files
        self._current = 0
        self._last_index: dict[int, LogIndex] = {}

    def load(self, names: list[str], snapshot: Snapshot | None) -> tuple[LogEntry, ...]:
        """Return the entries after a snapshot, and rewrite them to a new segment.

        If a sync failed before the restart, the bytes that were read may exist only
        in the page cache. Rewriting and syncing them makes them durable.

        Raises
        ------
        CorruptionError
            A segment is corrupt or missing.
        """
        segments = sorted(name for name in names if name.startswith(SEGMENT_PREFIX))
        if not segments:
            return ()
        batches = self._read_batches(segments)
        entries = rebuild_log(batches, snapshot, self.files.folder)
        self._current = _number(segments[-1])
        for name in segments:
            self._last_index[_number(name)] = LogIndex(0)
        self.replace(entries)
        return entries

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Make entries durable."""
        is_new = self._current not in self._last_index
        name = _name(self._current)
        self.files.append(name, _encode(EntryBatch(False, entries)))
        self.files.sync(name)
        if is_new:
            self.files.sync_folder()
        last_index = self._last_index.get(self._current, LogIndex(0))
        self._last_index[self._current] = max(last_index, entries[-1].index)

    def replace(self, entries: tuple[LogEntry, ...]) -> None:
        """Replace all earlier entries by these, durably."""
        self._current += 1
        data = _encode(EntryBatch(True, entries))
        replace_file(self.files, _name(self._current), data)
        for number in sorted(self._last_index):
            self._remove(number)
        last = entries[-1].index if entries else LogIndex(0)
        self._last_index[self._current] = last

    def drop_until(self, index: LogIndex) -> None:
        """Start a new segment, and remove those that a snapshot covers."""
        for number in sorted(self._last_index):
            if self._last_index[number] > index:
                break
            self._remove(number)
        self._current += 1

    def _read_batches(self, segments: list[str]) -> list[EntryBatch]:
        batches: list[EntryBatch] = []
        for name in reversed(segments):
            batches = self._read_segment(name, name == segments[-1]) + batches
            if batches and batches[0].replaces_log:
                break
        return batches

    def _read_segment(self, name: str, may_be_torn: bool) -> list[EntryBatch]:
        data = self.files.read(name)
        scan = scan_records(data)
        if scan.corrupt or (scan.torn and not may_be_torn):
            raise make_corruption_error(self.files, name, scan.valid_bytes)
        if scan.torn:
            log_event(
                log,
                "torn_tail_cut",
                file=f"{self.files.folder}/{name}",
                offset_bytes=scan.valid_bytes,
                size_bytes=len(data) - scan.valid_bytes,
            )
        return [
            decode_value(self.files, name, content, EntryBatch)
            for content in scan.contents
        ]

    def _remove(self, number: int) -> None:
        self.files.remove(_name(number))
        self.files.sync_folder()
        del self._last_index[number]


def _encode(batch: EntryBatch) -> bytes:
    return encode_record(msgspec.msgpack.encode(batch))


def _name(number: int) -> str:
    return f"{SEGMENT_PREFIX}{number:012}"


def _number(name: str) -> int:
    return int(name.removeprefix(SEGMENT_PREFIX))
