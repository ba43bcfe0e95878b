"""The attempts of one call: each hands it to one gate."""

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
    """Reaches the gates of upstreams, and hears what became of attempts."""

    def open(self, member: Member, call: CallOpen, sink: ReplySink) -> CallHandle:
        """Hand an attempt to the gate of an upstream."""

    def hedge_delay_ms(self, plan: CallPlan) -> float | None:
        """Return how long to wait before a second attempt, None for never."""

    def attempt_cancelled(self, plan: CallPlan, pick: Pick, late: bool) -> None:
        """Take note that nobody waits for an attempt any more."""


class Attempt:
    """One handing over of the call to a gate."""

    __slots__ = ("handle", "live", "node", "pick")

    def __init__(self, pick: Pick):
        self.pick = pick
        self.node = pick.member.node
        self.handle: CallHandle | None = None
        self.live = True

    def end(self) -> None:
        """Take no more messages.

        The gate's call refers to the entry's call: without the handle there is no
        cycle, so that both are freed at once and not by a garbage collection.
        """
        self.live = False
        self.handle = None


Receive = Callable[[Attempt, ReplyMessage], None]


class Attempts:
    """The attempts of one call that still wait for an answer, and those before.

    Parameters
    ----------
    entry : Gates
        Reaches the gates.
    plan : CallPlan
        How the call is to be served.
    """

    def __init__(self, entry: Gates, plan: CallPlan):
        self.entry = entry
        self.plan = plan
        self.count = 0
        self.reached = 0
        self.tried: set[NodeId] = set()
        self.live: list[Attempt] = []
        self._hedge_timer: asyncio.TimerHandle | None = None

    def open(self, pick: Pick, call: CallOpen, receive: Receive) -> Attempt:
        """Hand the call to the gate that was picked.

        ``receive`` takes the attempt and each message of its gate.
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

    def drop(self, attempt: Attempt) -> None:
        """Take note that an attempt has ended."""
        attempt.end()
        self.live.remove(attempt)

    def unreached(self) -> None:
        """Take note that an attempt has ended before it reached its upstream."""
        self.reached -= 1

    def keep_only(self, winner: Attempt) -> None:
        """Cancel all but the one that has answered."""
        self.cancel_hedge()
        for attempt in self.live:
            if attempt is not winner:
                self._cancel(attempt, "another answered first", late=False)
        self.live = [winner]

    def cancel_all(self, reason: str, late: bool) -> None:
        """Cancel all; ``late`` says that they have missed the deadline."""
        for attempt in self.live:
            self._cancel(attempt, reason, late)
        self.live = []

    def give_credit(self, size_bytes: int) -> None:
        """Let the gate that answers send more of its answer."""
        if size_bytes and self.live:
            handle = self.live[0].handle
            handle.receive(Credit(handle.stream, size_bytes))

    def plan_hedge(self, hedge: Callable[[], None]) -> None:
        """Call ``hedge`` when the first attempt is unusually late, if ever."""
        delay_ms = self.entry.hedge_delay_ms(self.plan)
        if delay_ms is not None:
            loop = asyncio.get_running_loop()
            self._hedge_timer = loop.call_later(delay_ms / MS_PER_S, hedge)

    def cancel_hedge(self) -> None:
        """Make no second attempt beside the first."""
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
            self._hedge_timer = None

    def _cancel(self, attempt: Attempt, reason: str, late: bool) -> None:
        handle = attempt.handle
        attempt.end()
        if handle is not None:
            handle.receive(Cancel(handle.stream, reason))
        self.entry.attempt_cancelled(self.plan, attempt.pick, late)
