"""Rebuilds the log from the batches of entries on disk."""

from typing import Protocol

from cicadawheel.control.raft.entry import LogEntry, Snapshot
from cicadawheel.errors import CorruptionError


class Batch(Protocol):
    """Entries that were written in one record."""

    replaces_log: bool
    entries: tuple[LogEntry, ...]


def rebuild_log(
    batches: list[Batch], snapshot: Snapshot | None, folder: str
) -> tuple[LogEntry, ...]:
    """Return the entries after the snapshot.

    An entry overwrites all earlier ones from its index on. If the entry at the
    snapshot's index has another term, the snapshot supersedes all entries.

    Raises
    ------
    CorruptionError
        The log has a gap.
    """
    entries: list[LogEntry] = []
    for batch in batches:
        if batch.replaces_log:
            entries.clear()
        for entry in batch.entries:
            _append_entry(entries, entry, folder)
    if snapshot is not None:
        entries = _after_snapshot(entries, snapshot)
    first = snapshot.index + 1 if snapshot is not None else 1
    if entries and entries[0].index != first:
        raise _missing_entries_error(entries[0], folder)
    return tuple(entries)


def _append_entry(entries: list[LogEntry], entry: LogEntry, folder: str) -> None:
    if entries and entry.index > entries[-1].index + 1:
        raise _missing_entries_error(entry, folder)
    while entries and entries[-1].index >= entry.index:
        entries.pop()
    entries.append(entry)


def _after_snapshot(entries: list[LogEntry], snapshot: Snapshot) -> list[LogEntry]:
    for entry in entries:
        if entry.index == snapshot.index and entry.term != snapshot.term:
            return []
    return [entry for entry in entries if entry.index > snapshot.index]


def _missing_entries_error(entry: LogEntry, folder: str) -> CorruptionError:
    return CorruptionError(
        f"entries of the log before {entry.index} are missing in {folder}; remove "
        f"this replica from the members, and add it again with an empty folder "
        f"under a new replica id",
        step="load",
        peer=folder,
    )
