"""Which of the requests that a caller has sent ahead run side by side."""

from collections.abc import Sequence
from typing import Protocol

import msgspec


class AheadLimits(msgspec.Struct, frozen=True):
    """Limits on what is read behind a request that isn't answered yet."""

    requests: int = 32
    """How many requests of a connection are in progress at once."""

    size_bytes: int = 1_048_576
    """How much is held of the answers and bodies of those behind the first one."""


DEFAULT_LIMITS = AheadLimits()


class Place(Protocol):
    """A request in the order in which its connection received it."""

    runs_once: bool
    """Whether the request must not run more than once."""

    whole: bool
    """Whether the request has been received whole."""

    waits: bool
    """Whether the request is ready to run and has to wait for earlier ones."""


class RunOrder:
    """Decides which requests of a connection may run, and whether to read further.

    Answers are sent in the order of the requests, so a slow one delays those behind
    it. Their upstreams can work meanwhile, unless that could run a request that the
    caller has to send again: an answer that closes the connection, or the loss of it,
    means that the requests behind it count as not received.

    Parameters
    ----------
    limits : AheadLimits
        Limits on the requests behind the first one.
    """

    def __init__(self, limits: AheadLimits):
        self.limits = limits

    def may_start(self, places: Sequence[Place], place: Place) -> bool:
        """Return whether a request may run; ``places`` are the unanswered ones.

        The first one always may. A request that runs once waits until it is the first,
        and those behind it wait for its answer. One that isn't whole waits, as it
        would occupy a slot while its caller, or the limits, delay its body.
        """
        for earlier in places:
            if earlier is place:
                return earlier is places[0] or (place.whole and not place.runs_once)
            if earlier.runs_once:
                return False
        return False

    def startable(self, places: Sequence[Place]) -> list[Place]:
        """Return the waiting requests that may run now."""
        return [
            place for place in places if place.waits and self.may_start(places, place)
        ]

    def may_read(self, places: Sequence[Place], held_bytes: int) -> bool:
        """Return whether the next request may be read while these are unanswered."""
        if len(places) >= self.limits.requests:
            return False
        return self.has_room(held_bytes)

    def has_room(self, held_bytes: int) -> bool:
        """Return whether more bytes may be held for the requests behind the first."""
        return held_bytes < self.limits.size_bytes
