"""Tracks which Raft state is durable, and holds messages that depend on it."""

import msgspec

from cicadawheel.control.raft.entry import HardState, SavedState, Snapshot, WriteBatch
from cicadawheel.control.raft.log import RaftLog
from cicadawheel.control.raft.message import RaftMessage
from cicadawheel.ids import ReplicaId


class Outbound(msgspec.Struct, frozen=True):
    """A message and the replica that it is sent to."""

    to: ReplicaId
    message: RaftMessage


class Durability:
    """Builds write batches, and holds back messages until their state is durable.

    Parameters
    ----------
    saved : SavedState
        The state loaded from storage.
    """

    def __init__(self, saved: SavedState):
        self.hard_state = saved.hard_state
        self._writing_state = saved.hard_state
        self._writing_since_ms: float | None = None
        self._snapshot: Snapshot | None = None
        self._replaces_log = False
        self._ready: list[Outbound] = []
        self._held: list[Outbound] = []
        self._writing_held: list[Outbound] = []

    def send(self, to: ReplicaId, message: RaftMessage) -> None:
        """Send a message without waiting for a write."""
        self._ready.append(Outbound(to, message))

    def send_after_write(self, to: ReplicaId, message: RaftMessage) -> None:
        """Send a message once all current state is durable."""
        self._held.append(Outbound(to, message))

    def send_after_term_write(self, to: ReplicaId, message: RaftMessage) -> None:
        """Send a message once its term is durable."""
        if message.term == self.hard_state.term:
            self.send(to, message)
        else:
            self.send_after_write(to, message)

    def take_messages(self) -> list[Outbound]:
        """Return the messages to send now."""
        ready, self._ready = self._ready, []
        return ready

    def add_snapshot(self, snapshot: Snapshot, replaces_log: bool) -> None:
        """Include a snapshot in the next batch."""
        self._snapshot = snapshot
        self._replaces_log = self._replaces_log or replaces_log

    def is_stalled(self, now_ms: float, limit_ms: float) -> bool:
        """Return whether the current write has taken longer than a limit."""
        return self.write_age_ms(now_ms) > limit_ms

    def write_age_ms(self, now_ms: float) -> float:
        """Return how long the current write has taken, 0 if there is none."""
        since_ms = self._writing_since_ms
        return 0.0 if since_ms is None else now_ms - since_ms

    def begin_write(
        self, hard_state: HardState, log: RaftLog, now_ms: float
    ) -> WriteBatch | None:
        """Return the next batch to persist, or None."""
        if self._writing_since_ms is not None:
            return None
        changed = hard_state != self.hard_state
        if not (changed or self._snapshot or log.has_unwritten()):
            self._ready += self._held
            self._held = []
            return None
        batch = WriteBatch(
            hard_state if changed else None,
            self._snapshot,
            self._replaces_log,
            log.begin_write(),
        )
        self._writing_since_ms = now_ms
        self._writing_state = hard_state
        self._writing_held, self._held = self._held, []
        self._snapshot = None
        self._replaces_log = False
        return batch

    def end_write(self, log: RaftLog) -> None:
        """Record that the batch is durable, and release the messages held for it."""
        self._writing_since_ms = None
        self.hard_state = self._writing_state
        log.end_write()
        self._ready += self._writing_held
        self._writing_held = []
