"""Tells a crash of the upstream from the loss of one connection.

When connections are lost, the refusals of their calls are held back until it is
known whether the upstream still listens. After a crash they are held a little
longer, until the other gates of the service have heard of the suspects.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from cicadawheel.gate.suspects import Suspects
from cicadawheel.http.upstream import ExchangeEnd, UpstreamPool
from cicadawheel.ids import NodeId
from cicadawheel.messages import CrashNotice
from cicadawheel.timer import MS_PER_S, Clock

GATHER_MS = 5.0
SPREAD_MS = 50.0


class LostCall(Protocol):
    """A call whose exchange with the upstream was lost."""

    def end_exchange(self, end: ExchangeEnd) -> None:
        """Refuse the call, as its exchange has ended."""


class _Held(msgspec.Struct, frozen=True):
    call: LostCall
    end: ExchangeEnd


class CrashWatch:
    """Holds the refusals of lost calls back until their cause is known.

    Parameters
    ----------
    suspects : Suspects
        Takes the crashes.
    pool : UpstreamPool
        Shows whether the upstream listens.
    on_died : Callable
        Called at a crash with what to tell the other gates, or None.
    clock : Clock
        Where the time comes from.
    """

    def __init__(
        self,
        suspects: Suspects,
        pool: UpstreamPool,
        on_died: Callable[[CrashNotice | None], None],
        clock: Clock,
    ):
        self.suspects = suspects
        self.pool = pool
        self.on_died = on_died
        self.clock = clock
        self.dead = False
        self._held: list[_Held] = []
        self._check: asyncio.Task | None = None

    def exchange_lost(
        self, call: LostCall, end: ExchangeEnd, testers: list[NodeId]
    ) -> None:
        """Hold a call's refusal back, and check on the upstream."""
        self._held.append(_Held(call, end))
        if self._check is None:
            self._check = asyncio.ensure_future(self._check_upstream(testers))

    def upstream_restarted(self, testers: list[NodeId], now_ms: float) -> None:
        """Take a new boot of the upstream for a crash, if calls were lost."""
        known, self.dead = self.dead, False
        notice = self.suspects.upstream_died(testers, now_ms, known)
        if notice is not None:
            self.on_died(notice)

    async def _check_upstream(self, testers: list[NodeId]) -> None:
        try:
            await asyncio.sleep(GATHER_MS / MS_PER_S)
            if not await self.pool.is_listening():
                self._died(testers)
                await asyncio.sleep(SPREAD_MS / MS_PER_S)
        finally:
            self._check = None
            self._release()

    def _died(self, testers: list[NodeId]) -> None:
        known, self.dead = self.dead, True
        now_ms = self.clock.now_ms()
        self.on_died(self.suspects.upstream_died(testers, now_ms, known))

    def _release(self) -> None:
        held, self._held = self._held, []
        for item in held:
            item.call.end_exchange(item.end)
