"""The path of one request, put together from the logs of several processes.

Reads the lines of ``key=value`` pairs that processes write, whatever stands before
their time, and keeps those that name the request, or a call that it has made.
"""

import shlex
from collections.abc import Iterable, Iterator

import msgspec

from cicadawheel.messages import RefusalReason

FIRST_FIELD = "at="
TIME_FIELDS = ("at", "level", "event", "process")

CAUSES = {
    RefusalReason.OVERLOAD: "upstreams had more calls than they could answer in time",
    RefusalReason.QUEUE_DEADLINE: "its wait for a slot would have passed its deadline",
    RefusalReason.COLD: "the upstreams had just started, and bear little at first",
    RefusalReason.DEADLINE: "no answer had come at its deadline",
    RefusalReason.NO_VIEW: "the node had just started and knew no configuration yet",
    RefusalReason.NO_UPSTREAM: "no upstream of the service was known to take work",
    RefusalReason.DATA_CENTRE_OUT: "operators have taken its data centre out",
    RefusalReason.LEAVING: "the upstream was leaving, or its node was being stopped",
    RefusalReason.UPSTREAM_DIED: "the upstream ended its connection without an answer",
    RefusalReason.UPSTREAM_UNREACHABLE: "the upstream took no connection",
    RefusalReason.TRUNCATED: "the upstream's answer was cut short, or not its own",
    RefusalReason.PEER_LOST: "the stream to the other node ended",
    RefusalReason.QUARANTINED: "it has crashed upstreams, and is refused everywhere",
    RefusalReason.SUSPECTED: "it may crash upstreams, and runs at one of them only",
    RefusalReason.WITHDRAWN: "the upstream's version was taken back",
    RefusalReason.RETRY_BUDGET: "the service's budget for further tries was spent",
    RefusalReason.WRONG_SERVICE: "the node's upstream is of another service or version",
    RefusalReason.CANCELLED: "the call was cancelled",
    RefusalReason.DEPTH: "too many calls stood above it",
    RefusalReason.NO_CLAIM: "control didn't confirm in time that it may run",
}
"""Why a call was refused, by the reason in its line."""


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log."""

    at: str
    event: str
    process: str
    fields: dict[str, str]

    def __str__(self) -> str:
        """Return the line, without what all lines have."""
        named = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at} {self.process} {self.event} {named}".rstrip()


class Explanation(msgspec.Struct, frozen=True):
    """What became of a request, the lines that tell it, and the cause."""

    request: str
    lines: tuple[LogLine, ...]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Return the lines that hold an event; others are passed over."""
    for text in texts:
        start = text.find(FIRST_FIELD)
        line = None if start < 0 else _parse(text[start:])
        if line is not None:
            yield line


def explain(request: str, texts: Iterable[str]) -> Explanation:
    """Return the path of a request through all processes, and its cause.

    Parameters
    ----------
    request : str
        Its id, as callers and logs know it.
    texts : iterable of str
        The lines of all logs, in any order.
    """
    found = [line for line in read_lines(texts) if _names(line, request)]
    found.sort(key=lambda line: line.at)
    return Explanation(request, tuple(found), _cause(request, found))


def _parse(text: str) -> LogLine | None:
    try:
        words = shlex.split(text, posix=True)
    except ValueError:
        return None
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    if "event" not in fields:
        return None
    at, _, event, process = (fields.pop(name, "") for name in TIME_FIELDS)
    return LogLine(at, event, process, fields)


def _names(line: LogLine, request: str) -> bool:
    """Return whether a line is of a request, or of a call that it has made."""
    named = line.fields.get("request", "")
    return named == request or named.startswith(f"{request}.")


def _cause(request: str, lines: list[LogLine]) -> str:
    ends = [line for line in lines if line.event == "call_ended"]
    own = [line for line in ends if line.fields["request"] == request]
    early = [line for line in lines if line.event in ("call_refused", "call_faulty")]
    if not own and early:
        return _refusal(early[-1])
    if not own:
        return "no line tells how it ended: it may have been left out, or still runs"
    last = own[-1].fields
    refused = [line for line in lines if line.event == "call_refused"]
    for line in reversed(refused):
        if line.fields["request"] == request:
            return _refusal(line)
    if last.get("end") == "caller left":
        return f"its caller left after {last.get('took_ms')} ms"
    if last.get("status", "").startswith("5"):
        below = [line for line in refused if line.fields["request"] != request]
        if below:
            inner = below[-1].fields["request"]
            return f"its own call {inner} failed: {_refusal(below[-1])}"
        return (
            f"the upstream at {last.get('node')} answered {last['status']} after "
            f"{last.get('took_ms')} ms"
        )
    return f"it was answered {last.get('status')} after {last.get('took_ms')} ms"


def _refusal(line: LogLine) -> str:
    reason = line.fields.get("reason", "")
    why = next((text for key, text in CAUSES.items() if key.value == reason), reason)
    ran = "was not run" if line.fields.get("not_run") == "True" else "may have run"
    node = line.fields.get("node", "")
    return f"{why}; it {ran}; the last gate asked was that of {node}"
