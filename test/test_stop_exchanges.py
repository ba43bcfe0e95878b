"""A planned stop of control or of a node answers what it has accepted."""

import asyncio
import contextlib
import threading

import pytest
from site_in_loop import KEY, free_address, until_answers

from cicadawheel.control.daemon import ControlDaemon
from cicadawheel.http.dialect import OWN_DIALECT
from cicadawheel.http.exchange import HttpAnswer, fetch
from cicadawheel.node.daemon import Node
from cicadawheel.settings import load_settings
from cicadawheel.timer import make_timer_service


class HeldExchange:
    """A handler that holds one answer until it is released."""

    def __init__(self):
        self.received = threading.Event()
        self.released = asyncio.Event()

    async def handle(self, request):
        if request.path == "/dump":
            return HttpAnswer(200)
        self.received.set()
        await self.released.wait()
        return HttpAnswer(200, b"accepted")


def make_control(path, held):
    path.write_text(
        f"[process]\nname = c1\nkey = {KEY}\n[control]\n"
        f"stream_address = {free_address()}\noperator_address = {free_address()}\n"
    )
    settings = load_settings(path)
    daemon = ControlDaemon(settings, make_timer_service(), lambda _: held.handle)
    return daemon, settings.control.operator_address


def make_node(path, held):
    path.write_text(
        f"[process]\nname = n1\nkey = {KEY}\ndata_centre = dc-1\n[node]\n"
        f"caller_address = {free_address()}\npeer_address = {free_address()}\n"
        f"admin_address = {free_address()}\ncontrol_addresses = {free_address()}\n"
    )
    settings = load_settings(path)
    timers = make_timer_service()
    node = Node(settings, timers, OWN_DIALECT, lambda _: held.handle)
    return node, settings.node.admin_address


async def until_refused(address):
    async with asyncio.timeout(10.0):
        with contextlib.suppress(ConnectionError):
            while True:
                _, writer = await asyncio.open_connection(address.host, address.port)
                writer.close()
                # A full backlog would delay the next connection by a second.
                await asyncio.sleep(0.01)


class DaemonThread:
    """A daemon in an event loop of its own, which ends with it as in a process."""

    def __init__(self, path, make_daemon):
        self._make = lambda: make_daemon(path, self.held)
        self._started = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self._thread.start()
        self._started.wait()

    def call(self, function):
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(function)

    def join(self):
        self._thread.join()

    async def _run(self):
        self._loop = asyncio.get_running_loop()
        self.stop = asyncio.Event()
        self.held = HeldExchange()
        daemon, self.address = self._make()
        self._started.set()
        await daemon.run(self.stop)


@pytest.mark.parametrize("make_daemon", [make_control, make_node])
def test_stop_answers_an_accepted_request(tmp_path, make_daemon):
    """The exchange was cancelled at exit, and its sender got no answer."""
    daemon = DaemonThread(tmp_path / "settings.ini", make_daemon)

    async def send_and_stop():
        await until_answers(daemon.address)
        sending = asyncio.ensure_future(fetch(daemon.address, "POST", "/order"))
        await asyncio.to_thread(daemon.held.received.wait)
        daemon.call(daemon.stop.set)
        await until_refused(daemon.address)
        daemon.call(daemon.held.released.set)
        return await sending

    try:
        answer = asyncio.run(send_and_stop())
    finally:
        daemon.call(daemon.stop.set)
        daemon.join()
    assert answer.body == b"accepted"
