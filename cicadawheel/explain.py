"""Traces one request through the logs of several processes.

Parses lines of ``key=value`` pairs, ignoring any prefix before their time, and keeps
those of the request and of the nested calls that it has made.
"""

import shlex
from collections.abc import Iterable, Iterator

import msgspec

from cicadawheel.messages import RefusalReason

TIME_PREFIX = "at="
COMMON_FIELDS = ("at", "level", "event", "process")

REFUSAL_CAUSES = {
    RefusalReason.BUSY: "all upstreams that were tried had no free slot",
    RefusalReason.OVERLOAD: "upstreams had more calls than they could answer in time",
    RefusalReason.QUEUE_DEADLINE: "its wait for a slot would have passed its deadline",
    RefusalReason.COLD: "the upstreams had just started and were still warming up",
    RefusalReason.DEADLINE: "no answer had come at its deadline",
    RefusalReason.NO_VIEW: "the node had just started and knew no configuration yet",
    RefusalReason.NO_UPSTREAM: "no upstream of the service was known to be available",
    RefusalReason.DATA_CENTRE_OUT: "operators have taken its data centre out",
    RefusalReason.LEAVING: "the upstream was leaving, or its node was being stopped",
    RefusalReason.UPSTREAM_DIED: "the upstream ended its connection without an answer",
    RefusalReason.UPSTREAM_UNREACHABLE: "the upstream accepted no connection",
    RefusalReason.TRUNCATED: "the upstream's answer was truncated, malformed or stale",
    RefusalReason.PEER_LOST: "the stream to the other node ended",
    RefusalReason.QUARANTINED: "it has crashed upstreams, and is refused everywhere",
    RefusalReason.SUSPECTED: "it may crash upstreams, and runs at one of them only",
    RefusalReason.WITHDRAWN: "the upstream's version was withdrawn",
    RefusalReason.RETRY_BUDGET: "the service's retry budget was spent",
    RefusalReason.WRONG_SERVICE: "the node's upstream is of another service or version",
    RefusalReason.CANCELLED: "the call was cancelled",
    RefusalReason.DEPTH: "its depth of nested calls was above the limit",
    RefusalReason.NO_CLAIM: "control didn't confirm in time that it may run",
}
"""Explanation of each refusal reason that a log line can hold."""


class LogLine(msgspec.Struct, frozen=True):
    """A parsed log line."""

    at: str
    event: str
    process: str
    fields: dict[str, str]

    def __str__(self) -> str:
        """Return the time, process, event and fields of the line, without its level."""
        fields_text = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at} {self.process} {self.event} {fields_text}".rstrip()


class Explanation(msgspec.Struct, frozen=True):
    """The log lines of a request, and the cause of its outcome."""

    request: str
    lines: tuple[LogLine, ...]
    cause: str


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse the lines that hold an event, and skip all others."""
    for text in texts:
        start = text.find(TIME_PREFIX)
        line = None if start < 0 else _parse_line(text[start:])
        if line is not None:
            yield line


def explain(request: str, texts: Iterable[str]) -> Explanation:
    """Collect the log lines of a request in order of time, and find its cause.

    Parameters
    ----------
    request : str
        The request id, as in callers' headers and in logs.
    texts : iterable of str
        The lines of all logs, in any order.
    """
    matching = [line for line in parse_lines(texts) if _concerns(line, request)]
    matching.sort(key=lambda line: line.at)
    return Explanation(request, tuple(matching), _find_cause(request, matching))


def _parse_line(text: str) -> LogLine | None:
    try:
        words = shlex.split(text, posix=True)
    except ValueError:
        return None
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    if "event" not in fields:
        return None
    at, _, event, process = (fields.pop(name, "") for name in COMMON_FIELDS)
    return LogLine(at, event, process, fields)


def _concerns(line: LogLine, request: str) -> bool:
    """Return whether a line is of a request or of a call nested in it."""
    request_id = line.fields.get("request", "")
    return request_id == request or request_id.startswith(f"{request}.")


def _find_cause(request: str, lines: list[LogLine]) -> str:
    ends = [line for line in lines if line.event == "call_ended"]
    own_ends = [line for line in ends if line.fields["request"] == request]
    rejections = [
        line for line in lines if line.event in ("call_refused", "call_faulty")
    ]
    if not own_ends and rejections:
        return _refusal_text(rejections[-1])
    if not own_ends:
        return "no line shows how it ended: it may be dropped, or the call still runs"
    last = own_ends[-1].fields
    refused = [line for line in lines if line.event == "call_refused"]
    for line in reversed(refused):
        if line.fields["request"] == request:
            return _refusal_text(line)
    if last.get("end") == "caller left":
        return f"its caller left after {last.get('took_ms')} ms"
    if last.get("status", "").startswith("5"):
        nested = [line for line in refused if line.fields["request"] != request]
        if nested:
            nested_id = nested[-1].fields["request"]
            return f"its own call {nested_id} failed: {_refusal_text(nested[-1])}"
        return (
            f"the upstream at {last.get('node')} answered {last['status']} after "
            f"{last.get('took_ms')} ms"
        )
    return f"it was answered {last.get('status')} after {last.get('took_ms')} ms"


def _refusal_text(line: LogLine) -> str:
    reason = line.fields.get("reason", "")
    cause = next(
        (text for key, text in REFUSAL_CAUSES.items() if key.value == reason), reason
    )
    execution = (
        "was not run" if line.fields.get("not_run") == "True" else "may have run"
    )
    node = line.fields.get("node", "")
    return f"{cause}; it {execution}; the last gate asked was that of {node}"
