"""Claims, by which an entry runs a request at most once."""

import asyncio
import secrets
from typing import Protocol

import msgspec

from cicadawheel.control.command import ClaimState, Outcome, OutcomeState
from cicadawheel.entry.answer import Answer, answer_conflict
from cicadawheel.ids import Fingerprint, IdempotencyKey, RequestId, ServiceName
from cicadawheel.messages import Header
from cicadawheel.timer import MS_PER_S, Clock

ATTEMPT_BYTES = 8
ANSWER_MARGIN_MS = 10.0
POLL_INTERVAL_MS = 50.0


def _make_attempt() -> str:
    return secrets.token_hex(ATTEMPT_BYTES)


class ClaimRequest(msgspec.Struct, frozen=True):
    """A request that must run at most once, identified by its idempotency key.

    ``attempt`` distinguishes this call from others with the same key.
    """

    service: ServiceName
    key: IdempotencyKey
    body_digest: Fingerprint
    attempt: str = msgspec.field(default_factory=_make_attempt)


class ClaimClient(Protocol):
    """Claims requests with control before they are dispatched."""

    async def open(self, request: ClaimRequest, timeout_ms: float) -> Outcome:
        """Claim a request and return the outcome from control.

        Raises
        ------
        NoQuorumError
            No majority of control confirmed the claim; the request must not be run.
        """

    def finish(self, request: ClaimRequest, answer: Answer | None) -> None:
        """Store the answer for resends, or None if it is lost, in the background."""

    def release(self, request: ClaimRequest) -> None:
        """Release the claim of a request that was not run, in the background."""


async def settle_claim(
    claims: ClaimClient, request: ClaimRequest, deadline_at_ms: float, clock: Clock
) -> Outcome:
    """Claim a request, and wait while an earlier call with the same key runs.

    The outcome's claim is still open if that call hasn't ended by the deadline.

    Raises
    ------
    NoQuorumError
        Control did not decide in time whether the request may be run.
    """
    while True:
        left_ms = deadline_at_ms - clock.now_ms() - ANSWER_MARGIN_MS
        outcome = await claims.open(request, left_ms)
        late = left_ms < POLL_INTERVAL_MS
        if late or outcome.claim is not ClaimState.OPEN:
            return outcome
        await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)


def may_run(outcome: Outcome) -> bool:
    """Return whether the claim is new, so that the request may be dispatched."""
    return outcome.state is OutcomeState.DONE and outcome.claim is None


def answer_resend(outcome: Outcome, request_id: RequestId) -> Answer:
    """Return the answer to a request whose idempotency key was used before."""
    stored = outcome.answer
    if stored is not None:
        headers = tuple(
            Header(name.encode("latin-1"), value.encode("latin-1"))
            for name, value in stored.headers
        )
        return Answer(stored.status, headers, stored.body)
    if outcome.claim is None:
        return answer_conflict(outcome.message, "claim refused", request_id)
    if outcome.claim is ClaimState.OPEN:
        error = "an earlier sending of this request runs: ask again with its key"
    else:
        error = "this request may have run already, and will not run again"
    return answer_conflict(error, outcome.claim.value, request_id)
