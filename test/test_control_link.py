"""The node's stream to control: its addresses."""

import asyncio

from cicadawheel.node import link
from cicadawheel.node.link import ControlLink
from cicadawheel.settings import Address
from cicadawheel.wire.stream import Identity

SEED = Address("127.0.0.1", 1)


def make_link(*addresses):
    identity = Identity("n1", "boot", b"k")
    return ControlLink(addresses, identity, owner=None, first_index=0)


def test_node_without_control_addresses_waits_for_a_reload(monkeypatch):
    monkeypatch.setattr(link, "STALE_REPLICA_MS", 1.0)
    dialled = asyncio.Event()

    async def run():
        control = make_link()

        async def dial(address):
            assert address == SEED
            dialled.set()
            await asyncio.Event().wait()

        control._run_stream = dial
        running = asyncio.ensure_future(control.run())
        await asyncio.sleep(0)
        assert not running.done()
        control.set_seeds((SEED,))
        async with asyncio.timeout(5.0):
            await dialled.wait()
        running.cancel()

    asyncio.run(run())


def test_settings_without_addresses_keep_the_known_ones():
    control = make_link(SEED)
    control.set_seeds(())
    assert (control.seeds, control.addresses) == ((SEED,), (SEED,))
