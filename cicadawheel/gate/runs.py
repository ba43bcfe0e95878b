"""The requests in progress at a node's own upstream, and the calls that they make.

While an upstream runs a request, it may call another service through its own node. If
such a nested call fails, the work done for the outer request is lost.

Does no I/O and reads no clock.
"""

import msgspec

from cicadawheel.ids import RequestId
from cicadawheel.messages import CallOpen

RUN_ID_SEPARATOR = "."
"""Separates the id of a run from the suffix in the ids of calls that it makes."""

MIN_SPENT_MS = 1.0
"""The least work that a nested call reports, as 0 means that it isn't nested."""


CALLS_REFUSED_MS = 2_000.0
"""For how long a kind isn't run once more after calls of its runs were refused because
the retry budget of their service is spent: the calls of a repeat would be charged too.
Budget comes back in the course of its window, which is several times as long."""


def request_kind(method: str, target: str) -> str:
    """Return the method and first path segment, the key of service time statistics."""
    path = target.partition("?")[0]
    return f"{method} {path.split('/', 2)[1] if '/' in path else path}"


class Run(msgspec.Struct, frozen=True):
    """A request in progress.

    ``target_at_ms`` is 0 if the target is unknown, and ``work_ms`` if the usual service
    time is. ``outer_spent_ms`` is the work done for the requests above this one.
    """

    ticket: int
    priority: int
    target_at_ms: float
    deadline_at_ms: float
    sent_at_ms: float
    work_ms: float
    outer_spent_ms: float
    kind: str

    def spent_ms(self, now_ms: float) -> float:
        """Return the work that is lost if a call of this run fails.

        Slowness of the VM and waits for earlier calls don't count as work.
        """
        passed_ms = now_ms - self.sent_at_ms
        done_ms = min(passed_ms, self.work_ms or passed_ms)
        return max(MIN_SPENT_MS, self.outer_spent_ms + done_ms)


class Runs:
    """The requests in progress at one upstream.

    A call has the id of its run with a suffix.
    """

    def __init__(self):
        self._by_request: dict[RequestId, Run] = {}
        self._requests: dict[int, RequestId] = {}
        self._calls_refused_at_ms: dict[str, float] = {}

    def add(
        self, ticket: int, call: CallOpen, deadline_at_ms: float, now_ms: float
    ) -> None:
        """Record a request that is sent to the upstream."""
        received_at_ms = deadline_at_ms - call.deadline_ms
        target_at_ms = received_at_ms + call.target_ms if call.target_ms else 0.0
        self._requests[ticket] = call.request
        self._by_request[call.request] = Run(
            ticket,
            call.priority,
            target_at_ms,
            deadline_at_ms,
            now_ms,
            call.work_ms,
            call.spent_ms,
            request_kind(call.method, call.target),
        )

    def end(self, ticket: int) -> None:
        """Forget a request that has ended, if it was sent at all."""
        request = self._requests.pop(ticket, None)
        run = None if request is None else self._by_request.get(request)
        if run is not None and run.ticket == ticket:
            del self._by_request[request]

    def outer(self, request: RequestId) -> Run | None:
        """Return the run that makes a call, or None if the call isn't nested."""
        run = request.rpartition(RUN_ID_SEPARATOR)[0]
        return self._by_request.get(run) if run else None

    def call_refused(self, request: RequestId, now_ms: float) -> None:
        """Record that a call was refused because the retry budget is spent."""
        run = self.outer(request)
        if run is None:
            return
        since_ms = now_ms - CALLS_REFUSED_MS
        refused = self._calls_refused_at_ms
        for kind in [one for one, at_ms in refused.items() if at_ms <= since_ms]:
            del refused[kind]
        refused[run.kind] = now_ms

    def are_calls_refused(self, kind: str, now_ms: float) -> bool:
        """Return whether the calls of another run of a kind would be refused too."""
        at_ms = self._calls_refused_at_ms.get(kind)
        return at_ms is not None and now_ms - at_ms < CALLS_REFUSED_MS
