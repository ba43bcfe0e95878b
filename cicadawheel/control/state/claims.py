"""Claims on requests that must not run twice, with their stored answers."""

from collections import deque
from collections.abc import Iterable, Iterator

import msgspec
from msgspec.structs import replace

from cicadawheel.control.command import (
    ClaimState,
    FinishClaim,
    OpenClaim,
    ReleaseClaim,
    StoredAnswer,
)
from cicadawheel.control.state.expired_keys import ExpiredKeys
from cicadawheel.control.state.timed_key import KEY_SKEW_MS, key_time_ms
from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import Epoch, Fingerprint, IdempotencyKey, NodeId, ServiceName

CLAIM_LIMIT = 500_000
ANSWER_LIMIT_BYTES = 65_536
ANSWERS_LIMIT_BYTES = 67_108_864

ClaimId = tuple[ServiceName, IdempotencyKey]


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A request that must not run twice, and its state.

    Claims are immutable and replaced on change, so that a snapshot that is still
    being encoded keeps the old value. ``fenced`` means that the owner's lease expired
    or that it registered again while the claim was open, so that the request may have
    run.
    """

    service: ServiceName
    key: IdempotencyKey
    owner: NodeId
    owner_epoch: Epoch
    body_digest: Fingerprint
    attempt: str
    opened_at_ms: int
    state: ClaimState = ClaimState.OPEN
    answer: StoredAnswer | None = None
    fenced: bool = False


class ClaimsSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The content of a `ClaimTable`, or a slice of it; see `slice_claims`."""

    claims: list[Claim]
    answered: list[ClaimId]
    expired: list[bytes] = []


class ClaimTable:
    """The claims opened within the retention window, in order of opening.

    Parameters
    ----------
    window_ms : int
        Retention period of claims and their answers.
    """

    def __init__(self, window_ms: int):
        self.window_ms = window_ms
        self.claims: dict[ClaimId, Claim] = {}
        self._opened: deque[tuple[int, ClaimId]] = deque()
        self.answers_size_bytes = 0
        self._open_by_owner: dict[NodeId, set[ClaimId]] = {}
        self._answered: deque[ClaimId] = deque()
        self._expired = ExpiredKeys()

    def open(self, command: OpenClaim, now_ms: int) -> Claim | None:
        """Open a claim and return None, or return the existing claim.

        Opening is idempotent for the same owner, epoch and attempt. A fenced owner
        may reopen the claim of an attempt under its new epoch, because an entry opens
        claims only for requests that it has not dispatched.

        Raises
        ------
        CommandRefusedError
            The key was used with another body, is older than the window, or the
            table is full. The request must not run.
        """
        claim_id = (command.service, command.key)
        known = self.claims.get(claim_id)
        if known is None:
            self._check_new(command, now_ms)
            self._add(command, now_ms)
            return None
        if known.body_digest != command.body_digest:
            raise _refuse(command, "was used for a request with another body")
        if not _is_same_attempt(known, command):
            return known
        if known.fenced:
            self._reopen(known, command)
        return None

    def finish(self, command: FinishClaim) -> None:
        """Store the result of a claimed request.

        This is also allowed after the owner's epoch was fenced, because only the
        owner knows the answer.

        Raises
        ------
        CommandRefusedError
            The claim is unknown or belongs to another owner or call.
        """
        claim = self._owned_claim(command)
        if claim.state is ClaimState.FINISHED:
            return
        self._remove_open(claim)
        if command.may_have_run:
            state = ClaimState.MAY_HAVE_RUN
            self._put(replace(claim, state=state, fenced=False))
            return
        finished = replace(claim, state=ClaimState.FINISHED, fenced=False)
        self._put(finished)
        if len(command.body) <= ANSWER_LIMIT_BYTES:
            answer = StoredAnswer(command.status, command.headers, command.body)
            self._keep_answer(finished, answer)

    def release(self, command: ReleaseClaim) -> None:
        """Remove a claim whose request was never dispatched.

        Raises
        ------
        CommandRefusedError
            The claim is unknown, not owned by the sender, or no longer open.
        """
        claim = self._owned_claim(command)
        if claim.state is not ClaimState.OPEN:
            raise _refuse(command, f"is no longer open but {claim.state.value}")
        self._remove_open(claim)
        del self.claims[(claim.service, claim.key)]

    def fence(self, owner: NodeId) -> None:
        """Mark a node's open claims as possibly run."""
        for claim_id in self._open_by_owner.pop(owner, ()):
            claim = self.claims[claim_id]
            self._put(replace(claim, state=ClaimState.MAY_HAVE_RUN, fenced=True))

    def expire(self, now_ms: int) -> None:
        """Remove claims older than the window.

        Keys that carry no timestamp are kept in the expired-key filters.
        """
        expired_ms = now_ms - self.window_ms - KEY_SKEW_MS
        while self._opened and self._opened[0][0] <= expired_ms:
            opened_at_ms, claim_id = self._opened.popleft()
            claim = self.claims.get(claim_id)
            if claim is None or claim.opened_at_ms != opened_at_ms:
                continue
            self._remove_open(claim)
            self._drop_answer(claim)
            del self.claims[claim_id]
            self._trim_answered()
            if key_time_ms(claim.key) is None:
                self._expired.add(*claim_id)

    def snapshot(self) -> ClaimsSnapshot:
        """Return a snapshot of the table."""
        return ClaimsSnapshot(
            list(self.claims.values()), list(self._answered), self._expired.snapshot()
        )

    def restore(self, snapshot: ClaimsSnapshot) -> None:
        """Replace the table with a snapshot."""
        self.claims = {(claim.service, claim.key): claim for claim in snapshot.claims}
        self._opened = deque(
            (claim.opened_at_ms, claim_id) for claim_id, claim in self.claims.items()
        )
        self._answered = deque(snapshot.answered)
        self._expired.restore(snapshot.expired)
        self._open_by_owner = {}
        self.answers_size_bytes = 0
        for claim_id, claim in self.claims.items():
            if claim.state is ClaimState.OPEN:
                self._open_by_owner.setdefault(claim.owner, set()).add(claim_id)
            if claim.answer is not None:
                self.answers_size_bytes += _size_bytes(claim.answer)

    def _check_new(self, command: OpenClaim, now_ms: int) -> None:
        issued_ms = key_time_ms(command.key)
        if issued_ms is not None:
            if issued_ms + self.window_ms <= now_ms:
                raise _refuse(command, "is older than the window")
            if issued_ms > now_ms + KEY_SKEW_MS:
                raise _refuse(command, "bears a time in the future")
        elif self._expired.may_hold(command.service, command.key):
            raise _refuse(command, "was used before the window")
        if len(self.claims) >= CLAIM_LIMIT:
            raise _refuse(command, f"would be one claim above {CLAIM_LIMIT}")

    def _add(self, command: OpenClaim, now_ms: int) -> None:
        claim_id = (command.service, command.key)
        self.claims[claim_id] = Claim(
            service=command.service,
            key=command.key,
            owner=command.owner,
            owner_epoch=command.owner_epoch,
            body_digest=command.body_digest,
            attempt=command.attempt,
            opened_at_ms=now_ms,
        )
        self._opened.append((now_ms, claim_id))
        self._open_by_owner.setdefault(command.owner, set()).add(claim_id)

    def _reopen(self, claim: Claim, command: OpenClaim) -> None:
        reopened = replace(
            claim,
            state=ClaimState.OPEN,
            owner_epoch=command.owner_epoch,
            fenced=False,
        )
        self._put(reopened)
        claim_id = (claim.service, claim.key)
        self._open_by_owner.setdefault(claim.owner, set()).add(claim_id)

    def _owned_claim(self, command: FinishClaim | ReleaseClaim) -> Claim:
        claim = self.claims.get((command.service, command.key))
        if claim is None:
            raise _refuse(command, "isn't claimed")
        if (claim.owner, claim.owner_epoch) != (command.owner, command.owner_epoch):
            raise _refuse(
                command,
                f"is claimed by node {claim.owner} with epoch {claim.owner_epoch}",
            )
        if claim.attempt != command.attempt:
            raise _refuse(command, "is claimed by another call")
        return claim

    def _remove_open(self, claim: Claim) -> None:
        claim_ids = self._open_by_owner.get(claim.owner)
        if claim_ids is None:
            return
        claim_ids.discard((claim.service, claim.key))
        if not claim_ids:
            del self._open_by_owner[claim.owner]

    def _keep_answer(self, claim: Claim, answer: StoredAnswer) -> None:
        self._put(replace(claim, answer=answer))
        self._answered.append((claim.service, claim.key))
        self.answers_size_bytes += _size_bytes(answer)
        while self.answers_size_bytes > ANSWERS_LIMIT_BYTES:
            oldest = self.claims.get(self._answered.popleft())
            if oldest is not None:
                self._drop_answer(oldest)

    def _drop_answer(self, claim: Claim) -> None:
        if claim.answer is None:
            return
        self.answers_size_bytes -= _size_bytes(claim.answer)
        self._put(replace(claim, answer=None))

    def _trim_answered(self) -> None:
        while self._answered:
            oldest = self.claims.get(self._answered[0])
            if oldest is not None and oldest.answer is not None:
                return
            self._answered.popleft()

    def _put(self, claim: Claim) -> None:
        self.claims[(claim.service, claim.key)] = claim


def slice_claims(snapshot: ClaimsSnapshot, size: int) -> Iterator[ClaimsSnapshot]:
    """Split the claims and answered ids of a snapshot into slices of ``size``."""
    for start in range(0, len(snapshot.claims), size):
        yield ClaimsSnapshot(snapshot.claims[start : start + size], [])
    for start in range(0, len(snapshot.answered), size):
        yield ClaimsSnapshot([], snapshot.answered[start : start + size])


def join_claims(
    slices: Iterable[ClaimsSnapshot], expired: list[bytes]
) -> ClaimsSnapshot:
    """Join slices from `slice_claims` into one snapshot, with its expired keys."""
    joined = ClaimsSnapshot([], [], expired)
    for part in slices:
        joined.claims.extend(part.claims)
        joined.answered.extend(part.answered)
    return joined


def _is_same_attempt(claim: Claim, command: OpenClaim) -> bool:
    if not command.attempt or claim.attempt != command.attempt:
        return False
    if claim.owner != command.owner:
        return False
    if claim.fenced:
        return True
    is_open = claim.state is ClaimState.OPEN
    return is_open and claim.owner_epoch == command.owner_epoch


def _size_bytes(answer: StoredAnswer) -> int:
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


def _refuse(
    command: OpenClaim | FinishClaim | ReleaseClaim, reason: str
) -> CommandRefusedError:
    return CommandRefusedError(
        f"key {command.key} of service {command.service} {reason}",
        step="claim",
        peer=command.owner,
    )
