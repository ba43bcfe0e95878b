"""Streams of an entry to other nodes: unneeded streams are closed when idle."""

import asyncio

import pytest

from cicadawheel.configuration import Member
from cicadawheel.entry.peers import UNUSED_LIMIT_MS, PeerLinks
from cicadawheel.messages import CallOpen
from cicadawheel.wire.stream import Identity

IDENTITY = Identity("n0", "boot", b"a key of sixteen characters")


def make_member(node):
    return Member(node, f"u-{node}", "s", "v1", "d0", "127.0.0.1", 9, 4, 10)


@pytest.fixture
def links():
    """Return links that never connect."""
    made = PeerLinks(IDENTITY, 10.0, listener=None)
    yield made
    made.close()


def test_idle_link_that_is_not_wanted_is_closed_after_the_limit(links):
    first = {node: links.link(make_member(node)) for node in ("n1", "n2")}
    links.set_wanted({"n1"})
    links.check(0.0)
    links.check(UNUSED_LIMIT_MS)
    assert links.link(make_member("n2")) is first["n2"]
    links.check(UNUSED_LIMIT_MS + 1.0)
    assert links.link(make_member("n1")) is first["n1"]
    assert links.link(make_member("n2")) is not first["n2"]


def test_idle_time_of_a_link_restarts_after_its_calls(links):
    async def work():
        link = links.link(make_member("n2"))
        links.check(0.0)
        call = link.open(make_call(), lambda message: None)
        links.check(UNUSED_LIMIT_MS + 1.0)
        assert links.link(make_member("n2")) is link
        link.discard_call(call.stream)
        links.check(UNUSED_LIMIT_MS + 2.0)
        links.check(2 * UNUSED_LIMIT_MS)
        assert links.link(make_member("n2")) is link
        links.close()

    asyncio.run(work())


def make_call():
    return CallOpen(0, "r", "s", "", "GET", "/", (), b"", False, 100.0, 0, True, "f")
