"""Tests of the metrics that control replicas serve."""

import asyncio

from prometheus_client.parser import text_string_to_metric_families
from test_replication_processes import TOPOLOGY

from bench.launcher import Deployment
from cicadawheel.configuration import Configuration, DataCentreRule
from cicadawheel.http.exchange import fetch


async def read_metrics(place):
    answer = await fetch(place.operator, "GET", "/metrics")
    assert answer.status == 200
    assert answer.content_type.startswith("text/plain")
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(answer.body.decode())
        for sample in family.samples
    }


def test_replicas_serve_metrics():
    async def main():
        async with Deployment(TOPOLOGY) as deployment:
            rules = Configuration(data_centres={"north": DataCentreRule("north")})
            outcome = await deployment.apply(rules)
            read = [await read_metrics(place) for place in deployment.replicas]
            assert sorted(each["cicadawheel_control_leads",] for each in read) == [
                0,
                0,
                1,
            ]
            assert {each["cicadawheel_control_has_leader",] for each in read} == {1}
            newest = max(each["cicadawheel_revision",] for each in read)
            assert newest == outcome.revision
            answered = ("cicadawheel_control_commands_total", "done")
            assert sum(each.get(answered, 0) for each in read) == 1
            for each in read:
                applied = each["cicadawheel_control_applied_index",]
                assert 0 < applied <= each["cicadawheel_control_commit_index",]

    asyncio.run(main())
