"""Turns for bodies in very small chunks, and what the fields of a head cost."""

import asyncio
import heapq
import itertools
from collections.abc import Callable

FIELD_OBJECTS_BYTES = 512
"""What a header field of a few bytes takes as objects, in its head and its call."""
FREE_PIECES = 1_000
"""Number of chunks of a body whose size doesn't matter."""
PIECE_MIN_BYTES = 16
"""Least average size of the chunks of a body that has more than `FREE_PIECES`, unless
it waits for its turns."""
PIECES_PER_TURN = 200
"""Chunks that are parsed in one turn, in one to two milliseconds."""
TURN_PAUSE_S = 0.003
"""Time between two turns, which is left to other work."""


def too_small(pieces: int, size_bytes: int) -> bool:
    """Return whether a body of so many chunks has so few bytes that it takes turns."""
    return pieces > FREE_PIECES and size_bytes < pieces * PIECE_MIN_BYTES


class PieceTurn:
    """The turn of one body that waits.

    Parameters
    ----------
    begin : callable
        Reads the next chunks.
    """

    def __init__(self, begin: Callable[[], None]):
        self.begin = begin
        self.cancelled = False

    def cancel(self) -> None:
        """Leave the turn to others."""
        self.cancelled = True


class PieceTurns:
    """The turns of the bodies of one process that come in very small chunks.

    Each chunk costs a step of the parser, whatever its size. Such bodies are legal, and
    a client may send one by writing one field at a time; a crowd of them would leave no
    time for other requests. The body that has had the fewest chunks is next, so that
    short ones don't wait for endless ones.
    """

    def __init__(self):
        self._waiting: list[tuple[int, int, PieceTurn]] = []
        self._numbers = itertools.count()
        self._next_at_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._in_turn = False

    def wait(self, pieces: int, begin: Callable[[], None]) -> PieceTurn:
        """Call ``begin`` at the next turn of a body that has had so many chunks."""
        turn = PieceTurn(begin)
        heapq.heappush(self._waiting, (pieces, next(self._numbers), turn))
        self._schedule()
        return turn

    async def take(self, pieces: int) -> None:
        """Wait for the next turn of a body that has had so many chunks."""
        begun = asyncio.get_running_loop().create_future()
        turn = self.wait(pieces, lambda: begun.done() or begun.set_result(None))
        try:
            await begun
        finally:
            turn.cancel()

    def _schedule(self) -> None:
        if self._timer is None and self._waiting and not self._in_turn:
            loop = asyncio.get_running_loop()
            at_s = max(loop.time(), self._next_at_s)
            self._timer = loop.call_at(at_s, self._begin_next)

    def _begin_next(self) -> None:
        self._timer = None
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.cancelled:
                self._begin(turn)
                return

    def _begin(self, turn: PieceTurn) -> None:
        self._in_turn = True
        try:
            turn.begin()
        finally:
            self._in_turn = False
            self._next_at_s = asyncio.get_running_loop().time() + TURN_PAUSE_S
            self._schedule()
