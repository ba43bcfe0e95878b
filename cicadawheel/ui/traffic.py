"""Commands that move traffic between data centres and versions."""

from cleo.helpers import argument, option

from cicadawheel.configuration import DataCentreState, ReleaseRule, ReleaseState
from cicadawheel.control.command import SetDataCentre, StartRelease, StopRelease
from cicadawheel.operator import OperatorClient
from cicadawheel.operator.times import TIME
from cicadawheel.ui.base import COMMAND_OPTIONS, ControlCommand
from cicadawheel.ui.parsing import InputError, parse_deadline_ms
from cicadawheel.ui.reports import release_line

EXIT_FAILED = 1
FINAL_STATES = (ReleaseState.DONE, ReleaseState.TAKEN_BACK, ReleaseState.STOPPED)


class SetDataCentreCommand(ControlCommand):
    """Base of the commands that set the state of a data centre."""

    state: DataCentreState
    arguments = [argument("data-centre", "The name of the data centre.")]
    options = [
        option("force", description="Do it even if control considers it unsafe."),
        *COMMAND_OPTIONS,
    ]

    async def run_with_client(self, client: OperatorClient) -> int:
        """Set the state of the data centre."""
        name = self.argument("data-centre")
        command = SetDataCentre(
            now_ms=0,
            operation=self.operation_id(),
            expected_revision=await self.expected_revision(client),
            data_centre=name,
            state=self.state,
            force=self.option("force"),
        )
        outcome = await client.send(command)
        self.show_outcome(f"data centre {name} is {self.state.value}", outcome)
        await self.wait_if_requested(client, outcome.revision)
        if self.state is DataCentreState.IN or not self.option("wait"):
            return 0
        return await self._wait_drained(client, name)

    async def _wait_drained(self, client: OperatorClient, name: str) -> int:
        if await client.wait_drained(name, self.duration_ms("wait-timeout")):
            self.show(f"nothing is in flight in data centre {name}")
            return 0
        self.show(f"requests are still in flight in data centre {name}")
        return EXIT_FAILED


class DataCentreOutCommand(SetDataCentreCommand):
    """Takes a data centre out of service."""

    name = "data-centre out"
    description = "Take a data centre out of service: it gets no new requests."
    state = DataCentreState.OUT


class DataCentreInCommand(SetDataCentreCommand):
    """Brings a data centre back into service."""

    name = "data-centre in"
    description = "Bring a data centre back into service."
    state = DataCentreState.IN


class ReleaseStartCommand(ControlCommand):
    """Starts a release."""

    name = "release start"
    description = "Start the release of a service's new version, with a deadline."
    arguments = [
        argument("service", "The name of the service."),
        argument("version", "The new version, as announced by its upstreams."),
    ]
    options = [
        option(
            "deadline",
            None,
            "When it must be done: in 30m, or at 2027-01-15T08:30:00Z.",
            flag=False,
        ),
        *COMMAND_OPTIONS,
    ]

    async def run_with_client(self, client: OperatorClient) -> int:
        """Start the release."""
        deadline_at_ms = self._deadline_at_ms()
        service, version = self.argument("service"), self.argument("version")
        command = StartRelease(
            now_ms=0,
            operation=self.operation_id(),
            expected_revision=await self.expected_revision(client),
            service=service,
            version=version,
            deadline_at_ms=deadline_at_ms,
        )
        outcome = await client.send(command)
        self.show_outcome(f"release of {service} {version} is started", outcome)
        await self.wait_if_requested(client, outcome.revision)
        return 0

    def _deadline_at_ms(self) -> int:
        text = self.option("deadline") or ""
        if self.option("operation") and not TIME.match(text):
            raise InputError(
                "--operation is the id of a command that is resent: give its "
                "--deadline as a time such as 2027-01-15T08:30:00Z"
            )
        now_ms = self.application.clock.unix_ms()
        return parse_deadline_ms("--deadline", text, now_ms)


class ReleaseStopCommand(ControlCommand):
    """Stops a release and returns traffic to the old version."""

    name = "release stop"
    description = "Stop a service's release and return to the old version."
    arguments = [argument("service", "The name of the service.")]
    options = COMMAND_OPTIONS

    async def run_with_client(self, client: OperatorClient) -> int:
        """Stop the release."""
        service = self.argument("service")
        command = StopRelease(
            now_ms=0,
            operation=self.operation_id(),
            expected_revision=await self.expected_revision(client),
            service=service,
        )
        outcome = await client.send(command)
        self.show_outcome(f"release of {service} is stopped", outcome)
        await self.wait_if_requested(client, outcome.revision)
        return 0


class ReleaseStatusCommand(ControlCommand):
    """Shows the progress of releases."""

    name = "release status"
    description = "Show the progress of releases."
    arguments = [argument("service", "Show only this service.", optional=True)]
    options = [
        option("wait", description="Wait until the service's release has ended."),
        option(
            "wait-timeout",
            description="How long --wait waits at most.",
            flag=False,
            default="1h",
        ),
    ]

    async def run_with_client(self, client: OperatorClient) -> int:
        """Print a line for each release, the newest last."""
        configuration = await client.configuration()
        if self.option("wait"):
            configuration = await client.wait_until(
                lambda current: _all_ended(self._selected(current.releases)),
                self.duration_ms("wait-timeout"),
            )
        releases = self._selected(configuration.releases)
        self.show(*(map(release_line, releases) if releases else ["no release"]))
        if self.option("wait") and not _newest_succeeded(releases):
            return EXIT_FAILED
        return 0

    def _selected(self, releases: tuple[ReleaseRule, ...]) -> list[ReleaseRule]:
        service = self.argument("service")
        return [item for item in releases if service in (None, item.service)]


def _all_ended(releases: list[ReleaseRule]) -> bool:
    return all(release.state in FINAL_STATES for release in releases)


def _newest_succeeded(releases: list[ReleaseRule]) -> bool:
    return not releases or releases[-1].state is ReleaseState.DONE


TRAFFIC_COMMANDS = (
    DataCentreOutCommand,
    DataCentreInCommand,
    ReleaseStartCommand,
    ReleaseStopCommand,
    ReleaseStatusCommand,
)
