"""Reads the upstream's load and health reports, which may be outdated or wrong.

A report can only restart the warm-up. It never raises the limit that the gate has
learnt, and reports that flap restart the warm-up only rarely.
"""

import asyncio
import itertools

import msgspec

from cicadawheel.announcement import Announcement, UpstreamLoad
from cicadawheel.errors import CicadawheelError
from cicadawheel.http.exchange import HttpAnswer, fetch
from cicadawheel.settings import Address, GateSettings

FAILURES_TO_RESTART = 2
RESTART_PAUSE_FACTOR = 10.0
FETCH_TIMEOUT_MS = 500.0
# Far above the size of any valid report.
BODY_LIMIT_BYTES = 65_536
OK_STATUS = 200


class ReportWatch:
    """Detects the start of a reported cold start or of failing health checks.

    Parameters
    ----------
    settings : GateSettings
        The report interval and the length of a warm-up.
    """

    def __init__(self, settings: GateSettings):
        self.settings = settings
        self._cold = False
        self._failures = 0
        self._read_at_ms = 0.0
        self._restarted_at_ms: float | None = None

    def is_due(self, now_ms: float) -> bool:
        """Return whether the next report is due."""
        return now_ms - self._read_at_ms >= self.settings.report_interval_ms

    def report_requested(self, now_ms: float) -> None:
        """Record that a report is requested."""
        self._read_at_ms = now_ms

    def load_read(self, load: UpstreamLoad, now_ms: float) -> str:
        """Return the cause for a new warm-up, or an empty string."""
        before, self._cold = self._cold, load.cold
        if load.cold and not before:
            return self._restart_cause("reports a cold start", now_ms)
        return ""

    def health_read(self, healthy: bool, now_ms: float) -> str:
        """Return the cause for a new warm-up, or an empty string."""
        self._failures = 0 if healthy else self._failures + 1
        if self._failures == FAILURES_TO_RESTART:
            return self._restart_cause("health check fails", now_ms)
        return ""

    def _restart_cause(self, cause: str, now_ms: float) -> str:
        pause_ms = RESTART_PAUSE_FACTOR * self.settings.warm_up_ms
        last_ms = self._restarted_at_ms
        if last_ms is not None and now_ms - last_ms < pause_ms:
            return ""
        self._restarted_at_ms = now_ms
        return cause


class ReportReader:
    """Fetches the load and health reports of one upstream in turn.

    Parameters
    ----------
    watch : ReportWatch
        Evaluates the reports.
    """

    def __init__(self, watch: ReportWatch):
        self.watch = watch
        self._turn = itertools.count()
        self._task: asyncio.Task | None = None

    def read(self, upstream: Announcement, now_ms: float, on_restart) -> None:
        """Fetch the next report; ``on_restart`` gets the cause if a warm-up is due."""
        self.watch.report_requested(now_ms)
        if self._task is None or self._task.done():
            work = self._read(upstream, now_ms, on_restart)
            self._task = asyncio.ensure_future(work)

    def close(self) -> None:
        """Cancel a fetch in progress."""
        if self._task is not None:
            self._task.cancel()

    async def _read(self, upstream: Announcement, now_ms: float, on_restart) -> None:
        if next(self._turn) % 2:
            answer = await get_report(upstream, upstream.health_path)
            healthy = answer is not None and answer.status == OK_STATUS
            cause = self.watch.health_read(healthy, now_ms)
        else:
            load = _decode(await get_report(upstream, upstream.load_path))
            cause = self.watch.load_read(load, now_ms) if load is not None else ""
        if cause:
            on_restart(cause)


async def get_report(upstream: Announcement, path: str) -> HttpAnswer | None:
    """Fetch a path from an upstream; return None without a complete answer."""
    address = Address(upstream.host, upstream.port)
    try:
        return await fetch(
            address,
            "GET",
            path,
            timeout_ms=FETCH_TIMEOUT_MS,
            body_limit_bytes=BODY_LIMIT_BYTES,
        )
    except CicadawheelError:
        return None


def _decode(answer: HttpAnswer | None) -> UpstreamLoad | None:
    if answer is None or answer.status != OK_STATUS:
        return None
    try:
        return msgspec.json.decode(answer.body, type=UpstreamLoad)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
