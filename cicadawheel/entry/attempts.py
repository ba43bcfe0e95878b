"""The attempts of one call, each of which dispatches it to one gate."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from cicadawheel.configuration import Member
from cicadawheel.entry.peers import CallHandle
from cicadawheel.entry.plan import CallPlan
from cicadawheel.entry.versions import Pick
from cicadawheel.ids import NodeId
from cicadawheel.messages import CallOpen, Cancel, Credit, ReplyMessage, ReplySink
from cicadawheel.timer import MS_PER_S


class Gates(Protocol):
    """What the attempts of a call need of its entry."""

    def open(self, member: Member, call: CallOpen, sink: ReplySink) -> CallHandle:
        """Dispatch an attempt to the gate of an upstream."""

    def hedge_delay_ms(self, plan: CallPlan) -> float | None:
        """Return the delay after which a call is hedged, None if it never is."""

    def attempt_cancelled(self, plan: CallPlan, pick: Pick, late: bool) -> None:
        """Record that an attempt was cancelled; ``late`` if the deadline passed."""


class Attempt:
    """One dispatch of a call to a gate."""

    __slots__ = ("handle", "live", "node", "pick")

    def __init__(self, pick: Pick):
        self.pick = pick
        self.node = pick.member.node
        self.handle: CallHandle | None = None
        self.live = True

    def end(self) -> None:
        """Ignore any further messages.

        The gate's call refers to the entry's call. Dropping the handle breaks that
        reference cycle, so that both are freed at once, without a garbage collection.
        """
        self.live = False
        self.handle = None


Receive = Callable[[Attempt, ReplyMessage], None]


class Attempts:
    """The attempts of one call: those in progress, and a record of the earlier ones.

    Parameters
    ----------
    entry : Gates
        Dispatches attempts to gates.
    plan : CallPlan
        How the call is to be served.
    """

    def __init__(self, entry: Gates, plan: CallPlan):
        self.entry = entry
        self.plan = plan
        self.count = 0
        self.reached = 0
        self.tried: set[NodeId] = set()
        self.busy: set[NodeId] = set()
        """The gates that had no free slot; each refuses a call as busy only once."""
        self.live: list[Attempt] = []
        self._hedge_timer: asyncio.TimerHandle | None = None

    def open(self, pick: Pick, call: CallOpen, receive: Receive) -> Attempt:
        """Dispatch the call to the selected gate.

        ``receive`` is called with the attempt and each message from its gate.
        """
        attempt = Attempt(pick)
        self.count += 1
        self.reached += 1
        self.tried.add(attempt.node)
        self.live.append(attempt)

        def sink(message: ReplyMessage) -> None:
            if attempt.live:
                receive(attempt, message)

        handle = self.entry.open(pick.member, call, sink)
        if attempt.live:
            attempt.handle = handle
        return attempt

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended."""
        attempt.end()
        self.live.remove(attempt)

    def mark_unreached(self) -> None:
        """Record that an attempt has ended before it reached its upstream."""
        self.reached -= 1

    @property
    def dispatches(self) -> int:
        """The number of attempts, without those that a busy gate refused at once."""
        return self.count - len(self.busy)

    def cancel_others(self, winner: Attempt) -> None:
        """Cancel all attempts but the one that has answered."""
        self.cancel_hedge()
        for attempt in self.live:
            if attempt is not winner:
                self._cancel(attempt, "another answered first", late=False)
        self.live = [winner]

    def cancel_all(self, reason: str, late: bool) -> None:
        """Cancel all attempts; ``late`` if they have missed the deadline."""
        for attempt in self.live:
            self._cancel(attempt, reason, late)
        self.live = []

    def give_credit(self, size_bytes: int) -> None:
        """Grant the answering gate credit for more of its answer."""
        if size_bytes and self.live:
            handle = self.live[0].handle
            handle.receive(Credit(handle.stream, size_bytes))

    def schedule_hedge(self, hedge: Callable[[], None]) -> None:
        """Schedule ``hedge`` after the hedge delay, if the call may be hedged."""
        delay_ms = self.entry.hedge_delay_ms(self.plan)
        if delay_ms is not None:
            loop = asyncio.get_running_loop()
            self._hedge_timer = loop.call_later(delay_ms / MS_PER_S, hedge)

    def cancel_hedge(self) -> None:
        """Cancel a scheduled hedge."""
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
            self._hedge_timer = None

    def _cancel(self, attempt: Attempt, reason: str, late: bool) -> None:
        handle = attempt.handle
        attempt.end()
        if handle is not None:
            handle.receive(Cancel(handle.stream, reason))
        self.entry.attempt_cancelled(self.plan, attempt.pick, late)
