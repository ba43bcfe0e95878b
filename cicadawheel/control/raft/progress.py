"""Replication progress of one peer, as tracked by the leader."""

from collections import deque

from cicadawheel.control.raft.entry import Snapshot
from cicadawheel.ids import LogIndex

IN_FLIGHT_LIMIT_APPENDS = 8


class Progress:
    """Replication progress of one peer.

    Parameters
    ----------
    next_index : LogIndex
        The index of the next entry to send.
    now_ms : float
        The current time, used as the initial time of the last message from the peer.
    """

    def __init__(self, next_index: LogIndex, now_ms: float):
        self.next_index = next_index
        self.match_index = LogIndex(0)
        self.heard_ms = now_ms
        self.sent_ms = float("-inf")
        self.sent_commit = LogIndex(0)
        self.sent_round = 0
        self.acked_round = 0
        self._target_index = LogIndex(0)
        self._target_set_ms = float("-inf")
        self.snapshot: Snapshot | None = None
        self.snapshot_offset_bytes = 0
        self.chunk_in_flight = False
        self._in_flight: deque[LogIndex] = deque()

    def has_window_space(self) -> bool:
        """Return whether the window of unacknowledged appends has space."""
        return len(self._in_flight) < IN_FLIGHT_LIMIT_APPENDS

    def record_sent(self, last_index: LogIndex) -> None:
        """Record that entries up to an index were sent."""
        self._in_flight.append(last_index)
        self.next_index = LogIndex(last_index + 1)

    def is_active(self, now_ms: float, timeout_ms: float) -> bool:
        """Return whether the peer was heard from within a timeout."""
        return now_ms - self.heard_ms < timeout_ms

    def is_caught_up(
        self, commit_index: LogIndex, now_ms: float, limit_ms: float
    ) -> bool:
        """Return whether the peer holds every committed entry but the latest.

        While commands are being committed, a peer may never hold all entries at one
        moment. It is enough that it took less than ``limit_ms`` to reach the commit
        index of an earlier call.
        """
        if self.match_index >= commit_index:
            return True
        if self.match_index < self._target_index:
            return False
        in_time = now_ms - self._target_set_ms < limit_ms
        self._target_index = commit_index
        self._target_set_ms = now_ms
        return in_time

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Start sending a snapshot, before any further entries."""
        self.snapshot = snapshot
        self.snapshot_offset_bytes = 0
        self.chunk_in_flight = False

    def record_match(self, index: LogIndex) -> None:
        """Record that the peer durably matches the log up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, LogIndex(self.match_index + 1))
        while self._in_flight and self._in_flight[0] <= self.match_index:
            self._in_flight.popleft()
        if self.snapshot is not None and self.match_index >= self.snapshot.index:
            self.snapshot = None

    def record_rejection(self, prev_index: LogIndex, hint: LogIndex) -> None:
        """Move back after a rejected append, unless the rejection is stale."""
        if prev_index >= self.next_index or prev_index <= self.match_index:
            return
        self._in_flight.clear()
        self.next_index = max(
            LogIndex(self.match_index + 1), min(LogIndex(hint + 1), prev_index)
        )

    def rewind(self) -> None:
        """Resume after the last acknowledged entry; drop what is in flight."""
        self.next_index = LogIndex(self.match_index + 1)
        self.chunk_in_flight = False
        self._in_flight.clear()
