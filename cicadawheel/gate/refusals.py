"""Counts what a gate refuses, by kind of request and reason."""

from collections.abc import Callable

from cicadawheel.messages import RefusalReason

KIND_LIMIT = 32
"""How many kinds are counted on their own; callers choose the paths that name them."""

OTHER_KIND = "other"

CountRefusal = Callable[[str, RefusalReason], None]


class GateRefusals:
    """Passes the refusals of a gate to ``count``, with few kinds."""

    def __init__(self):
        self.count: CountRefusal = _discard
        self._kinds: set[str] = set()

    def add(self, kind: str, reason: RefusalReason) -> None:
        """Count a refused request."""
        if len(self._kinds) < KIND_LIMIT:
            self._kinds.add(kind)
        self.count(kind if kind in self._kinds else OTHER_KIND, reason)


def _discard(kind: str, reason: RefusalReason) -> None:
    """Discard the count; used without metrics."""
