"""Admission decisions, and the results of admitted requests."""

from enum import Enum

import msgspec

from cicadawheel.messages import RefusalReason


class Verdict(Enum):
    """The decision on a request."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


class SchedulingHints(msgspec.Struct, frozen=True):
    """Scheduling hints of a request: target time, priority and expected service time.

    Priority 0 is served first. A time of 0 is unknown. An ``immediate`` request is
    refused as busy where it would have to wait. ``spent_ms`` is the work already done
    for the outer request of a nested call, 0 for others.
    """

    target_at_ms: float = 0.0
    priority: int = 0
    work_ms: float = 0.0
    immediate: bool = False
    spent_ms: float = 0.0


NO_HINTS = SchedulingHints()


class Decision(msgspec.Struct, frozen=True):
    """The verdict on one request; ``reason`` is set for a refusal."""

    ticket: int
    verdict: Verdict
    reason: RefusalReason | None = None


class Result(Enum):
    """How an admitted request ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    DIED = "died"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
