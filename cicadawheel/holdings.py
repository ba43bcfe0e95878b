"""Account of the bytes that a process holds for the clients of its ports.

Holds no bytes itself: connections report what they hold and what moves, and the account
decides who is no longer read, who is ended, and when new work is refused.
"""

import heapq
import logging
from collections import Counter
from enum import Enum
from typing import Protocol

from cicadawheel.http.pieces import PieceTurns
from cicadawheel.logs import log_event
from cicadawheel.settings import HoldingSettings
from cicadawheel.timer import MS_PER_S, Clock

log = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 500.0
"""How often rates are measured; several times within the grace."""
CALM_SHARE = 0.25
"""Share of the limits up to which slow clients are left alone, as nothing is short."""
CALM_AFTER_MS = 30_000.0
"""How long they are ended after that: those that slow down again stay a crowd."""
PAUSE_SHARE = 0.5
"""Share of the limit above which the largest holders are no longer read."""
END_SHARE = 0.8
"""Share above which holders are ended, down to the share at which they are paused.

The rest is kept for ordinary requests.
"""
STALLED_MS = 1_000.0
"""A client that has sent or taken nothing for this long is ended before others."""
DEFAULT_CLIENTS_LIMIT = 1_024
"""How many clients a process serves at a time, where its settings don't tell."""
ORDINARY_BYTES = 16_384
"""A holder of no more than this is never ended for the sake of others."""


class HoldingKind(Enum):
    """What the bytes belong to."""

    EXCHANGE = "exchange"
    CALLER = "caller"
    GATE = "gate"


class EndReason(Enum):
    """The limit that a holder met."""

    TOO_SLOW = "too slow"
    TOO_MUCH = "too much held"


class Holder(Protocol):
    """A connection or call that holds bytes."""

    def pause_holding(self) -> None:
        """Take no more bytes until `resume_holding`."""

    def resume_holding(self) -> None:
        """Take bytes again."""

    def end_holding(self, reason: EndReason) -> None:
        """Release all that is held, and end the connection or call."""


class Holding:
    """The bytes held for one request, response or exchange.

    Parameters
    ----------
    account : Holdings
        The account of the process.
    kind : HoldingKind
        What the bytes belong to.
    peer : str
        The client, as the log names it.
    holder : Holder
        Is paused and ended.
    """

    __slots__ = (
        "_moved_at_ms",
        "_moved_bytes",
        "_waiting_since_ms",
        "account",
        "held_bytes",
        "holder",
        "kind",
        "paused",
        "peer",
    )

    def __init__(
        self, account: "Holdings", kind: HoldingKind, peer: str, holder: Holder
    ):
        self.account = account
        self.kind = kind
        self.peer = peer
        self.holder = holder
        self.held_bytes = 0
        self.paused = False
        self._moved_bytes = 0
        self._moved_at_ms = 0.0
        self._waiting_since_ms: float | None = None

    def hold(self, size_bytes: int) -> None:
        """Set how much is held; the holder may be paused or ended by it."""
        self.account.record(self, size_bytes)

    def move(self, size_bytes: int) -> None:
        """Count bytes that the client has sent or taken."""
        if size_bytes:
            self._moved_bytes += size_bytes
            self._moved_at_ms = self.account.clock.now_ms()

    def expect(self, waits: bool) -> None:
        """State whether the client is to send or take bytes now.

        Its rate is measured from then on. Nobody is slow while we don't read.
        """
        if not waits:
            self._waiting_since_ms = None
        elif self._waiting_since_ms is None:
            self._waiting_since_ms = self._moved_at_ms = self.account.clock.now_ms()
            self._moved_bytes = 0

    def release(self) -> None:
        """Remove the holding from the account."""
        self.account.remove(self)

    @property
    def is_waited_for(self) -> bool:
        """Whether the client is to send or take bytes now."""
        return self._waiting_since_ms is not None

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether the client was to act and has done nothing for a while."""
        if self._waiting_since_ms is None or self.paused:
            return False
        return now_ms - self._moved_at_ms >= STALLED_MS

    def measure(self, now_ms: float, settings: HoldingSettings) -> bool:
        """Return whether the client was slower than the minimum rate, once a grace."""
        if self._waiting_since_ms is None or self.paused:
            return False
        waited_ms = now_ms - self._waiting_since_ms
        if waited_ms < settings.rate_grace_ms:
            return False
        least_bytes = settings.rate_min_bytes_per_s * waited_ms / MS_PER_S
        is_slow = self._moved_bytes < least_bytes
        self._waiting_since_ms = now_ms
        self._moved_bytes = 0
        return is_slow


class Holdings:
    """All that one process holds for clients.

    Parameters
    ----------
    settings : HoldingSettings
        What may be held, and the minimum rate.
    clock : Clock
        The time source.
    clients_limit : int
        How many clients the process serves at a time.
    """

    def __init__(
        self,
        settings: HoldingSettings,
        clock: Clock,
        clients_limit: int = DEFAULT_CLIENTS_LIMIT,
    ):
        self.settings = settings
        self.clock = clock
        self.clients_limit = clients_limit
        self.total_bytes = 0
        self.ended: Counter[EndReason] = Counter()
        self._open: dict[Holding, None] = {}
        self.piece_turns = PieceTurns()
        self._short_at_ms = -CALM_AFTER_MS

    def open(self, kind: HoldingKind, peer: str, holder: Holder) -> Holding:
        """Return a new holding, with nothing held yet."""
        holding = Holding(self, kind, peer, holder)
        self._open[holding] = None
        return holding

    def admits(self, has_body: bool) -> bool:
        """Return whether a new request may begin.

        Those with a body are refused first, as they may be large.
        """
        share = END_SHARE if has_body else 1.0
        return self.total_bytes < share * self.settings.held_bytes

    def bytes_by_kind(self) -> dict[HoldingKind, int]:
        """Return the sum of each kind, for metrics."""
        sums = dict.fromkeys(HoldingKind, 0)
        for holding in self._open:
            sums[holding.kind] += holding.held_bytes
        return sums

    def record(self, holding: Holding, size_bytes: int) -> None:
        """Set the bytes of a holding, and keep the sum under its limit."""
        if size_bytes == holding.held_bytes or holding not in self._open:
            return
        grows = size_bytes > holding.held_bytes
        self.total_bytes += size_bytes - holding.held_bytes
        holding.held_bytes = size_bytes
        if holding.paused and size_bytes <= ORDINARY_BYTES:
            self._resume(holding)
        if not grows:
            return
        if self.total_bytes > CALM_SHARE * self.settings.held_bytes:
            self._short_at_ms = self.clock.now_ms()
        if self.total_bytes > END_SHARE * self.settings.held_bytes:
            self._end_largest()
        if self.total_bytes > PAUSE_SHARE * self.settings.held_bytes:
            self._pause(holding)

    def remove(self, holding: Holding) -> None:
        """Remove a holding."""
        if holding in self._open:
            del self._open[holding]
            self.total_bytes -= holding.held_bytes

    def check(self, now_ms: float) -> None:
        """End the clients that are too slow, and read paused ones again.

        In calm nobody is too slow. Nobody is read again until enough is free, and then
        the smallest come first.
        """
        slow = [one for one in self._open if one.measure(now_ms, self.settings)]
        if not self._is_calm(now_ms):
            for holding in slow:
                self._end(holding, EndReason.TOO_SLOW)
        paused = [one for one in self._open if one.paused]
        free_bytes = PAUSE_SHARE * self.settings.held_bytes - self.total_bytes
        for holding in sorted(paused, key=_size):
            free_bytes -= max(holding.held_bytes, ORDINARY_BYTES)
            if free_bytes < 0:
                break
            self._resume(holding)

    def _is_calm(self, now_ms: float) -> bool:
        """Return whether little is held and few clients are waited for, as before."""
        waited_for = sum(one.is_waited_for for one in self._open)
        is_full = self.total_bytes > CALM_SHARE * self.settings.held_bytes
        if is_full or waited_for > CALM_SHARE * self.clients_limit:
            self._short_at_ms = now_ms
        return now_ms - self._short_at_ms >= CALM_AFTER_MS

    def _pause(self, holding: Holding) -> None:
        """Pause a holder that has grown, unless it holds little."""
        if holding.paused or holding.held_bytes <= ORDINARY_BYTES:
            return
        if holding in self._open:
            holding.paused = True
            holding.holder.pause_holding()

    def _resume(self, holding: Holding) -> None:
        holding.paused = False
        holding.holder.resume_holding()

    def _end_largest(self) -> None:
        """End holders, stalled ones first, then the largest, until there is room."""
        now_ms = self.clock.now_ms()
        excess_bytes = self.total_bytes - PAUSE_SHARE * self.settings.held_bytes
        large = [one for one in self._open if one.held_bytes > ORDINARY_BYTES]
        heap = [
            (not one.is_stalled(now_ms), -one.held_bytes, i)
            for i, one in enumerate(large)
        ]
        heapq.heapify(heap)
        while heap and excess_bytes > 0:
            holding = large[heapq.heappop(heap)[2]]
            excess_bytes -= holding.held_bytes
            self._end(holding, EndReason.TOO_MUCH)

    def _end(self, holding: Holding, reason: EndReason) -> None:
        if holding not in self._open:
            return
        log_event(
            log,
            "client_ended",
            warning=True,
            peer=holding.peer,
            kind=holding.kind.value,
            reason=reason.value,
            held_bytes=holding.held_bytes,
            total_bytes=self.total_bytes,
            limit_bytes=self.settings.held_bytes,
        )
        self.ended[reason] += 1
        self.remove(holding)
        holding.holder.end_holding(reason)


def _size(holding: Holding) -> int:
    return holding.held_bytes
