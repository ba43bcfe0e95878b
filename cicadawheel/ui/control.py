"""Commands that show the state of processes and change the set of replicas."""

import asyncio

import msgspec
from cleo.helpers import argument, option

from cicadawheel.http.exchange import JSON_TYPE
from cicadawheel.operator import (
    OperatorClient,
    ReplicaAction,
    ReplicaChange,
    fetch_dump,
)
from cicadawheel.ui.base import BaseCommand, ControlCommand
from cicadawheel.ui.parsing import parse_address_value
from cicadawheel.ui.reports import configuration_lines, replica_lines, status_lines


class StatusCommand(ControlCommand):
    """Shows the configuration, the nodes, and those behind the revision in force."""

    name = "status"
    description = "Show the configuration in force, the nodes, and those that lack it."

    async def run_with_client(self, client: OperatorClient) -> int:
        """Print the status."""
        configuration = await client.configuration()
        status = await client.status()
        self.show(*configuration_lines(configuration))
        self.show(*status_lines(status))
        return 0


class ControlStatusCommand(ControlCommand):
    """Shows control's replicas."""

    name = "control status"
    description = "Show control's replicas and their leader."

    async def run_with_client(self, client: OperatorClient) -> int:
        """Print the replicas."""
        self.show(*replica_lines(await client.status()))
        return 0


class ControlAddCommand(ControlCommand):
    """Adds a replica."""

    name = "control add"
    description = "Add a control replica under an id that was never used before."
    arguments = [
        argument("replica", "The new replica's id."),
        argument("address", "Its replica_address, host:port."),
    ]
    options = [
        option("relay", None, "Add a relay, which serves nodes and never votes.")
    ]

    async def run_with_client(self, client: OperatorClient) -> int:
        """Add the replica."""
        address = parse_address_value("address", self.argument("address"))
        replica = self.argument("replica")
        relay = bool(self.option("relay"))
        change = ReplicaChange(ReplicaAction.ADD, replica, str(address), relay)
        await client.change_replicas(change)
        duty = "serves nodes" if relay else "votes"
        self.show(f"replica {replica} is added: it {duty} and holds every entry")
        return 0


class ControlRemoveCommand(ControlCommand):
    """Removes a replica."""

    name = "control remove"
    description = "Remove a control replica; its id is never used again."
    arguments = [argument("replica", "The replica's id.")]

    async def run_with_client(self, client: OperatorClient) -> int:
        """Remove the replica."""
        replica = self.argument("replica")
        change = ReplicaChange(ReplicaAction.REMOVE, replica)
        await client.change_replicas(change)
        self.show(f"replica {replica} is removed: its id is never used again")
        return 0


class DumpCommand(BaseCommand):
    """Shows the state of a process."""

    name = "dump"
    description = "Show the state of a process, from its admin or operator address."
    arguments = [argument("address", "host:port of the process.")]

    def handle(self) -> int:
        """Print the dump."""
        address = parse_address_value("address", self.argument("address"))
        answer = asyncio.run(fetch_dump(address))
        body = answer.body
        if answer.content_type == JSON_TYPE:
            body = msgspec.json.format(body)
        self.show(body.decode(errors="replace").rstrip("\n"))
        return 0


CONTROL_COMMANDS = (
    StatusCommand,
    ControlStatusCommand,
    ControlAddCommand,
    ControlRemoveCommand,
    DumpCommand,
)
