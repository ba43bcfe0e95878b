"""Tests of settings files: defaults and one-line error messages."""

import pytest

from cicadawheel.errors import SettingsError
from cicadawheel.settings import Address, load_settings

MINIMAL = "[process]\nname = node-1\nkey = 0123456789abcdef\n"


def load(tmp_path, text):
    path = tmp_path / "node.ini"
    path.write_text(text)
    return load_settings(path)


def test_missing_keys_use_defaults(tmp_path):
    settings = load(tmp_path, MINIMAL + "[node]\ncaller_address = 127.0.0.1:9\n")
    assert settings.node.caller_address == Address("127.0.0.1", 9)
    assert settings.gate.queue_limit == 32


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[gates]\n", "section [gates] is unknown"),
        ("[gate]\nqueue = 3\n", "[gate] queue: unknown key"),
        ("[gate]\nqueue_limit = many\n", "[gate] queue_limit = many"),
        ("[gate]\ncold_share = 2\n", "[gate] cold_share = 2"),
        ("[node]\npeer_address = x\n", "give host:port"),
        ("[node]\npeer_address = 127.0.0.1:8000\n", "clashes with caller_address"),
        ("[node\n", "node.ini"),
    ],
)
def test_error_message_gives_location(tmp_path, text, expected):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, MINIMAL + text)
    assert expected in str(caught.value)
    assert "\n" not in str(caught.value)
