"""Invariants of a soak, checked on what callers, upstreams and operators observe."""

import msgspec

from bench.history import (
    LATE_GRACE_MS,
    OutPeriod,
    check_history,
    count_late_leaving,
)
from bench.load_result import LoadResult, LostAttempt
from bench.places import NodePlace
from bench.record import Record, RecordKind, count_kind
from bench.scheduler import CONTROL_PREFIX, StartedDisturbance

QUIET_MS = 3_000
"""How long the effects of a fault may last after its end."""

STRETCHED_GRACE_MS = 10_000
"""How soon an evacuation is in force while a minority of the replicas is disturbed."""

ALL_REPLICAS = "control-all"
PLANNED = ("Stopped", "Rolled")


class Promises(msgspec.Struct, frozen=True):
    """The number of violations of each invariant.

    Late work counts only at upstreams whose node was undisturbed throughout, and so
    were all replicas, or most of them for ``late_work_out_stretched``. An answer cut
    off by a planned stop counts only if no fault occurred around that time.
    ``held`` counts calls without an answer one second after their deadline, at
    undisturbed entries. ``wrong_ahead`` counts wrong answers to reads that were sent
    ahead on a connection.
    """

    wrong: int = 0
    ran_twice: int = 0
    refused_but_ran: int = 0
    late_work_out: int = 0
    late_work_out_stretched: int = 0
    evacuations_lost: int = 0
    late_work_leaving: int = 0
    crash_excess: int = 0
    overloads: int = 0
    revisions_lowered: int = 0
    cut_by_stop: int = 0
    held: int = 0
    wrong_ahead: int = 0
    old_reads: int = 0
    races_won_twice: int = 0
    newest_lost: int = 0
    not_served_after: int = 0

    def broken(self) -> dict[str, int]:
        """Return the violated invariants with the number of violations."""
        counts = msgspec.structs.asdict(self)
        return {name: count for name, count in counts.items() if count}


class InvariantChecker:
    """Checks the invariants on the calls and records so far.

    Parameters
    ----------
    nodes : list of NodePlace
        The entries, in the order of their indices in the load results.
    troubles : list of StartedDisturbance
        All disturbances so far.
    periods : list of OutPeriod
        The periods in which data centres were out.
    replicas : int
        The number of control replicas.
    """

    def __init__(
        self,
        nodes: list[NodePlace],
        troubles: list[StartedDisturbance],
        periods: list[OutPeriod],
        replicas: int,
    ):
        self._nodes = nodes
        self._troubles = troubles
        self._periods = periods
        self._replicas = replicas
        self._places = {place.options.upstream: place for place in nodes}

    def check(self, result: LoadResult, records: list[Record]) -> Promises:
        """Return the violations seen in the calls and the records of upstreams."""
        in_touch = [record for record in records if self._is_in_touch(record)]
        history = check_history([result], records, [], 0)
        ran = {record.attempt for record in records if record.kind is RecordKind.RUN}
        return Promises(
            wrong=history.wrong,
            ran_twice=history.ran_twice,
            refused_but_ran=history.refused_but_ran,
            late_work_out=sum(
                period.late_work(in_touch, LATE_GRACE_MS) for period in self._periods
            ),
            late_work_out_stretched=self._count_late_out_stretched(records),
            evacuations_lost=sum(period.lost for period in self._periods),
            late_work_leaving=count_late_leaving(in_touch),
            crash_excess=history.crash_excess,
            overloads=count_kind(records, RecordKind.OVERLOAD),
            cut_by_stop=sum(self._is_cut(lost, ran) for lost in result.lost),
            held=sum(self._is_held(lost) for lost in result.lost),
        )

    def _is_in_touch(self, record: Record) -> bool:
        """Return whether the node of a record's upstream was undisturbed recently.

        Departures are always included, since work is late relative to them.
        """
        if record.kind is RecordKind.LEFT:
            return True
        place = self._places[record.upstream]
        since_ms = record.at_ms - LATE_GRACE_MS - QUIET_MS
        return not self._is_disturbed(place, since_ms, record.at_ms)

    def _count_late_out_stretched(self, records: list[Record]) -> int:
        late = [
            record
            for record in records
            for period in self._periods
            if period.late_work([record], STRETCHED_GRACE_MS)
        ]
        return sum(map(self._is_in_touch_with_most, late))

    def _is_in_touch_with_most(self, record: Record) -> bool:
        """Return whether a record's node and most replicas were undisturbed."""
        place = self._places[record.upstream]
        since_ms = record.at_ms - STRETCHED_GRACE_MS - QUIET_MS
        places = self._disturbed_places(since_ms, record.at_ms)
        replicas = {name for name in places if name.startswith(CONTROL_PREFIX)}
        return (
            not places.intersection(_names(place))
            and ALL_REPLICAS not in replicas
            and len(replicas) < self._replicas / 2
        )

    def _is_disturbed(self, place: NodePlace, from_ms: int, to_ms: int) -> bool:
        places = self._disturbed_places(from_ms, to_ms)
        return bool(places.intersection(_names(place))) or any(
            name.startswith(CONTROL_PREFIX) for name in places
        )

    def _disturbed_places(self, from_ms: int, to_ms: int) -> set[str]:
        return {
            trouble.place
            for trouble in self._troubles
            if trouble.overlaps(from_ms, to_ms)
        }

    def _is_cut(self, lost: LostAttempt, ran: set[str]) -> bool:
        """Return whether a planned stop cut off a call that had reached an upstream."""
        if lost.timed_out or lost.attempt not in ran:
            return False
        since_ms = lost.began_ms - QUIET_MS
        near = [one for one in self._troubles if one.overlaps(since_ms, lost.ended_ms)]
        stops = [one for one in near if one.kind in PLANNED]
        return bool(stops) and len(near) == len(stops)

    def _is_held(self, lost: LostAttempt) -> bool:
        if not lost.timed_out:
            return False
        place = self._nodes[lost.entry]
        since_ms = lost.began_ms - QUIET_MS
        return not self._is_disturbed(place, since_ms, lost.ended_ms)


def _names(place: NodePlace) -> tuple[str, str]:
    """Return the names under which disturbances of a node and its upstream run."""
    return (place.name, place.options.upstream)
