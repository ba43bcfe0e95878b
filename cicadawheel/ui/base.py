"""Base classes of commands, and the options of those that change state."""

import asyncio
import os
from collections.abc import Coroutine
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from cicadawheel.control.command import Outcome
from cicadawheel.ids import OperationId, Revision
from cicadawheel.operator import OperatorClient, new_operation_id
from cicadawheel.ui.parsing import (
    InputError,
    parse_addresses,
    parse_duration_ms,
    parse_revision,
)

CONTROL_VARIABLE = "CICADAWHEEL_CONTROL"

OPERATION_OPTION = option(
    "operation",
    description="The operation id of a command that is resent.",
    flag=False,
)
REVISION_OPTION = option(
    "expected-revision",
    description="The revision that must be current. Default: the one in force now.",
    flag=False,
)
WAIT_OPTION = option("wait", description="Wait until it is in force everywhere.")
WAIT_TIMEOUT_OPTION = option(
    "wait-timeout",
    description="How long --wait waits at most.",
    flag=False,
    default="30s",
)
COMMAND_OPTIONS = [OPERATION_OPTION, REVISION_OPTION, WAIT_OPTION, WAIT_TIMEOUT_OPTION]


class BaseCommand(Command):
    """Base of all commands."""

    def show(self, *lines: str) -> None:
        """Print lines without interpreting style tags."""
        self.io.write_line(lines, type=Type.RAW)

    def duration_ms(self, name: str) -> float:
        """Return the value of a duration option."""
        return parse_duration_ms(f"--{name}", self.option(name))


class ControlCommand(BaseCommand):
    """Base of the commands that talk to control."""

    def handle(self) -> int:
        """Run the command."""
        return asyncio.run(self.run_with_client(self._client()))

    def run_with_client(self, client: OperatorClient) -> Coroutine[Any, Any, int]:
        """Run the command with a client of control and return the exit code."""
        raise NotImplementedError

    def operation_id(self) -> OperationId:
        """Return the ``--operation`` option, or a new operation id."""
        given = self.option("operation")
        if given and self.option("expected-revision") is None:
            raise InputError(
                "--operation is the id of a command that is resent: give its "
                "--expected-revision too"
            )
        return OperationId(given or new_operation_id())

    async def expected_revision(self, client: OperatorClient) -> Revision:
        """Return ``--expected-revision``, or the revision that control holds."""
        given = self.revision_option()
        return (await client.configuration()).revision if given is None else given

    def revision_option(self) -> Revision | None:
        """Return ``--expected-revision``, or None if it isn't given."""
        text = self.option("expected-revision")
        if text is None:
            return None
        return Revision(parse_revision("--expected-revision", text))

    def show_outcome(self, text: str, outcome: Outcome) -> None:
        """Print control's message if the outcome has one, else ``text``."""
        self.show(f"{outcome.message or text}: revision {outcome.revision}")

    async def wait_if_requested(
        self, client: OperatorClient, revision: Revision
    ) -> None:
        """Wait for a revision to be in force everywhere, if ``--wait`` is given."""
        if not self.option("wait"):
            return
        status = await client.wait_in_force(revision, self.duration_ms("wait-timeout"))
        self.show(f"in force everywhere, nodes: {len(status.nodes)}")

    def _client(self) -> OperatorClient:
        name, text = "--control", self.option("control")
        if text is None:
            name, text = CONTROL_VARIABLE, os.environ.get(CONTROL_VARIABLE, "")
        if not text.strip():
            raise InputError(
                "control's address is missing: give --control host:port or set "
                f"{CONTROL_VARIABLE}"
            )
        addresses = parse_addresses(name, text)
        return OperatorClient(
            addresses, self.duration_ms("timeout"), self.application.clock
        )
