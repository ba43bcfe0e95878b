"""Tests of the formatting of log values."""

from enum import Enum

import pytest

from cicadawheel.logs import format_value


class Reason(Enum):
    OUT = "data centre is out"
    COLD = "cold"


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("plain", "plain"),
        ("", '""'),
        ('two "words"\n', '"two \\"words\\"\\n"'),
        (1.5, "1.5"),
        (2.0, "2"),
        (True, "True"),
        (Reason.COLD, "cold"),
        (Reason.OUT, '"data centre is out"'),
    ],
)
def test_value_is_formatted_on_one_line(value, text):
    assert format_value(value) == text
