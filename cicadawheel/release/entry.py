"""Releases at an entry: chooses versions, counts results, withdraws bad versions."""

import random

from cicadawheel.configuration import Configuration, ReleaseRule
from cicadawheel.ids import NodeId, ServiceName, VersionName
from cicadawheel.release.blocks import make_blocks
from cicadawheel.release.chooser import (
    VersionChoice,
    VersionChooser,
    VersionUpstreams,
)
from cicadawheel.release.evidence import (
    EvidenceCounter,
    LocalWithdrawal,
    ReleaseEvidence,
    RouteName,
)
from cicadawheel.release.judge import FALSE_ALARM_RATE, Verdict, VersionJudge
from cicadawheel.release.plan import ACTIVE_STATES, ENDED_STATES

BLOCK_MS = 250.0
REPORT_MS = 500.0


class EntryReleases:
    """Chooses the versions of an entry's calls and counts their results.

    Call `tick` every `BLOCK_MS` and `take_report` every `REPORT_MS`.

    Parameters
    ----------
    node : NodeId
        The node of the entry.
    rng : random.Random
        The seeded generator of the entry.
    """

    def __init__(self, node: NodeId, rng: random.Random):
        self.node = node
        self._chooser = VersionChooser(rng)
        self._block = EvidenceCounter()
        self._unreported = EvidenceCounter()
        self._withdrawals: dict[ServiceName, LocalWithdrawal] = {}
        self._judges: dict[ServiceName, tuple[ReleaseRule, VersionJudge]] = {}

    def choose(
        self,
        service: ServiceName,
        configuration: Configuration,
        upstreams: VersionUpstreams,
        now_ms: float,
        retry: bool = False,
    ) -> VersionChoice:
        """Return the version of a call, see `VersionChooser.choose`."""
        return self._chooser.choose(service, configuration, upstreams, now_ms, retry)

    def record(
        self,
        service: ServiceName,
        choice: VersionChoice,
        route: RouteName,
        failed: bool,
        latency_ms: float,
    ) -> None:
        """Count a call that reached an upstream under its version choice.

        Don't record calls that were refused as not run: they say nothing about the
        quality of the version.
        """
        if choice.compared:
            self._block.record(service, choice.version, route, failed, latency_ms)

    def tick(
        self, configuration: Configuration, entries: int
    ) -> tuple[LocalWithdrawal, ...]:
        """Evaluate the calls since the last tick, and return new withdrawals.

        Parameters
        ----------
        configuration : Configuration
            The configuration in force at this entry.
        entries : int
            The number of entries that evaluate releases. The false-alarm rate is
            divided among them.
        """
        self._remove_ended_withdrawals(configuration)
        new_withdrawals = []
        block, self._block = self._block, EvidenceCounter()
        evidence = block.evidence()
        for release in configuration.releases:
            if release.state not in ACTIVE_STATES or self._chooser.is_withdrawn(
                release
            ):
                continue
            judge = self._get_judge(release, configuration, entries)
            judge.add(make_blocks(release, evidence))
            judgement = judge.judge()
            if judgement.verdict is Verdict.BAD:
                new_withdrawals.append(self._withdraw(release, judgement.reason))
        self._unreported.merge(block)
        return tuple(new_withdrawals)

    def take_report(self) -> ReleaseEvidence | None:
        """Return the counts since the last report, or None if there is nothing.

        Each report repeats a withdrawal until its release ends, because a report
        may be lost or reach a leader that doesn't know the release yet.
        """
        routes = self._unreported.evidence()
        if not routes and not self._withdrawals:
            return None
        withdrawals = tuple(self._withdrawals.values())
        self._unreported = EvidenceCounter()
        return ReleaseEvidence(self.node, routes, withdrawals)

    def withdrawn(self, configuration: Configuration) -> list[VersionName]:
        """Return the versions that this entry has withdrawn."""
        return [
            release.version
            for release in configuration.releases
            if release.state in ACTIVE_STATES and self._chooser.is_withdrawn(release)
        ]

    def _withdraw(self, release: ReleaseRule, reason: str) -> LocalWithdrawal:
        del self._judges[release.service]
        self._chooser.withdraw(release)
        withdrawal = LocalWithdrawal(
            release.service, release.version, release.started_at_ms, reason
        )
        self._withdrawals[release.service] = withdrawal
        return withdrawal

    def _remove_ended_withdrawals(self, configuration: Configuration) -> None:
        for withdrawal in tuple(self._withdrawals.values()):
            release = configuration.release_of(withdrawal.service)
            if release is None or not _is_pending(withdrawal, release):
                del self._withdrawals[withdrawal.service]

    def _get_judge(
        self, release: ReleaseRule, configuration: Configuration, entries: int
    ) -> VersionJudge:
        cached = self._judges.get(release.service)
        if cached is not None and cached[0].started_at_ms == release.started_at_ms:
            return cached[1]
        rule = configuration.services[release.service]
        rate = FALSE_ALARM_RATE / max(1, entries)
        judge = VersionJudge(rule.habits, len(rule.routes), rate)
        self._judges[release.service] = (release, judge)
        return judge


def _is_pending(withdrawal: LocalWithdrawal, release: ReleaseRule) -> bool:
    """Return whether control has yet to end the release of a withdrawal."""
    return withdrawal.concerns(release) and release.state not in ENDED_STATES


def make_entry_releases(node: NodeId, seed: int) -> EntryReleases:
    """Return the releases of an entry with a seeded generator of its own."""
    return EntryReleases(node, random.Random(seed))
