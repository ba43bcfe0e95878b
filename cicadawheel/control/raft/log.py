"""The in-memory Raft log, with the position of durable entries."""

from bisect import bisect_left

from cicadawheel.control.raft.entry import CommandData, LogEntry, SavedState
from cicadawheel.control.raft.membership import Membership
from cicadawheel.ids import LogIndex, Term

ENTRY_OVERHEAD_BYTES = 64


class RaftLog:
    """The log entries after ``base_index``; earlier ones are compacted.

    Parameters
    ----------
    saved : SavedState
        The state loaded from storage; all of it is durable.
    """

    def __init__(self, saved: SavedState):
        self.entries: list[LogEntry] = list(saved.entries)
        self.base_index = LogIndex(0)
        self.base_term = Term(0)
        self._memberships = [(0, saved.bootstrap)]
        if saved.snapshot is not None:
            self.base_index = saved.snapshot.index
            self.base_term = saved.snapshot.term
            self._memberships = [(self.base_index, saved.snapshot.membership)]
        self._record_memberships(self.entries)
        self.persisted_index = self.last_index
        self._next_write = self.last_index + 1
        self._writing_index = self.last_index

    @property
    def last_index(self) -> LogIndex:
        """The index of the last entry."""
        return LogIndex(self.base_index + len(self.entries))

    @property
    def last_term(self) -> Term:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def membership(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> LogIndex:
        """The index of the entry that holds the latest membership."""
        return LogIndex(self._memberships[-1][0])

    def membership_at(self, index: LogIndex) -> Membership:
        """Return the membership in force at an index."""
        for at, membership in reversed(self._memberships):
            if at <= index:
                return membership
        return self._memberships[0][1]

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of an entry, or None if the entry isn't in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def first_index_of_term(self, term: Term) -> LogIndex:
        """Return the first index in the log whose term isn't older than a term."""
        offset = bisect_left(self.entries, term, key=lambda entry: entry.term)
        return LogIndex(self.base_index + offset + 1)

    def slice(
        self, first: LogIndex, last: LogIndex, limit_bytes: int
    ) -> tuple[LogEntry, ...]:
        """Return entries up to about a size limit, but at least one."""
        chosen = []
        size_bytes = 0
        for index in range(first, last + 1):
            entry = self.entries[index - self.base_index - 1]
            size_bytes += _size_bytes(entry)
            if chosen and size_bytes > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries that follow the last one."""
        self.entries += entries
        self._record_memberships(entries)

    def truncate(self, last: LogIndex) -> None:
        """Remove all entries after an index."""
        del self.entries[last - self.base_index :]
        self._memberships = [one for one in self._memberships if one[0] <= last]
        self._truncate_writes(last)

    def compact(self, index: LogIndex) -> None:
        """Remove the entries up to an index, which a snapshot covers."""
        if index <= self.base_index:
            return
        membership = self.membership_at(index)
        later = [one for one in self._memberships if one[0] > index]
        self.base_term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self._memberships = [(index, membership), *later]
        self._next_write = max(self._next_write, index + 1)

    def reset(self, index: LogIndex, term: Term, membership: Membership) -> None:
        """Remove all entries and restart the log after a snapshot."""
        self.entries.clear()
        self.base_index = index
        self.base_term = term
        self._memberships = [(index, membership)]
        self._truncate_writes(LogIndex(0))
        self._next_write = index + 1

    def begin_write(self) -> tuple[LogEntry, ...]:
        """Start a write and return its entries: those not written yet."""
        entries = tuple(self.entries[self._next_write - self.base_index - 1 :])
        self._writing_index = self.last_index
        self._next_write = self.last_index + 1
        return entries

    def end_write(self) -> None:
        """Record the written entries as durable, except those removed meanwhile."""
        self.persisted_index = max(self.persisted_index, self._writing_index)

    def has_unwritten(self) -> bool:
        """Return whether there are entries that no write has included."""
        return self._next_write <= self.last_index

    def _truncate_writes(self, last: LogIndex) -> None:
        self.persisted_index = min(self.persisted_index, last)
        self._writing_index = min(self._writing_index, last)
        self._next_write = min(self._next_write, last + 1)

    def _record_memberships(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            if isinstance(entry.payload, Membership):
                self._memberships.append((entry.index, entry.payload))


def _size_bytes(entry: LogEntry) -> int:
    payload = entry.payload
    data_bytes = len(payload.data) if isinstance(payload, CommandData) else 0
    return ENTRY_OVERHEAD_BYTES + data_bytes
