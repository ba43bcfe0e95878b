"""Failures of nodes' requests, logged without a line for each repetition."""

import logging

from cicadawheel.errors import CicadawheelError
from cicadawheel.logs import log_event
from cicadawheel.timer import TimerService

log = logging.getLogger(__name__)

REPEAT_INTERVAL_MS = 1_000.0


class RequestFailures:
    """Logs the first failure for a reason at once, and its repetitions as a count.

    Parameters
    ----------
    timers : TimerService
        The time source.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._repeated: dict[str, int] = {}

    def record(self, error: CicadawheelError) -> None:
        """Log or count the failure of a request."""
        reason = str(error)
        if reason in self._repeated:
            self._repeated[reason] += 1
            return
        self._log(reason, 1)

    def _log(self, reason: str, requests: int) -> None:
        log_event(log, "node_request_failed", reason=reason, requests=requests)
        self._repeated[reason] = 0
        self._timers.once(REPEAT_INTERVAL_MS, lambda _: self._report(reason))

    def _report(self, reason: str) -> None:
        requests = self._repeated.pop(reason)
        if requests:
            self._log(reason, requests)
