"""Releases at a node: routes calls to versions and reports their results."""

import logging
import random
from collections.abc import Callable, Iterable

import msgspec

from cicadawheel.configuration import Configuration, Member
from cicadawheel.ids import NodeId, ServiceName, UpstreamId, VersionName
from cicadawheel.logs import log_event
from cicadawheel.release.chooser import VersionChoice, VersionUpstreams
from cicadawheel.release.entry import BLOCK_MS, REPORT_MS, EntryReleases
from cicadawheel.release.evidence import RouteName
from cicadawheel.release.plan import ENDED_STATES
from cicadawheel.timer import TimerService

log = logging.getLogger(__name__)

ANY_VERSION = VersionChoice(VersionName(""))

MembersByVersion = dict[ServiceName, dict[VersionName, dict[UpstreamId, Member]]]


class NodeReleases:
    """Tracks the versions and upstreams that the calls of an entry may go to.

    Parameters
    ----------
    node : NodeId
        This node.
    rng : random.Random
        The node's seeded generator.
    timers : TimerService
        The source of time and of periodic callbacks.
    send : callable
        Sends encoded evidence to control.
    """

    def __init__(
        self,
        node: NodeId,
        rng: random.Random,
        timers: TimerService,
        send: Callable[[bytes], None],
    ):
        self.clock = timers.clock
        self.configuration = Configuration()
        self._send = send
        self._releases = EntryReleases(node, rng)
        self._entries = 1
        self._current_choices: dict[ServiceName, VersionChoice] = {}
        self._upstreams: MembersByVersion = {}
        self._upstream_ids: dict[ServiceName, VersionUpstreams] = {}
        timers.every(BLOCK_MS, self._tick)
        timers.every(REPORT_MS, self._report)

    def configure(
        self, configuration: Configuration, members: Iterable[Member]
    ) -> None:
        """Apply a configuration and a list of upstreams."""
        members = tuple(members)
        self.configuration = configuration
        self._entries = len(members)
        released = {
            release.service
            for release in configuration.releases
            if release.state not in ENDED_STATES
        }
        self._current_choices = {
            name: VersionChoice(rule.current_version)
            for name, rule in configuration.services.items()
            if name not in released
        }
        self._upstreams = self._by_version(members)
        self._upstream_ids = {
            service: {version: tuple(ids) for version, ids in versions.items()}
            for service, versions in self._upstreams.items()
        }

    def choose(self, service: ServiceName, retry: bool = False) -> VersionChoice:
        """Return the version of a call."""
        current = self._current_choices.get(service)
        if current is not None:
            return current
        if service not in self.configuration.services:
            return ANY_VERSION
        return self._releases.choose(
            service,
            self.configuration,
            self._upstream_ids.get(service, {}),
            self.clock.unix_ms(),
            retry,
        )

    def preferred(self, service: ServiceName, choice: VersionChoice) -> Member | None:
        """Return the preferred upstream of a choice, or None."""
        if choice.upstream is None:
            return None
        versions = self._upstreams.get(service, {})
        return versions.get(choice.version, {}).get(choice.upstream)

    def record(
        self,
        service: ServiceName,
        choice: VersionChoice,
        route: RouteName,
        failed: bool,
        latency_ms: float,
    ) -> None:
        """Count a call that reached an upstream."""
        self._releases.record(service, choice, route, failed, latency_ms)

    def withdrawn(self) -> list[VersionName]:
        """Return the versions that this node has withdrawn."""
        return self._releases.withdrawn(self.configuration)

    def _by_version(self, members: tuple[Member, ...]) -> MembersByVersion:
        by_version: MembersByVersion = {}
        for member in members:
            if member.leaving:
                continue
            if self.configuration.takes_new_work(member.data_centre):
                versions = by_version.setdefault(member.service, {})
                versions.setdefault(member.version, {})[member.upstream] = member
        return by_version

    def _tick(self, now_ms: float) -> None:
        for withdrawal in self._releases.tick(self.configuration, self._entries):
            log_event(
                log,
                "version_withdrawn",
                service=withdrawal.service,
                version=withdrawal.version,
                reason=withdrawal.reason,
            )

    def _report(self, now_ms: float) -> None:
        report = self._releases.take_report()
        if report is not None:
            self._send(msgspec.msgpack.encode(report))
