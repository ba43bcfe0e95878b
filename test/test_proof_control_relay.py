"""Tests of a relay: a learner that serves nodes and never votes."""

import asyncio
import configparser

import pytest
from processes import BOOK, make_topology, operators_of
from test_replication_processes import make_replica

from bench.calls import CallOutcome
from bench.launcher import wait_for
from bench.process import stop_all
from cicadawheel.configuration import DataCentreState
from cicadawheel.errors import CicadawheelError
from cicadawheel.operator import OperatorClient, ReplicaAction, ReplicaChange
from cicadawheel.operator.messages import ReplicaRole
from cicadawheel.settings import parse_address

RELAY = "relay-1"
REFUSED_IN_MS = 3_000.0


class Relay:
    """A relay's process and its addresses."""

    def __init__(self, site):
        self.process, self.address = make_replica(site.deployment, RELAY)
        parser = configparser.ConfigParser(interpolation=None)
        parser.read(site.folder / f"{RELAY}.ini")
        self.stream = parser["control"]["stream_address"]
        self.operator = parse_address(parser["control"]["operator_address"])


@pytest.fixture(scope="module")
def site(start_site):
    return start_site(make_topology(booking=2))


@pytest.fixture(scope="module")
def relay(runner, site):
    relay = Relay(site)
    change = ReplicaChange(ReplicaAction.ADD, RELAY, relay.address, relay=True)

    async def begin():
        relay.process.start()
        await site.deployment.operators.change_replicas(change)

    runner.run(begin())
    yield relay
    runner.run(stop_all([relay.process]))


async def wait_roles(site):
    """Wait until the repair state is "whole", and return each replica's role."""
    found = {}

    async def whole():
        status = await operators_of(await site.leader()).status()
        found.update({each.replica: each.role for each in status.replicas})
        return status.repair == "whole"

    await wait_for(whole, "the voters are whole", 10_000)
    return found


def expected_roles(site):
    voters = dict.fromkeys((place.name for place in site.replicas), ReplicaRole.VOTER)
    return {**voters, RELAY: ReplicaRole.RELAY}


def test_nodes_connected_to_a_relay_get_views_and_claims(runner, site, relay):
    async def work():
        place = site.nodes[1]
        key = "control_addresses"
        site.change_settings(place.name, "node", key, relay.stream)
        place.node.kill()
        place.node.start()
        await site.wait_members(len(site.nodes))
        assert (await site.dump(place.admin))["control"] == RELAY
        outcome = await site.deployment.apply_answers()
        status = await site.deployment.wait_in_force(outcome.revision)
        assert place.name in {node.node for node in status.nodes}
        await site.wait_served(BOOK)
        await site.set_data_centre(place.data_centre, "out", force=True)
        newest = await site.deployment.configuration()
        await site.deployment.wait_in_force(newest.revision)
        rules = (await site.dump(place.admin))["configuration"]["data_centres"]
        assert rules[place.data_centre]["state"] == DataCentreState.OUT.value
        await site.set_data_centre(place.data_centre, "in")
        assert await wait_roles(site) == expected_roles(site)

    runner.run(work())


def test_relay_counts_in_no_quorum_and_never_votes(runner, site, relay):
    async def work():
        leader = await site.leader()
        kept = next(place for place in site.replicas if place is not leader)
        lost = [place for place in site.replicas if place is not kept]
        for place in lost:
            place.process.kill()
        asked = [
            OperatorClient((each,), REFUSED_IN_MS) for each in operators(kept, relay)
        ]
        refused = [client.configuration() for client in asked]
        errors = await asyncio.gather(*refused, return_exceptions=True)
        assert all(isinstance(error, CicadawheelError) for error in errors)
        statuses = [await client.status() for client in asked]
        assert [status.leader for status in statuses] == [None, None]
        for place in lost:
            place.process.start()
        await site.leader()
        await site.wait_members(len(site.nodes))
        await site.wait_served(BOOK)
        assert await wait_roles(site) == expected_roles(site)
        log = relay.process.log_path.read_text()
        changes = [line for line in log.splitlines() if "event=replica_role " in line]
        assert changes
        assert all("role=follower" in line for line in changes)
        call = site.make_call(BOOK)
        assert await site.outcome(site.nodes[1], call) is CallOutcome.ANSWERED

    runner.run(work())


def operators(*replicas):
    return [each.operator for each in replicas]
