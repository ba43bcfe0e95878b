"""Parsers of durations, addresses and numbers on the command line."""

import re

from cicadawheel.errors import UserError
from cicadawheel.operator.times import TIME, parse_time_ms
from cicadawheel.settings import Address, parse_address

DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h)$")
UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000}

MAX_DURATION_MS = 10 * 366 * 24 * UNIT_MS["h"]
"""Ten years; deadlines much further away can't be written as a date."""


class InputError(UserError):
    """An invalid value on the command line."""


def parse_duration_ms(name: str, text: str) -> float:
    """Parse a duration such as ``30m`` and return it in milliseconds.

    Raises
    ------
    InputError
        The text isn't a duration above 0, or it is longer than ten years.
    """
    match = DURATION.match(text or "")
    duration_ms = float(match[1]) * UNIT_MS[match[2]] if match else 0.0
    if duration_ms <= 0:
        raise InputError(
            f"{name} {text}: give a number above 0 with its unit ms, s, m or h, "
            "such as 30m"
        )
    if duration_ms > MAX_DURATION_MS:
        raise InputError(f"{name} {text}: give at most ten years")
    return duration_ms


def parse_deadline_ms(name: str, text: str, now_ms: int) -> int:
    """Parse a deadline, a time or a duration from now, and return its Unix time.

    Raises
    ------
    InputError
        The text is neither a time nor a duration.
    """
    if TIME.match(text or ""):
        try:
            return parse_time_ms(text)
        except ValueError as error:
            raise InputError(f"{name} {text}: {error}") from None
    return round(now_ms + parse_duration_ms(name, text))


def parse_addresses(name: str, text: str) -> tuple[Address, ...]:
    """Parse addresses separated by commas.

    Raises
    ------
    InputError
        An address is invalid, or there is none.
    """
    items = [item.strip() for item in text.split(",") if item.strip()]
    if not items:
        raise InputError(f"{name}: give host:port, or several separated by commas")
    return tuple(parse_address_value(name, item) for item in items)


def parse_address_value(name: str, text: str) -> Address:
    """Parse an address.

    Raises
    ------
    InputError
        The text isn't an address.
    """
    try:
        return parse_address(text)
    except ValueError as error:
        raise InputError(f"{name} {text}: {error}") from None


def parse_revision(name: str, text: str) -> int:
    """Parse a revision.

    Raises
    ------
    InputError
        The text isn't an integer of at least 0.
    """
    if not (text.isascii() and text.isdigit()):
        raise InputError(f"{name} {text}: give a whole number from 0")
    return int(text)
