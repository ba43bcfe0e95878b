"""The platform's header fields, and how their values are written."""

from cicadawheel.announcement import UpstreamLoad
from cicadawheel.http.dialect import NO_FIELD, Dialect

ATTEMPT_ID = b"attempt-id"
TIMEOUT_MS = b"timeout-ms"
CALLER_SERVICE = b"caller-service"
TARGET_INSTANCE = b"target-instance"

USUAL_SLOWNESS = 100.0
"""The fourth figure of a load, in hundredths of the usual time for work."""

FIGURE_LIMIT = 1_000_000.0
"""More calls, slots or hundredths than any upstream has."""


def decode_load(value: bytes) -> UpstreamLoad | None:
    """Return the load in a header's value, or None if it can't be read."""
    try:
        figures = [float(figure) for figure in value.split(b",")]
    except ValueError:
        return None
    if len(figures) < 3 or not all(0.0 <= one <= FIGURE_LIMIT for one in figures):
        return None
    slowness = figures[3] / USUAL_SLOWNESS if len(figures) > 3 else 1.0
    return UpstreamLoad(
        in_flight=int(figures[0]),
        slots=int(figures[2]),
        queued=int(figures[1]),
        slowness=slowness,
    )


PLATFORM_DIALECT = Dialect(
    request_id=ATTEMPT_ID,
    deadline_ms=TIMEOUT_MS,
    depth=NO_FIELD,
    service=NO_FIELD,
    key=NO_FIELD,
    not_run=b"not-executed",
    caller_service=CALLER_SERVICE,
    expected_upstream=TARGET_INSTANCE,
    seal=b"server-seal",
    load=b"backend-load",
    cold_ms=b"cold-ms",
    upstream=b"instance-id",
    echoes_request_id=True,
    decode_load=decode_load,
    replaced_fields=frozenset((TIMEOUT_MS, CALLER_SERVICE, TARGET_INSTANCE)),
)
