"""The interface of an entry that its calls use."""

from enum import Enum
from typing import Protocol

from cicadawheel.entry.answer import Answer
from cicadawheel.entry.attempts import Gates
from cicadawheel.entry.claim import ClaimClient
from cicadawheel.entry.placement import WorkTimes
from cicadawheel.entry.plan import CallPlan
from cicadawheel.entry.repeats import Repeats
from cicadawheel.entry.versions import Pick
from cicadawheel.http.dialect import Dialect
from cicadawheel.http.fields import Headers
from cicadawheel.ids import Fingerprint, NodeId
from cicadawheel.messages import (
    Header,
    RefusalReason,
    Refused,
    Repeat,
    ReplyHead,
)
from cicadawheel.timer import Clock


class CallEnd(Enum):
    """How a call has ended, as counted in the metrics."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    LOST = "lost"
    CUT = "cut"
    CALLER_LEFT = "caller left"
    RESENT = "resent"


class EndedCall(Protocol):
    """A call that has ended."""

    plan: CallPlan
    status: int
    relayed_bytes: int


class CallOwner(Gates, Protocol):
    """The entry of a call: selects upstreams, and decides on retries and hedges."""

    clock: Clock
    dialect: Dialect
    claims: ClaimClient
    work_times: WorkTimes
    repeats: Repeats
    quarantined: frozenset[Fingerprint]
    body_buffer_bytes: int

    def headers_to_upstream(self, headers: Headers) -> tuple[Header, ...]:
        """Return the header fields for the upstream, with the caller's service."""

    def pick(
        self,
        plan: CallPlan,
        tried: set[NodeId],
        only_at: NodeId,
        body_bytes: int = 0,
        target_ms: float = 0.0,
        first: bool = True,
    ) -> Pick | None:
        """Select the upstream for the next attempt, or None."""

    def log_placement(self, plan: CallPlan, pick: Pick, attempts: int) -> None:
        """Log the selected upstream and the load estimate behind the selection."""

    def hedge_gain_ms(
        self, plan: CallPlan, pick: Pick, other: Pick, body_bytes: int
    ) -> float:
        """Return how much sooner a hedge is expected to answer."""

    def may_hedge(self, plan: CallPlan, node: NodeId) -> bool:
        """Return whether the service's retry budget allows a hedge."""

    def has_free_slot(self, node: NodeId) -> bool:
        """Return whether a gate that pushes its load probably has a free slot."""

    def reason_without_room(
        self, plan: CallPlan, node: NodeId, left_ms: float
    ) -> RefusalReason | None:
        """Return the reason to refuse a call for which there is no room, or None.

        ``node`` is the best upstream for it.
        """

    def may_try_elsewhere(self, plan: CallPlan, refused: Refused) -> bool:
        """Return whether the budget is left to a call that an upstream declined."""

    def count_unsent_repeat(self, plan: CallPlan, cause: Repeat) -> None:
        """Count a repeat that isn't sent because every gate would refuse it."""

    def attempt_answered(self, plan: CallPlan, pick: Pick, head: ReplyHead) -> None:
        """Record an upstream's answer."""

    def attempt_refused(self, plan: CallPlan, pick: Pick, refused: Refused) -> None:
        """Record a gate's refusal."""

    def answer_refusal(
        self, plan: CallPlan, reason: RefusalReason, not_run: bool, left_ms: float
    ) -> Answer:
        """Return the entry's own answer to a call that got none from an upstream."""

    def call_ended(self, call: EndedCall, end: CallEnd) -> None:
        """Deregister a call and count how it ended."""
