"""Open-loop load generator: send times don't depend on answers.

Latency is measured from the intended send time, which avoids coordinated omission:
a stalled system can't hide its stalls by delaying the load.
"""

import asyncio
import gc
import random
from collections.abc import Sequence

import msgspec

from bench.arrivals import Arrivals
from bench.caller import Caller
from bench.calls import Call, CallDrawer, CallKind, CallOutcome, Reply, judge
from bench.content import HEADER_DATA_CENTRE, HEADER_UPSTREAM, HEADER_VERSION
from bench.load_result import CallRecord, LoadResult, LostAttempt
from bench.pacing import Pacer, now_ms, unix_ms
from cicadawheel.errors import ConnectionLostError
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

GRACE_MS = 1_000.0
RESEND_DELAY_MS = 50.0


class LoadPlan(msgspec.Struct, frozen=True):
    """The parameters of a load. Calls before ``warm_up_ms`` are checked, but not timed.

    A call without an answer is sent again with the same key through another entry,
    up to ``attempts`` times in all.
    """

    name: str
    entries: tuple[Address, ...]
    kinds: tuple[CallKind, ...]
    arrivals: Arrivals
    duration_ms: float
    seed: int
    warm_up_ms: float = 0.0
    attempts: int = 4


class Load:
    """Runs a plan, once or in several slices whose results are accumulated.

    Parameters
    ----------
    plan : LoadPlan
        The parameters of the load.
    """

    def __init__(self, plan: LoadPlan):
        self.plan = plan
        self.result = LoadResult(plan.name)
        self._rng = random.Random(plan.seed)
        self._callers = [Caller(address) for address in plan.entries]
        prefix = f"{plan.name}-{plan.seed}-{self._rng.getrandbits(48):012x}"
        self._drawer = CallDrawer(plan.kinds, self._rng, prefix)
        self._started_ms = 0.0
        self._pacer = Pacer()
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> LoadResult:
        """Send all calls, wait until they end and return the result."""
        self._started_ms = now_ms()
        times_ms = self.plan.arrivals.times_ms(self._rng, self.plan.duration_ms)
        await self._pacer.run(self._started_ms, times_ms, self._send)
        if self._tasks:
            await asyncio.gather(*self._tasks)
        self.result.duration_ms += now_ms() - self._started_ms
        return self.result

    def stop(self) -> None:
        """Stop sending new calls."""
        self._pacer.stop()

    def close(self) -> None:
        """Close the idle connections."""
        for caller in self._callers:
            caller.close()

    def _send(self, at_ms: float) -> None:
        entry = self._rng.randrange(len(self._callers))
        call = self._drawer.draw()
        task = asyncio.ensure_future(self._call(call, entry, at_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, call: Call, entry: int, at_ms: float) -> None:
        due_ms = self._started_ms + at_ms
        sent_at_ms = unix_ms()
        refused = []
        attempts = 0
        while True:
            attempt = f"{call.token}.{attempts}"
            attempts += 1
            reply = await self._attempt(call, entry, attempt)
            outcome = judge(call, reply)
            if outcome is CallOutcome.NOT_RUN:
                refused.append(attempt)
            if outcome is not CallOutcome.LOST or attempts >= self.plan.attempts:
                break
            await asyncio.sleep(RESEND_DELAY_MS / MS_PER_S)
            entry = (entry + 1) % len(self._callers)
        record = CallRecord(
            token=call.token,
            kind=call.kind.name,
            key=call.key,
            sent_at_ms=sent_at_ms,
            latency_ms=now_ms() - due_ms,
            outcome=outcome,
            attempts=attempts,
            refused_attempts=tuple(refused),
            status=reply.status if reply else 0,
            upstream=reply.text(HEADER_UPSTREAM) if reply else "",
            version=reply.text(HEADER_VERSION) if reply else "",
            data_centre=reply.text(HEADER_DATA_CENTRE) if reply else "",
        )
        self.result.add(record, timed=at_ms >= self.plan.warm_up_ms)

    async def _attempt(self, call: Call, entry: int, attempt: str) -> Reply | None:
        limit_s = (call.kind.deadline_ms + GRACE_MS) / MS_PER_S
        began_ms = unix_ms()
        try:
            async with asyncio.timeout(limit_s):
                return await self._callers[entry].exchange(call, attempt)
        except (ConnectionLostError, TimeoutError) as error:
            timed_out = isinstance(error, TimeoutError)
            lost = LostAttempt(attempt, entry, began_ms, unix_ms(), timed_out)
            self.result.lost.append(lost)
            return None


async def run_load(plan: LoadPlan) -> LoadResult:
    """Run a plan and return its result."""
    load = Load(plan)
    gc.collect()
    gc.freeze()
    try:
        return await load.run()
    finally:
        gc.unfreeze()
        load.close()


async def run_loads(plans: Sequence[LoadPlan]) -> list[LoadResult]:
    """Run several plans concurrently and return their results in order."""
    return list(await asyncio.gather(*(run_load(plan) for plan in plans)))
