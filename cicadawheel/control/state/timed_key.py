"""Idempotency keys that contain a creation time: UUIDs of version 7."""

import re

from cicadawheel.ids import IdempotencyKey

KEY_SKEW_MS = 300_000
TIME_DIGITS = 12
UUID_7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


def key_time_ms(key: IdempotencyKey) -> int | None:
    """Return the Unix time in a key, or None if it is no version 7 UUID."""
    text = key.lower()
    if not UUID_7.fullmatch(text):
        return None
    return int(text.replace("-", "")[:TIME_DIGITS], 16)
