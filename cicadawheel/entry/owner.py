"""What a call needs of the entry that serves it."""

from enum import Enum
from typing import Protocol

from cicadawheel.entry.answer import Answer
from cicadawheel.entry.attempts import Gates
from cicadawheel.entry.claim import ClaimClient
from cicadawheel.entry.placement import Works
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
    """How a call has ended, as the metrics count it."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    LOST = "lost"
    CUT = "cut"
    CALLER_LEFT = "caller left"
    RESENT = "resent"


class EndedCall(Protocol):
    """A call that its owner forgets."""

    plan: CallPlan


class CallOwner(Gates, Protocol):
    """The entry of a call: decides where it goes and whether it goes again."""

    clock: Clock
    dialect: Dialect
    claims: ClaimClient
    works: Works
    repeats: Repeats
    quarantined: frozenset[Fingerprint]
    body_buffer_bytes: int

    def headers_to_upstream(self, headers: Headers) -> tuple[Header, ...]:
        """Return a request's fields for its upstream, with where it comes from."""

    def pick(
        self, plan: CallPlan, tried: set[NodeId], only_at: NodeId, body_bytes: int = 0
    ) -> Pick | None:
        """Return the upstream for the next attempt, or None."""

    def log_placed(self, plan: CallPlan, pick: Pick, attempts: int) -> None:
        """Log where an attempt goes, and on what grounds."""

    def hedge_gain_ms(
        self, plan: CallPlan, pick: Pick, other: Pick, body_bytes: int
    ) -> float:
        """Return how much sooner a second send is expected to answer."""

    def may_hedge(self, plan: CallPlan, node: NodeId) -> bool:
        """Return whether the service's retry budget allows a second attempt."""

    def repeat_unsent(self, plan: CallPlan, cause: Repeat) -> None:
        """Take note of a repeat that every gate is known to refuse."""

    def attempt_answered(self, plan: CallPlan, pick: Pick, head: ReplyHead) -> None:
        """Take note of an upstream's answer."""

    def attempt_refused(self, plan: CallPlan, pick: Pick, refused: Refused) -> None:
        """Take note of a gate's refusal."""

    def answer_refusal(
        self, plan: CallPlan, reason: RefusalReason, not_run: bool
    ) -> Answer:
        """Return the answer for a call that no upstream has answered."""

    def call_ended(self, call: EndedCall, end: CallEnd) -> None:
        """Forget a call."""
