"""Futures for entries to be applied and for reads to be confirmed."""

import asyncio
import itertools

import msgspec

from cicadawheel.control.command import Outcome
from cicadawheel.control.raft.entry import LogEntry
from cicadawheel.control.raft.leadership import ReadReady
from cicadawheel.errors import CicadawheelError, NoQuorumError, NotLeaderError
from cicadawheel.ids import LogIndex, Term


class Applied(msgspec.Struct, frozen=True):
    """The result of an applied entry; ``outcome`` is set for commands only."""

    index: LogIndex
    outcome: Outcome | None


class _EntryWaiter(msgspec.Struct, frozen=True):
    term: Term
    future: asyncio.Future[Applied]


class Waiters:
    """The waiting callers of one replica."""

    def __init__(self):
        self._entries: dict[LogIndex, _EntryWaiter] = {}
        self._reads: dict[int, asyncio.Future[LogIndex]] = {}
        self._confirmed: list[tuple[LogIndex, asyncio.Future[LogIndex]]] = []
        self._numbers = itertools.count(1)

    def add_entry(self, index: LogIndex, term: Term) -> asyncio.Future[Applied]:
        """Return the future of the result of an appended entry."""
        future = asyncio.get_running_loop().create_future()
        self._entries[index] = _EntryWaiter(term, future)
        return future

    def add_read(self) -> tuple[int, asyncio.Future[LogIndex]]:
        """Return the number of a new read, and the future of its index."""
        future = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        self._reads[number] = future
        return number, future

    def entry_applied(self, entry: LogEntry, outcome: Outcome | None) -> None:
        """Resolve the waiter of an entry, or fail it if another entry was applied."""
        waiter = self._entries.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            _answer(waiter.future, Applied(entry.index, outcome))
        else:
            lost = NotLeaderError(
                "the entry was replaced by another leader", step="propose"
            )
            _refuse(waiter.future, lost)

    def reads_ready(self, reads: list[ReadReady], applied_index: LogIndex) -> None:
        """Resolve the reads whose index is confirmed and applied."""
        for read in reads:
            future = self._reads.pop(read.read, None)
            if future is not None:
                self._confirmed.append((read.index, future))
        waiting = []
        for index, future in self._confirmed:
            if index <= applied_index:
                _answer(future, index)
            else:
                waiting.append((index, future))
        self._confirmed = waiting

    def fail(self, reason: str) -> None:
        """Fail all unconfirmed waiters, as the outcome of their entries is unknown."""
        error = NoQuorumError(reason, step="commit")
        entries = [waiter.future for waiter in self._entries.values()]
        for future in [*entries, *self._reads.values()]:
            _refuse(future, error)
        self._entries.clear()
        self._reads.clear()


def _answer(future: asyncio.Future, result: Applied | LogIndex) -> None:
    if not future.done():
        future.set_result(result)


def _refuse(future: asyncio.Future, error: CicadawheelError) -> None:
    if not future.done():
        future.set_exception(error)
        future.exception()
