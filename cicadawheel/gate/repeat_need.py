"""Which part of the retry budget a repeat may use, by what is lost without it.

Where upstreams refuse many requests, the budget doesn't cover all repeats. The caller
of a refused request can come back itself, which costs no budget. A nested call has
nobody else to repeat it, and the work of its outer request is lost with it.

Does no I/O and reads no clock.
"""

from enum import Enum

from cicadawheel.messages import CallOpen, Repeat

HEDGE_PART = 0.75
"""The part for repeats beside a send that still runs (hedges); the rest is kept for
requests that failed or were refused."""

NESTED_ASK_MS = 10_000.0
"""How long the parts below hold after a refused nested call was sent once more."""

SHARED_HEDGE_PART = 0.25
"""The part for hedges while nested calls need repeats: nothing is lost without them."""

REFUSED_PART = 0.9
"""The part for callers' requests that weren't run: their callers are told when to come
back."""

FAILED_PART = 0.95
"""The part for callers' requests that may have run: their callers get an error, and
only some send them again."""

LITTLE_SPENT_PART = 0.95
"""The part for nested calls whose outer requests have less work behind them than usual:
these have further calls to make, each of which may fail."""

SPENT_SAMPLE_WEIGHT = 0.1
"""Weight of the latest nested call in the moving average of the work behind them."""


class RepeatNeed(Enum):
    """Who needs a repeat, from the most to the least urgent."""

    NESTED = "nested"
    LITTLE_SPENT = "little spent"
    FAILED = "failed"
    REFUSED = "refused"
    HEDGE = "hedge"


PART_OF_NEED = {
    RepeatNeed.NESTED: 1.0,
    RepeatNeed.LITTLE_SPENT: LITTLE_SPENT_PART,
    RepeatNeed.FAILED: FAILED_PART,
    RepeatNeed.REFUSED: REFUSED_PART,
    RepeatNeed.HEDGE: SHARED_HEDGE_PART,
}


class RepeatNeeds:
    """Ranks the repeats at one gate.

    Until a nested call that was refused asks for a repeat, only hedges are limited to
    a part, and requests of a higher priority than any such call never are.
    """

    def __init__(self):
        self._usual_spent_ms = 0.0
        self._nested_until_ms: dict[int, float] = {}

    def received(self, call: CallOpen, now_ms: float) -> None:
        """Record a request, before its part is asked for."""
        if not call.spent_ms:
            return
        if call.repeat is Repeat.REFUSED:
            self._nested_until_ms[call.priority] = now_ms + NESTED_ASK_MS
        gap_ms = call.spent_ms - self._usual_spent_ms
        self._usual_spent_ms += SPENT_SAMPLE_WEIGHT * gap_ms

    def need(self, call: CallOpen) -> RepeatNeed:
        """Return who needs a repeat."""
        if call.repeat is Repeat.SPARE:
            return RepeatNeed.HEDGE
        if call.spent_ms:
            little = call.spent_ms < self._usual_spent_ms
            return RepeatNeed.LITTLE_SPENT if little else RepeatNeed.NESTED
        if call.repeat is Repeat.REFUSED:
            return RepeatNeed.REFUSED
        return RepeatNeed.FAILED

    def part(self, call: CallOpen, now_ms: float) -> float:
        """Return the part of the budget that a repeat may use."""
        need = self.need(call)
        if any(
            now_ms < until_ms and priority <= call.priority
            for priority, until_ms in self._nested_until_ms.items()
        ):
            return PART_OF_NEED[need]
        return HEDGE_PART if need is RepeatNeed.HEDGE else 1.0
