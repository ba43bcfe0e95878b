"""The platform's header fields and the format of their values."""

from cicadawheel.announcement import UpstreamLoad
from cicadawheel.http.dialect import NO_FIELD, Dialect

ATTEMPT_ID = b"attempt-id"
TIMEOUT_MS = b"timeout-ms"
CALLER_SERVICE = b"caller-service"
TARGET_INSTANCE = b"target-instance"

NORMAL_SLOWNESS_PERCENT = 100.0
"""Slowness, the fourth load value, of an upstream with its normal service time."""

LOAD_VALUE_LIMIT = 1_000_000.0
"""Upper bound of each load value, far above what an upstream can have."""


def decode_load(value: bytes) -> UpstreamLoad | None:
    """Decode a load header: in flight, queued, slots and, optionally, slowness.

    Return None if the value is malformed.
    """
    try:
        values = [float(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(values) < 3 or not all(0.0 <= item <= LOAD_VALUE_LIMIT for item in values):
        return None
    slowness = values[3] / NORMAL_SLOWNESS_PERCENT if len(values) > 3 else 1.0
    return UpstreamLoad(
        in_flight=int(values[0]),
        slots=int(values[2]),
        queued=int(values[1]),
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
