"""The committed part of a replica's log, and how far it was applied."""

from cicadawheel.control.raft.entry import LogEntry, Snapshot
from cicadawheel.control.raft.log import RaftLog
from cicadawheel.ids import LogIndex


class ApplyQueue:
    """Returns committed entries and received snapshots in order of application.

    Parameters
    ----------
    log : RaftLog
        The log of this replica.
    """

    def __init__(self, log: RaftLog):
        self.log = log
        self.commit_index = log.base_index
        self.applied_index = log.base_index
        self._restore: Snapshot | None = None

    def commit(self, index: LogIndex) -> None:
        """Record that the entries up to an index are committed."""
        self.commit_index = max(self.commit_index, index)

    def restore(self, snapshot: Snapshot) -> None:
        """Apply a snapshot from the leader before any later entry."""
        self.commit(snapshot.index)
        self._restore = snapshot

    def take(self) -> list[LogEntry | Snapshot]:
        """Return the items to apply next; all of them are durable on this replica."""
        ready: list[LogEntry | Snapshot] = []
        if self._restore is not None:
            if self.log.persisted_index < self._restore.index:
                return ready
            ready.append(self._restore)
            self.applied_index = self._restore.index
            self._restore = None
        last = LogIndex(min(self.commit_index, self.log.persisted_index))
        if last > self.applied_index:
            base = self.log.base_index
            ready += self.log.entries[self.applied_index - base : last - base]
            self.applied_index = last
        return ready
