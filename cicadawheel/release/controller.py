"""Decides at the leading replica when releases advance or are rolled back."""

from collections.abc import Iterable

from cicadawheel.configuration import Configuration, Member, ReleaseRule
from cicadawheel.control.command import AdvanceRelease
from cicadawheel.ids import ServiceName
from cicadawheel.release.evidence import ReleaseEvidence
from cicadawheel.release.plan import is_monitored
from cicadawheel.release.run import ReleaseRun

STEP_MS = 500
PROPOSAL_TIMEOUT_MS = 5_000


class ReleaseController:
    """Tracks all releases by the evidence reported for them.

    Call `step` every `STEP_MS` while this replica leads, and propose the commands
    that it returns. A new leader begins with a new controller, which restarts the
    current stage of each release.
    """

    def __init__(self):
        self._runs: dict[ServiceName, ReleaseRun] = {}
        self._proposed: dict[ServiceName, AdvanceRelease] = {}

    def add_report(self, configuration: Configuration, report: ReleaseEvidence) -> None:
        """Add an entry's report to the releases that it concerns."""
        for release in configuration.releases:
            run = self._runs.get(release.service)
            if run is None:
                continue
            run.add(release, report.routes)
            for withdrawal in report.withdrawals:
                if withdrawal.concerns(release):
                    run.add_withdrawal(report.node, withdrawal)

    def step(
        self, configuration: Configuration, members: Iterable[Member], now_ms: int
    ) -> tuple[AdvanceRelease, ...]:
        """Return the commands that are due at a Unix time."""
        members = tuple(members)
        commands = []
        released = {release.service for release in configuration.releases}
        for service in self._runs.keys() - released:
            del self._runs[service]
        for release in configuration.releases:
            if not is_monitored(release, now_ms):
                self._runs.pop(release.service, None)
                continue
            run = self._get_run(configuration, release, now_ms)
            available = tuple(
                member
                for member in members
                if member.service == release.service
                and configuration.takes_new_work(member.data_centre)
            )
            command = run.step(release, available, now_ms)
            if command is not None and self._should_propose(release, command):
                commands.append(command)
        return tuple(commands)

    def _get_run(
        self, configuration: Configuration, release: ReleaseRule, now_ms: int
    ) -> ReleaseRun:
        run = self._runs.get(release.service)
        rule = configuration.services[release.service]
        if run is None or run.started_at_ms != release.started_at_ms:
            run = self._runs[release.service] = ReleaseRun(release, rule, now_ms)
        return run

    def _should_propose(self, release: ReleaseRule, command: AdvanceRelease) -> bool:
        last = self._proposed.get(release.service)
        if last is not None and (last.version, last.state, last.share) == (
            command.version,
            command.state,
            command.share,
        ):
            waited_ms = command.now_ms - last.now_ms
            if 0 <= waited_ms < PROPOSAL_TIMEOUT_MS:
                return False
        self._proposed[release.service] = command
        return True


def make_release_controller() -> ReleaseController:
    """Return a controller without any evidence."""
    return ReleaseController()
