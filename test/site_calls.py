"""Sends test calls through the nodes of a site and checks their outcomes."""

import asyncio

import msgspec

from bench.caller import Caller
from bench.calls import Call, CallKind, CallOutcome, judge
from bench.content import block_of
from bench.launcher import wait_for
from bench.record import RecordKind, count_run_of_attempts, read_records, runs_by_key
from cicadawheel.announcement import HEADER_REASON
from cicadawheel.errors import ConnectionLostError
from cicadawheel.timer import MS_PER_S

BOOK = CallKind(
    "book", "booking", "POST", "/bookings", body_bytes=200, never_repeat=True
)
READ = CallKind("calendar", "booking", path="/availability/x", deadline_ms=1_000.0)
CONDITION_TIMEOUT_MS = 20_000.0
RESEND_TIMEOUT_MS = 30_000.0
RESEND_PAUSE_S = 0.05
CALL_TIMEOUT_S = 20.0
SETTLED_REASONS = ("may have run", "finished")


class SiteCalls:
    """Mixin that sends calls; the site class provides ``nodes`` and ``dump``."""

    def __init__(self, folder):
        self.folder = folder
        self.refused = set()
        self._callers = {}
        self._tokens = 0

    def close_callers(self):
        for caller in self._callers.values():
            caller.close()

    async def wait(self, condition, what, timeout_ms=CONDITION_TIMEOUT_MS):
        async def holds():
            return condition()

        await wait_for(holds, what, timeout_ms)

    def make_call(self, kind=BOOK, shared=False):
        """Return a call; a read gets a unique path unless it is shared.

        The detection of requests that crash upstreams treats reads of the same
        path as the same request.
        """
        self._tokens += 1
        token = f"{kind.name}-{self._tokens}"
        if not kind.never_repeat and not shared:
            kind = msgspec.structs.replace(kind, path=f"{kind.path}/{token}")
        return Call(kind, token, block_of(token, kind.name))

    async def send(self, place, call, attempt=0):
        """Send a call through a node; return the reply, or None if there is none."""
        caller = self._callers.setdefault(place.name, Caller(place.caller))
        name = f"{call.token}.{attempt}"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reply = await caller.exchange(call, name)
        except (ConnectionLostError, TimeoutError):
            return None
        if judge(call, reply) is CallOutcome.NOT_RUN:
            self.refused.add(name)
        return reply

    async def outcome(self, place, call, attempt=0):
        return judge(call, await self.send(place, call, attempt))

    async def resend(self, place, call):
        """Resend a call until it is answered or its key is settled."""
        async with asyncio.timeout(RESEND_TIMEOUT_MS / MS_PER_S):
            for attempt in range(1, 1_000):
                reply = await self.send(place, call, attempt)
                outcome = judge(call, reply)
                if outcome is CallOutcome.ANSWERED or is_settled(reply):
                    return outcome
                await asyncio.sleep(RESEND_PAUSE_S)
        return CallOutcome.LOST

    def records(self, kind=RecordKind.RUN):
        return [each for each in read_records(self.folder) if each.kind is kind]

    def runs(self, call):
        return [each for each in self.records() if each.token == call.token]

    async def wait_served(self, kind=READ):
        """Wait until all nodes answer a call of this kind."""

        async def served():
            sent = [self.outcome(place, self.make_call(kind)) for place in self.nodes]
            return set(await asyncio.gather(*sent)) == {CallOutcome.ANSWERED}

        await wait_for(served, f"{kind.name} served", CONDITION_TIMEOUT_MS)

    async def wait_warm(self, *kinds):
        """Send calls of these kinds until all gates have completed their warm-up.

        A gate may refuse part of a burst while it warms up, and its share grows
        only with answered calls.
        """

        async def warm():
            places = [(place, kind) for place in self.nodes for kind in kinds]
            sent = [self.outcome(place, self.make_call(k)) for place, k in places]
            await asyncio.gather(*sent)
            dumps = [await self.dump(place.admin) for place in self.nodes]
            shares = [d["gate"]["admission"]["warm_up"]["share"] for d in dumps]
            return min(shares) == 1.0

        await wait_for(warm, "warm-up of all gates", CONDITION_TIMEOUT_MS)

    async def begin_burst(self, place, count):
        """Return calls that are all running, and the futures of their outcomes.

        If a call ends before it runs, for example because a gate that is still
        warming up refuses it, waits for the other calls and sends a new burst.
        """
        async with asyncio.timeout(CONDITION_TIMEOUT_MS / MS_PER_S):
            while True:
                calls = [self.make_call() for _ in range(count)]
                sent = [asyncio.ensure_future(self.outcome(place, c)) for c in calls]
                by_call = dict(zip((c.token for c in calls), sent, strict=True))

                def decided(by_call=by_call):
                    ran = {each.token for each in self.records()}
                    return all(t in ran or by_call[t].done() for t in by_call)

                await self.wait(decided, "all calls of a burst running or ended")
                if by_call.keys() <= {each.token for each in self.records()}:
                    return calls, sent
                await asyncio.gather(*sent)

    async def wait_running(self, calls):
        """Wait until upstreams have started to run all calls."""
        tokens = {call.token for call in calls}

        def begun():
            return tokens <= {each.token for each in self.records()}

        await self.wait(begun, "calls running at upstreams")

    def check_history(self):
        """Check that no key ran twice and that no refused attempt ran."""
        records = self.records()
        twice = {key: runs for key, runs in runs_by_key(records).items() if runs > 1}
        assert not twice
        assert count_run_of_attempts(records, self.refused) == 0


def is_settled(reply):
    """Return whether a reply states the final state of the idempotency key."""
    if reply is None or reply.status != 409:
        return False
    return reply.text(HEADER_REASON) in SETTLED_REASONS
