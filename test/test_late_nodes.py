"""Messages of a node that a frozen replica reads after the node has left it."""

import asyncio
from types import SimpleNamespace

import pytest
from state_driver import make_member

from cicadawheel.control.lease import NodeLoad
from cicadawheel.control.log import MemoryLog
from cicadawheel.control.messages import ClaimOpen, Renewal
from cicadawheel.control.session import NodeSession
from cicadawheel.timer import make_timer_service

MESSAGES = [
    pytest.param(
        Renewal("n1", 0, 0, 0, make_member("n1"), NodeLoad(0, 0, 1)), id="registration"
    ),
    pytest.param(ClaimOpen(1, "n1", 1, "booking", "key", "digest", "a1"), id="claim"),
]


class Stream:
    """A stream that the node closes after its last message."""

    peer = "n1"

    def __init__(self):
        self.open = True

    def is_open(self):
        return self.open

    def send(self, message):
        pass


@pytest.mark.parametrize("leaves", [False, True])
@pytest.mark.parametrize("message", MESSAGES)
def test_message_of_a_node_that_has_left_is_not_proposed(driver, message, leaves):
    # The node may have registered and left elsewhere since; it was in use again.
    async def run():
        driver.register("n0")
        log = MemoryLog(driver.state, "c1")
        log.index = driver.index
        server = SimpleNamespace(
            log=log,
            state=driver.state,
            clock=make_timer_service().clock,
            is_current=lambda: True,
            session_opened=lambda session: None,
            quarantined=lambda: (),
        )
        session = NodeSession(server)
        stream = Stream()
        session.stream_opened(stream)
        session.message_received(stream, message)
        stream.open = not leaves
        while session._tasks:
            await asyncio.sleep(0)
        return log.index - driver.index

    assert asyncio.run(run()) == (0 if leaves else 1)
