"""The repeats among the requests of one gate, and the calls that these make."""

import logging
from collections.abc import Callable

from cicadawheel.ids import RequestId, ServiceName
from cicadawheel.logs import log_event
from cicadawheel.messages import CallOpen, Repeat
from cicadawheel.timer import Clock

log = logging.getLogger(__name__)

CALL_MARK = "."
"""Ends the id of a run in the ids of calls that it makes."""

KEPT_MS = 1_000.0
"""How long a run is remembered past its deadline: an upstream may end it late."""

CountRepeat = Callable[[ServiceName, Repeat, str], None]


class RepeatedRuns:
    """The runs of one upstream that are repeats, to know the calls that they make.

    A call has the id of its run, or one that goes on from it.
    """

    def __init__(self):
        self._expires_at_ms: dict[RequestId, float] = {}

    def began(self, request: RequestId, expires_at_ms: float, now_ms: float) -> None:
        """Take note of a repeat that is sent to the upstream."""
        runs = self._expires_at_ms
        for known in [one for one, at_ms in runs.items() if at_ms + KEPT_MS < now_ms]:
            del runs[known]
        runs[request] = expires_at_ms

    def include(self, request: RequestId) -> bool:
        """Return whether a call is made by one of the runs."""
        run = request.rpartition(CALL_MARK)[0]
        return request in self._expires_at_ms or run in self._expires_at_ms


class GateRepeats:
    """Counts the repeats that a gate sends to its upstream.

    Parameters
    ----------
    clock : Clock
        Where the time comes from.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.count: CountRepeat = _count_nowhere
        self._runs = RepeatedRuns()

    def sent(self, call: CallOpen, expires_at_ms: float) -> None:
        """Take note of a request that is sent to the upstream."""
        if call.repeat is Repeat.FIRST:
            return
        self._runs.began(call.request, expires_at_ms, self.clock.now_ms())
        self.count(call.service, call.repeat, "sent")
        log_event(
            log,
            "repeat_sent",
            request=call.request,
            service=call.service,
            cause=call.repeat.value,
        )

    def is_within(self, request: RequestId) -> bool:
        """Return whether a call of this node's upstream is made within a repeat."""
        return self._runs.include(request)


def _count_nowhere(service: ServiceName, cause: Repeat, outcome: str) -> None:
    """Stand in while there are no metrics."""
