"""Crowds of clients that misbehave neither end nor hang a process."""

import asyncio

import pytest
from crowds import (
    DESCRIPTOR_LIMIT,
    KINDS,
    MEMORY_LIMIT_MB,
    PATHS,
    Crowd,
    CrowdSite,
)


@pytest.mark.parametrize("place", PATHS)
@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_crowd_leaves_the_node_within_its_memory_and_serving(kind, place, tmp_path):
    async def work():
        async with CrowdSite(tmp_path) as site:
            crowd = Crowd(site.at[place], kind, PATHS[place])
            try:
                await crowd.settled()
                assert site.node.running
                assert site.descriptors() < DESCRIPTOR_LIMIT
                await site.wait_served(*PATHS)
            finally:
                await crowd.close()
                print(f"peak {site.peak_mb():.0f} MB")
            await site.wait_served(*PATHS)
            assert site.node.running
            assert site.peak_mb() < MEMORY_LIMIT_MB

    asyncio.run(work())
