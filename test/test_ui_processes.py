"""An operator session against a control replica and a node that run as processes."""

import asyncio
import contextlib
import itertools
import re
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from bench.ports import free_port
from cicadawheel.announcement import ANNOUNCE_PATH, Announcement
from cicadawheel.errors import PeerError
from cicadawheel.http.exchange import fetch
from cicadawheel.operator import ControlStatus
from cicadawheel.settings import Address
from cicadawheel.ui import main

KUSHIRO = Path(__file__).parent.parent / "examples" / "kushiro.ini"
START_TIMEOUT_S = 30.0
RETRY_PAUSE_S = 0.02
PROCESS = "[process]\nname = {name}\ndata_centre = kushiro-a\nkey = 0123456789abcdef\n"
CONTROL = "[control]\nstream_address={0}\noperator_address={1}\nreplica_address={2}\n"
NODE = "[node]\ncontrol_addresses={0}\ncaller_address={3}\npeer_address={4}\n"
NODE_ADMIN = "admin_address={5}\n"


def free_addresses(count):
    return [Address("127.0.0.1", free_port()) for _ in range(count)]


def request_until(address, method, target, body, accept):
    """Repeat a request until ``accept`` returns true for its answer."""
    asyncio.run(_request_until(address, method, target, body, accept))


async def _request_until(address, method, target, body, accept):
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(PeerError):
                if accept(await fetch(address, method, target, body)):
                    return
            await asyncio.sleep(RETRY_PAUSE_S)


def has_node(answer):
    return bool(msgspec.json.decode(answer.body, type=ControlStatus).nodes)


@pytest.fixture
def processes(tmp_path, monkeypatch):
    """Run a control replica and a node, and yield their addresses."""
    addresses = free_addresses(6)
    settings = {
        "control": PROCESS.format(name="c1") + CONTROL.format(*addresses),
        "node": PROCESS.format(name="n1") + (NODE + NODE_ADMIN).format(*addresses),
    }
    started = []
    for role, text in settings.items():
        path = tmp_path / f"{role}.ini"
        path.write_text(text)
        command = [sys.executable, "-m", "cicadawheel", role, str(path)]
        with open(tmp_path / f"{role}.log", "wb") as log:
            started.append(subprocess.Popen(command, stderr=log))
    monkeypatch.setenv("CICADAWHEEL_CONTROL", str(addresses[1]))
    yield addresses
    for process in started:
        process.terminate()
    for process in started:
        process.wait(timeout=30)


@pytest.fixture
def run(processes, monkeypatch, capsys):
    numbers = itertools.count(1)
    monkeypatch.setattr(
        "cicadawheel.ui.base.new_operation_id", lambda: f"operation-{next(numbers)}"
    )

    def run_line(line):
        exit_code = main(line.format(answers=KUSHIRO).split())
        captured = capsys.readouterr()
        text = f"$ cicadawheel {line}\n{captured.out}{captured.err}exit {exit_code}\n"
        text = re.sub(r"heard \d+ ms ago", "heard N ms ago", text)
        return re.sub(r"deadline \S+Z", "deadline TIME", text)

    return run_line


def test_session_with_real_processes(processes, run, snapshot):
    control, admin = processes[1], processes[5]
    request_until(
        control, "GET", "/v1/status", b"", lambda answer: answer.status == 200
    )
    transcript = [run("answers apply {answers} --yes --wait")]
    announcement = Announcement("u1", "boot-1", "booking", "v1", 9, 10, 200)
    body = msgspec.json.encode(announcement)
    request_until(
        admin, "POST", ANNOUNCE_PATH, body, lambda answer: answer.status == 200
    )
    request_until(control, "GET", "/v1/status", b"", has_node)
    lines = (
        "answers apply {answers} --yes",
        "data-centre out kushiro-a",
        "data-centre out kushiro-d",
        "data-centre out kushiro-b --wait",
        "data-centre in kushiro-b --expected-revision 1",
        "data-centre in kushiro-b --operation move-1 --expected-revision 5 --wait",
        "data-centre in kushiro-b --operation move-1 --expected-revision 5",
        "data-centre out kushiro-b --operation move-1 --expected-revision 5",
        "release start scripts v2 --deadline 30m",
        "release start booking v1 --deadline 30m",
        "release start booking v2 --deadline 30m --wait",
        "release start booking v3 --deadline 30m",
        "release stop booking --wait",
        "release stop booking",
        "status",
    )
    transcript += map(run, lines)
    assert "".join(transcript) == snapshot
