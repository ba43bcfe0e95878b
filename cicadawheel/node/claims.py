"""Client side of claims: opens them with control and settles them in the background."""

import asyncio
import itertools
import logging
from collections.abc import Callable, Coroutine

from cicadawheel.control.command import Outcome
from cicadawheel.control.messages import (
    ClaimAnswer,
    ClaimFinish,
    ClaimOpen,
    ClaimRelease,
)
from cicadawheel.entry.answer import Answer
from cicadawheel.entry.claim import ClaimRequest, may_run
from cicadawheel.errors import NoQuorumError
from cicadawheel.ids import Epoch
from cicadawheel.logs import log_event
from cicadawheel.node.link import ControlLink
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

RETRY_DELAY_MS = 100.0
BACKGROUND_ATTEMPTS = 20
BACKGROUND_TIMEOUT_MS = 1_000.0

LOST_ANSWER = Answer(0, (), b"")

MessageFactory = Callable[[int], ClaimOpen | ClaimFinish | ClaimRelease]


class NodeClaims:
    """Opens, finishes and releases claims for never-repeat requests.

    A claim is finished or released under the epoch under which it was last opened.

    Parameters
    ----------
    link : ControlLink
        The stream to control.
    """

    def __init__(self, link: ControlLink):
        self.link = link
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[ClaimAnswer | None]] = {}
        self._epochs: dict[ClaimRequest, Epoch] = {}
        self._background: set[asyncio.Task] = set()

    async def open(self, request: ClaimRequest, timeout_ms: float) -> Outcome:
        """Claim a request and return control's outcome.

        Raises
        ------
        NoQuorumError
            Control did not confirm the claim in time; the request must not be run.
        """
        make_message = self._make_open(request)
        try:
            async with asyncio.timeout(max(0.0, timeout_ms) / MS_PER_S):
                outcome = await self._request_until_confirmed(make_message)
        except TimeoutError as error:
            self._start_background(self._abandon(request, make_message))
            raise NoQuorumError(
                "control did not confirm the claim before the time-out",
                step="claim",
                peer=self.link.replica,
            ) from error
        except asyncio.CancelledError:
            self._start_background(self._abandon(request, make_message))
            raise
        if not may_run(outcome):
            self._epochs.pop(request, None)
        return outcome

    def finish(self, request: ClaimRequest, answer: Answer | None) -> None:
        """Store the answer for resends, or record its loss, in the background."""
        epoch = self._epochs.pop(request, self.link.epoch)
        stored = answer or LOST_ANSWER
        headers = tuple(
            (header.name.decode("latin-1"), header.value.decode("latin-1"))
            for header in stored.headers
        )

        def make_message(number: int) -> ClaimFinish:
            return ClaimFinish(
                number,
                self.link.node,
                epoch,
                request.service,
                request.key,
                request.attempt,
                stored.status,
                headers,
                stored.body,
                answer is None,
            )

        self._start_background(self._request_in_background(make_message))

    def release(self, request: ClaimRequest) -> None:
        """Release the claim of a request that was not run, in the background."""
        epoch = self._epochs.pop(request, self.link.epoch)

        def make_message(number: int) -> ClaimRelease:
            return ClaimRelease(
                number,
                self.link.node,
                epoch,
                request.service,
                request.key,
                request.attempt,
            )

        self._start_background(self._request_in_background(make_message))

    def handle_answer(self, answer: ClaimAnswer) -> None:
        """Complete the pending request that this answer belongs to."""
        waiter = self._pending.get(answer.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(answer)

    def wake_pending(self) -> None:
        """Wake all pending requests, which are resent on the next stream."""
        for waiter in self._pending.values():
            if not waiter.done():
                waiter.set_result(None)

    async def wait_settled(self) -> None:
        """Wait until all background work is done."""
        while self._background:
            await asyncio.wait(self._background)

    def _make_open(self, request: ClaimRequest) -> MessageFactory:
        def make_message(number: int) -> ClaimOpen:
            self._epochs[request] = self.link.epoch
            return ClaimOpen(
                number,
                self.link.node,
                self.link.epoch,
                request.service,
                request.key,
                request.body_digest,
                request.attempt,
            )

        return make_message

    async def _abandon(
        self, request: ClaimRequest, make_message: MessageFactory
    ) -> None:
        # The first request may have been applied. Opening is idempotent per attempt,
        # so the repeated answer tells whether this node owns the claim.
        outcome = await self._request_in_background(make_message)
        if outcome is not None and may_run(outcome):
            self.release(request)
        else:
            self._epochs.pop(request, None)

    def _start_background(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _request_in_background(
        self, make_message: MessageFactory
    ) -> Outcome | None:
        for _ in range(BACKGROUND_ATTEMPTS):
            try:
                async with asyncio.timeout(BACKGROUND_TIMEOUT_MS / MS_PER_S):
                    return await self._request_until_confirmed(make_message)
            except TimeoutError:
                continue
        log_event(log, "claim_not_settled", node=self.link.node)
        return None

    async def _request_until_confirmed(self, make_message: MessageFactory) -> Outcome:
        while True:
            answer = await self._request_once(make_message)
            outcome = None if answer is None else answer.outcome
            if outcome is not None and not outcome.fenced:
                return outcome
            await asyncio.sleep(RETRY_DELAY_MS / MS_PER_S)

    async def _request_once(self, make_message: MessageFactory) -> ClaimAnswer | None:
        await self.link.ready()
        number = next(self._numbers)
        waiter = asyncio.get_running_loop().create_future()
        self._pending[number] = waiter
        try:
            if not self.link.send(make_message(number)):
                return None
            return await waiter
        finally:
            del self._pending[number]
