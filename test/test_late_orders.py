"""Copies of an order that arrive late, or that were given up, have no effect."""

import asyncio
import contextlib
import json

import pytest
from site_in_loop import KEY, free_address, until, until_answers
from state_driver import make_rules
from test_documents import put

from cicadawheel.configuration import DataCentreState, ReleaseState
from cicadawheel.control.command import (
    ANY_REVISION,
    AdvanceRelease,
    ApplyConfiguration,
    OutcomeState,
    SetDataCentre,
    StartRelease,
)
from cicadawheel.control.daemon import ControlDaemon
from cicadawheel.http.exchange import HttpAnswer, fetch, serve_http
from cicadawheel.operator.messages import COMMANDS_PATH
from cicadawheel.platform.control import make_handler
from cicadawheel.settings import Address, load_settings
from cicadawheel.timer import MS_PER_S, make_timer_service

OUT = DataCentreState.OUT
IN = DataCentreState.IN


def set_east(driver, operation, state, seen):
    return driver.operate(
        SetDataCentre,
        operation,
        ANY_REVISION,
        data_centre="east",
        state=state,
        force=True,
        expected_state_revision=seen,
    )


def east(driver):
    return driver.state.configuration.data_centres["east"]


def start_release(driver, operation, version, seen):
    return driver.operate(
        StartRelease,
        operation,
        ANY_REVISION,
        service="booking",
        version=version,
        deadline_at_ms=driver.now_ms + 1_000,
        expected_start_ms=seen,
    )


def advance(driver, version, state):
    return driver.apply(
        AdvanceRelease,
        service="booking",
        version=version,
        state=state,
        share=0.0,
        reason="test",
    )


def test_late_copy_does_not_undo_a_later_change_of_a_data_centre(driver):
    # A replica that had been frozen ended an evacuation that was ordered meanwhile.
    set_east(driver, "op-a", OUT, east(driver).state_revision)
    seen = east(driver).state_revision
    assert set_east(driver, "op-b", IN, seen).state is OutcomeState.DONE
    set_east(driver, "op-c", OUT, east(driver).state_revision)
    driver.restart()
    late = set_east(driver, "op-d", IN, seen)
    assert late.state is OutcomeState.CONFLICT
    assert east(driver).state is OUT


def test_copies_of_an_order_at_the_same_time_are_both_acknowledged(driver):
    seen = east(driver).state_revision
    for operation in ("op-a", "op-b"):
        assert set_east(driver, operation, OUT, seen).state is OutcomeState.DONE
    for operation in ("op-c", "op-d"):
        assert start_release(driver, operation, "v2", 0).state is OutcomeState.DONE
    assert len(driver.state.configuration.releases) == 1


def test_document_keeps_the_revision_of_a_data_centre(driver):
    set_east(driver, "op-a", OUT, east(driver).state_revision)
    seen = east(driver).state_revision
    put(driver, 1, 0)
    assert set_east(driver, "op-b", IN, seen).state is OutcomeState.DONE


def test_late_copy_does_not_start_an_older_release_again(driver):
    start_release(driver, "op-a", "v2", 0)
    first = driver.now_ms
    advance(driver, "v2", ReleaseState.TAKEN_BACK)
    driver.now_ms += 100
    start_release(driver, "op-b", "v3", first)
    advance(driver, "v3", ReleaseState.TAKEN_BACK)
    late = start_release(driver, "op-c", "v2", 0)
    assert late.state is OutcomeState.CONFLICT
    assert driver.state.configuration.release_of("booking").version == "v3"


def test_handler_knows_that_its_client_has_left():
    async def run():
        answers = []

        async def handle(request):
            answers.append(request.is_abandoned())
            await until(request.is_abandoned)
            answers.append(request.is_abandoned())
            return HttpAnswer(200)

        server = await serve_http(Address("127.0.0.1", 0), handle)
        host, port = server.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(host, port)
        writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        await until(lambda: answers)
        writer.close()
        await until(lambda: len(answers) == 2)
        server.close()
        return answers

    assert asyncio.run(run()) == [False, True]


@pytest.fixture
def control(tmp_path):
    """Return a function that runs work with a control replica on the platform."""

    async def serve(work):
        path = tmp_path / "c1.ini"
        path.write_text(
            f"[process]\nname = c1\nkey = {KEY}\n[control]\n"
            f"stream_address = {free_address()}\noperator_address = {free_address()}\n"
            "data_centres = east\n"
        )
        daemon = ControlDaemon(load_settings(path), make_timer_service(), make_handler)
        stop = asyncio.Event()
        running = asyncio.ensure_future(daemon.run(stop))
        await until_answers(daemon.settings.control.operator_address)
        try:
            await work(daemon)
        finally:
            stop.set()
            await running

    return lambda work: asyncio.run(serve(work))


async def send_and_leave(address, target, body, end_delay_ms):
    """Send a request and close the connection without waiting for the answer."""
    _, writer = await asyncio.open_connection(address.host, address.port)
    head = f"POST {target} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    if end_delay_ms:
        await asyncio.sleep(end_delay_ms / MS_PER_S)
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


def native_command(driver_revision):
    return json.dumps(
        {
            "type": "set_data_centre",
            "now_ms": 0,
            "operation": "op-late",
            "expected_revision": driver_revision,
            "data_centre": "east",
            "state": "in",
            "force": True,
        }
    ).encode()


@pytest.mark.parametrize(
    ("target", "body"),
    [
        pytest.param("/rpc?call=evacuate.end&of=east", b"", id="platform"),
        pytest.param(COMMANDS_PATH, native_command(ANY_REVISION), id="own interface"),
    ],
)
@pytest.mark.parametrize("end_delay_ms", [0, 30])
def test_order_of_a_sender_that_has_left_is_not_run(
    control, target, body, end_delay_ms
):
    # Its sender may have sent it elsewhere, and have taken it back since.
    async def work(daemon):
        address = daemon.settings.control.operator_address
        rules = ApplyConfiguration(
            now_ms=1, operation="op-1", expected_revision=0, configuration=make_rules()
        )
        await daemon.server.log.propose(rules)
        started = await fetch(address, "POST", "/rpc?call=evacuate.start&of=east")
        assert started.status == 200
        index = daemon.server.log.index
        out = daemon.state.configuration.data_centres["east"]
        await send_and_leave(address, target, body, end_delay_ms)
        again = await fetch(address, "POST", "/rpc?call=evacuate.start&of=east")
        assert again.status == 200
        assert daemon.server.log.index == index + 1
        assert daemon.state.configuration.data_centres["east"] == out
        ended = await fetch(address, "POST", "/rpc?call=evacuate.end&of=east")
        assert ended.status == 200
        assert daemon.server.log.index == index + 2

    control(work)
