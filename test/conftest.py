"""Shared fixtures and the pytest plugins of the test suite."""

import asyncio

import pytest
from site_in_loop import Site

pytest_plugins = ["known_red", "state_driver", "processes", "raft_shuttle"]


@pytest.fixture
def on_site(tmp_path):
    """Return a function that starts a site and runs a coroutine function on it."""

    def run(work, node_count=2, slots=4):
        async def main():
            site = Site(tmp_path, node_count, slots)
            await site.start()
            try:
                await work(site)
            finally:
                await site.close()

        asyncio.run(main())

    return run
