"""Shares the slots of a full upstream among kinds of requests of the same rank.

It answers a burst of one kind, which would take the slots of the others. Each kind may
hold an equal share of the slots, and what it doesn't ask for goes to the others
(max-min fairness). Slots are held for the time of the work, so that long work counts
for more. A kind beyond its share isn't stopped: it only waits behind the others, so no
slot stays free for them.

Does no I/O and reads no clock.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec


class RankedKind(msgspec.Struct, frozen=True):
    """A kind of requests; only those of the same rank share slots."""

    rank: int
    kind: str


class SlotShares:
    """The slots that each kind holds at one upstream."""

    def __init__(self):
        self._held: Counter[RankedKind] = Counter()

    def take(self, kind: RankedKind) -> None:
        """Record that a request of a kind got a slot."""
        self._held[kind] += 1

    def release(self, kind: RankedKind) -> None:
        """Record that it has left its slot."""
        self._held[kind] -= 1
        if not self._held[kind]:
            del self._held[kind]

    def kinds_at_share(
        self, waiting: Iterable[RankedKind], slots: int
    ) -> frozenset[RankedKind]:
        """Return the kinds that hold their share of the slots or more.

        A kind without others of its rank is never among them.
        """
        asked = self._held + Counter(waiting)
        at_share = set()
        for rank in {one.rank for one in asked}:
            kinds = [one for one in asked if one.rank == rank]
            if len(kinds) < 2:
                continue
            elsewhere = sum(n for one, n in self._held.items() if one.rank != rank)
            asked_slots = [asked[one] for one in kinds]
            share = fair_share(asked_slots, max(1, slots - elsewhere))
            at_share.update(one for one in kinds if self._held[one] >= share)
        return frozenset(at_share)


def fair_share(asked_slots: list[int], slots: float) -> float:
    """Return the most slots that one kind may hold.

    Parameters
    ----------
    asked_slots : list of int
        What each kind asks for: the slots that it holds and its waiting requests.
    slots : float
        The slots to share.
    """
    for number, asked in enumerate(sorted(asked_slots)):
        share = slots / (len(asked_slots) - number)
        if asked > share:
            return share
        slots -= asked
    return float(max(asked_slots))
