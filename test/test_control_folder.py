"""Control replica processes whose data folder was corrupted or lost."""

import asyncio
import re
import shutil

import pytest
from test_replication_processes import (
    TOPOLOGY,
    History,
    leader_of,
    operate,
    wait_changes,
)

from bench.launcher import Deployment, wait_for
from cicadawheel.operator import OperatorClient
from cicadawheel.ui import EXIT_CORRUPT
from cicadawheel.ui.reports import replica_lines

CORRUPTED_OFFSET = 64


@pytest.fixture
def on_deployment():
    """Return a function that runs a test body with a deployment and killed follower."""

    def run(body):
        async def main():
            async with Deployment(TOPOLOGY) as deployment:
                history = History()
                writer = asyncio.ensure_future(operate(deployment, history, 1))
                await wait_changes(history, 20)
                leader = await leader_of(deployment)
                lost = next(p for p in deployment.replicas if p.name != leader.name)
                lost.process.kill()
                await body(deployment, lost, history)
                writer.cancel()
                await asyncio.gather(writer, return_exceptions=True)
                history.check((await deployment.configuration()).revision)

        asyncio.run(main())

    return run


def data_folder(deployment, place):
    return deployment.folder / f"{place.name}-data"


def test_corrupt_log_stops_process_with_error(on_deployment):
    async def body(deployment, lost, history):
        segment = max(data_folder(deployment, lost).glob("log-*"))
        data = bytearray(segment.read_bytes())
        data[CORRUPTED_OFFSET] ^= 0x41
        segment.write_bytes(data)
        lost.process.start()
        assert await lost.process.wait_ended() == EXIT_CORRUPT
        log = lost.process.log_path.read_text()
        assert log.count("event=task_failed") == 1
        assert "Traceback" not in log
        message = log.splitlines()[-1]
        matched = re.match(
            rf"cicadawheel: file {segment} is corrupt at byte (\d+);", message
        )
        assert int(matched[1]) <= CORRUPTED_OFFSET
        assert "remove this replica" in message
        await wait_changes(history, 10)

    on_deployment(body)


def test_replica_with_lost_folder_reports_why_it_is_refused(on_deployment):
    async def body(deployment, lost, history):
        shutil.rmtree(data_folder(deployment, lost))
        data_folder(deployment, lost).mkdir()
        lost.process.start()
        client = OperatorClient((lost.operator,))

        async def refused():
            return "refused" in (await client.status()).standing

        await wait_for(refused, "the replica reports that it is refused", 10_000)
        status = await client.status()
        assert "knows this id with another folder" in status.standing
        assert "under a new id" in status.standing
        assert status.replicas == ()
        line = f"replica {lost.name} takes no part: {status.standing}"
        assert line in replica_lines(status)
        await wait_changes(history, 10)

    on_deployment(body)
