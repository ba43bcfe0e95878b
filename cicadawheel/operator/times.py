"""Formatting and parsing of UTC times for operators."""

import re
from datetime import UTC, datetime

from cicadawheel.timer import MS_PER_S

TIME = re.compile(r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{3})?Z$")


def time_text(at_ms: int) -> str:
    """Format a Unix time, such as ``2027-01-15T08:30:00Z``, to the millisecond."""
    at = datetime.fromtimestamp(at_ms / MS_PER_S, UTC)
    text = at.replace(tzinfo=None).isoformat(timespec="milliseconds")
    return f"{text.removesuffix('.000')}Z"


def parse_time_ms(text: str) -> int:
    """Return the Unix time of a text in the format of `time_text`.

    Raises
    ------
    ValueError
        The text is not a time in that format.
    """
    if not TIME.match(text):
        raise ValueError("give a time in UTC such as 2027-01-15T08:30:00Z")
    return round(datetime.fromisoformat(text).timestamp() * MS_PER_S)
