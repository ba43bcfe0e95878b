"""What a gate decides on a request, and how one that it admitted has ended."""

from enum import Enum

import msgspec

from cicadawheel.messages import RefusalReason


class Verdict(Enum):
    """What happens to a request."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


class Wish(msgspec.Struct, frozen=True):
    """When an answer is worth most, the rank, 0 first, and the usual time of the work.

    Times are 0 where they aren't known.
    """

    target_at_ms: float = 0.0
    priority: int = 0
    work_ms: float = 0.0


NO_WISH = Wish()


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
