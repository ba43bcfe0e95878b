"""Checks of recorded events against the system's invariants."""

import asyncio
from collections import Counter

import msgspec

from bench.launcher import Deployment
from bench.load_result import LoadResult
from bench.record import Record, RecordKind, count_ran_twice, count_run_of_attempts
from cicadawheel.errors import PeerError
from cicadawheel.timer import MS_PER_S

LATE_GRACE_MS = 3_000
WATCH_INTERVAL_MS = 500.0
CRASHES_ALLOWED = 2


class OutPeriod(msgspec.Struct, frozen=True):
    """A period in which a data centre was out, in Unix time.

    With ``lost`` set, control said at the end that the data centre was in.
    """

    data_centre: str
    from_ms: int
    to_ms: int
    lost: bool = False

    def late_work(self, records: list[Record], grace_ms: int) -> int:
        """Return how many requests began in the data centre after the grace period."""
        return sum(
            1
            for record in records
            if record.kind is RecordKind.RUN
            and record.data_centre == self.data_centre
            and self.from_ms + grace_ms <= record.at_ms < self.to_ms
        )


class History(msgspec.Struct, frozen=True):
    """The number of violations of each invariant.

    ``crash_excess`` counts the upstreams crashed by one request beyond the two that
    are allowed.
    """

    wrong: int
    ran_twice: int
    refused_but_ran: int
    late_work_out: int
    late_work_leaving: int
    crash_excess: int
    revisions_lowered: int


def count_late_leaving(records: list[Record], grace_ms: int = LATE_GRACE_MS) -> int:
    """Return how many requests began at left upstreams after the grace period."""
    left_ms = {
        record.boot: record.at_ms
        for record in records
        if record.kind is RecordKind.LEFT
    }
    return sum(
        1
        for record in records
        if record.kind is RecordKind.RUN
        and record.boot in left_ms
        and record.at_ms >= left_ms[record.boot] + grace_ms
    )


def count_crash_excess(records: list[Record]) -> int:
    """Return how many upstream crashes exceed the number allowed per request."""
    crashes = Counter(
        record.token for record in records if record.kind is RecordKind.CRASH
    )
    return sum(max(0, count - CRASHES_ALLOWED) for count in crashes.values())


def check_history(
    results: list[LoadResult],
    records: list[Record],
    out_periods: list[OutPeriod],
    revisions_lowered: int,
) -> History:
    """Return the number of violations of each invariant."""
    refused = set().union(*(result.refused_attempts() for result in results))
    return History(
        wrong=sum(result.counts().wrong for result in results),
        ran_twice=count_ran_twice(records),
        refused_but_ran=count_run_of_attempts(records, refused),
        late_work_out=sum(
            period.late_work(records, LATE_GRACE_MS) for period in out_periods
        ),
        late_work_leaving=count_late_leaving(records),
        crash_excess=count_crash_excess(records),
        revisions_lowered=revisions_lowered,
    )


class _ConfigurationPart(msgspec.Struct):
    revision: int


class _DumpPart(msgspec.Struct):
    configuration: _ConfigurationPart


class RevisionWatch:
    """Polls the revision in force at each node and counts decreases.

    Revision 0 means that a node has no configuration yet, and is ignored.

    Parameters
    ----------
    deployment : Deployment
        The deployment whose nodes are polled.
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.lowered = 0
        self._highest: dict[str, int] = {}

    async def run(self) -> None:
        """Poll the nodes until cancelled."""
        while True:
            for place in self.deployment.nodes:
                try:
                    answer = await place.dump()
                except PeerError:
                    continue
                self._record_revision(place.name, answer.body)
            await asyncio.sleep(WATCH_INTERVAL_MS / MS_PER_S)

    def _record_revision(self, name: str, dump: bytes) -> None:
        revision = msgspec.json.decode(dump, type=_DumpPart).configuration.revision
        if not revision:
            return
        if revision < self._highest.get(name, 0):
            self.lowered += 1
        self._highest[name] = max(revision, self._highest.get(name, 0))
