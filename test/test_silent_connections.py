"""Connections that go silent for good, without a reset, while new ones work."""

import asyncio
import contextlib
import itertools

import pytest
from replicas import LOST_LEADER, Deployment

REPLICAS = "abcde"
LEADER_TIMEOUT_S = 3.0
POLL_S = 0.01


@pytest.fixture
def run_five(tmp_path):
    """Run a test coroutine with five replicas that are connected through proxies."""

    def run(body):
        async def main():
            deployment = Deployment(tmp_path, *REPLICAS)
            await deployment.start_proxies()
            deployment.start(*REPLICAS)
            try:
                await body(deployment)
            finally:
                await deployment.close()

        asyncio.run(main())

    return run


def silent_pairs(choice):
    """Return the connections that go silent, by the replicas that opened them."""
    return {
        "one of each pair": list(itertools.combinations(REPLICAS, 2)),
        "all": list(itertools.permutations(REPLICAS, 2)),
    }[choice]


async def until_read(replica):
    """Wait until a replica confirms a read, which needs a leader and a majority."""
    while True:
        with contextlib.suppress(*LOST_LEADER):
            return await replica.log.confirm_read()
        await asyncio.sleep(POLL_S)


@pytest.mark.parametrize("lost", [0, 2])
@pytest.mark.parametrize("choice", ["one of each pair", "all"])
def test_leader_is_known_after_connections_went_silent(run_five, choice, lost):
    async def body(five):
        leader = await five.elect()
        await five.propose("before")
        for pair in silent_pairs(choice):
            five.proxies[pair].silence()
        stopped = sorted(REPLICAS, key=leader.log.replica.__ne__)[:lost]
        for name in stopped:
            await five.stop(name)
        async with asyncio.timeout(LEADER_TIMEOUT_S):
            await asyncio.gather(*map(until_read, five.running.values()))

    run_five(body)
