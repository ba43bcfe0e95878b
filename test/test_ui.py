"""The command line: invalid input, files, exit codes, and the module as a process."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from cicadawheel.answers import read_answers
from cicadawheel.configuration import Configuration
from cicadawheel.ui import main

EXAMPLES = Path(__file__).parent.parent / "examples"
KUSHIRO = str(EXAMPLES / "kushiro.ini")
CONTROL = "--control=127.0.0.1:1"
RELEASE = ["release", "start", "booking", "v2", CONTROL]


@pytest.fixture(autouse=True)
def no_control_address(monkeypatch):
    monkeypatch.delenv("CICADAWHEEL_CONTROL", raising=False)


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["nonsense"], 'The command "nonsense" does not exist'),
        (["status", "--nonsense"], 'The option "--nonsense" does not exist'),
        (["data-centre", "out"], 'Not enough arguments (missing: "data-centre")'),
        (["status"], "control's address is missing: give --control host:port"),
        (["status", "--control", "x"], "--control x: give host:port"),
        (["status", "--control", ","], "--control: give host:port"),
        (["status", CONTROL, "--timeout", "3"], "--timeout 3: give a number above 0"),
        (RELEASE, "--deadline : give a number above 0"),
        ([*RELEASE, "--deadline", "0m"], "--deadline 0m: give a number above 0"),
        (
            [*RELEASE, "--deadline", "1h", "--expected-revision", "x"],
            "--expected-revision x: give a whole number",
        ),
        (
            [*RELEASE, "--deadline", "1h", "--operation", "x"],
            "give its --deadline as a time such as",
        ),
        (
            ["release", "stop", "booking", CONTROL, "--operation", "x"],
            "give its --expected-revision too",
        ),
        (
            [*RELEASE, "--deadline", "2026-13-45T08:30:00Z"],
            "--deadline 2026-13-45T08:30:00Z: month must be in 1..12",
        ),
        ([*RELEASE, "--deadline", "9" * 400 + "h"], "give at most ten years"),
        (["dump", "127.0.0.1"], "address 127.0.0.1: give host:port"),
        (["settings", "check", "none.ini"], "none.ini: can't be read"),
        (["node", "none.ini"], "none.ini: can't be read"),
        (["control", "none.ini"], "none.ini: can't be read"),
        (["answers", "check", "none.ini"], "none.ini: can't be read"),
        (["answers", "new", KUSHIRO], "kushiro.ini: can't be written: File exists"),
    ],
)
def test_invalid_input_prints_one_line_and_exits_with_2(arguments, expected, capsys):
    assert main(arguments) == 2
    captured = capsys.readouterr()
    assert expected in captured.err
    assert captured.err.startswith("cicadawheel: ")
    assert captured.err.count("\n") == 1


def test_all_errors_of_an_answers_file_are_shown(tmp_path, capsys):
    path = tmp_path / "answers.ini"
    path.write_text("[data-centre a]\n[service s]\n")
    assert main(["answers", "apply", str(path), CONTROL]) == 2
    assert capsys.readouterr().err.count("\n") == 2


@pytest.mark.parametrize("arguments", [["status"], ["dump", "127.0.0.1:1"]])
def test_unreachable_process_exits_with_1(arguments, capsys):
    assert main([*arguments, CONTROL, "--timeout", "1ms"]) == 1
    assert "127.0.0.1:1 refuses connections" in capsys.readouterr().err


def test_control_address_is_read_from_the_environment(monkeypatch, capsys):
    monkeypatch.setenv("CICADAWHEEL_CONTROL", "127.0.0.1:2, 127.0.0.1:3")
    assert main(["status", "--timeout", "1ms"]) == 1
    captured = capsys.readouterr().err
    assert "127.0.0.1:2 refuses" in captured
    assert "127.0.0.1:3 refuses" in captured


def test_new_questionnaire_is_not_overwritten(tmp_path, capsys):
    path = tmp_path / "new.ini"
    assert main(["answers", "new", str(path)]) == 0
    assert read_answers(path).services[0].name == "shop"
    assert main(["answers", "new", str(path)]) == 2
    capsys.readouterr()
    assert main(["answers", "new"]) == 0
    assert capsys.readouterr().out == path.read_text()


def test_generated_configuration_is_json(capsys):
    assert main(["answers", "generate", KUSHIRO]) == 0
    text = capsys.readouterr().out
    configuration = msgspec.json.decode(text, type=Configuration)
    assert configuration.services.keys() == {"booking", "materials"}


def test_settings_are_checked(tmp_path, capsys):
    path = tmp_path / "node.ini"
    path.write_text("[process]\nname = node-1\nkey = 0123456789abcdef\n")
    assert main(["settings", "check", str(path)]) == 0
    assert "correct, settings of node-1" in capsys.readouterr().out


def test_module_runs_as_a_process():
    command = [sys.executable, "-m", "cicadawheel", "answers", "check", "none.ini"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert result.returncode == 2
    assert result.stderr.startswith("cicadawheel: none.ini: can't be read")
