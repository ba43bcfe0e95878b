"""Distinguishes a crash of the upstream from the loss of single connections.

When connections are lost, the refusals of their calls are delayed until it is known
whether the upstream still listens. After a crash they are delayed a little longer, so
that the suspects reach the other gates of the service before any retry does.
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

CHECK_DELAY_MS = 5.0
NOTICE_PROPAGATION_MS = 50.0


class LostCall(Protocol):
    """A call that lost its exchange with the upstream."""

    def end_exchange(self, end: ExchangeEnd) -> None:
        """Refuse the call with the reason that belongs to the end of its exchange."""


class _DelayedRefusal(msgspec.Struct, frozen=True):
    call: LostCall
    end: ExchangeEnd


class CrashWatch:
    """Delays the refusals of lost calls until the cause of the loss is known.

    Parameters
    ----------
    suspects : Suspects
        Records the crashes.
    pool : UpstreamPool
        Checks whether the upstream still listens.
    on_died : Callable
        Called after a crash with the notice for the other gates, or None.
    clock : Clock
        The source of the time.
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
        self._delayed: list[_DelayedRefusal] = []
        self._check: asyncio.Task | None = None

    def exchange_lost(
        self, call: LostCall, end: ExchangeEnd, testers: list[NodeId]
    ) -> None:
        """Delay the refusal of a call and check whether the upstream still listens."""
        self._delayed.append(_DelayedRefusal(call, end))
        if self._check is None:
            self._check = asyncio.ensure_future(self._check_upstream(testers))

    def upstream_restarted(self, testers: list[NodeId], now_ms: float) -> None:
        """Treat a new boot of the upstream as a crash if calls were lost."""
        already_dead, self.dead = self.dead, False
        notice = self.suspects.upstream_died(testers, now_ms, already_dead)
        if notice is not None:
            self.on_died(notice)

    async def _check_upstream(self, testers: list[NodeId]) -> None:
        try:
            await asyncio.sleep(CHECK_DELAY_MS / MS_PER_S)
            if not await self.pool.is_listening():
                self._died(testers)
                await asyncio.sleep(NOTICE_PROPAGATION_MS / MS_PER_S)
        finally:
            self._check = None
            self._refuse_delayed()

    def _died(self, testers: list[NodeId]) -> None:
        already_dead, self.dead = self.dead, True
        now_ms = self.clock.now_ms()
        self.on_died(self.suspects.upstream_died(testers, now_ms, already_dead))

    def _refuse_delayed(self) -> None:
        delayed, self._delayed = self._delayed, []
        for item in delayed:
            item.call.end_exchange(item.end)
