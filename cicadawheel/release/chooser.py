"""Chooses the version of each call without exceeding the new version's share.

Each call adds the new version's share to a credit balance, and each call sent to
the new version costs 1. In the proof stage the credit is spent in bursts to a
single upstream. All entries start their bursts at the same Unix time. Together
they thus put one upstream under the load of a finished release without exchanging
messages.
"""

import random
import zlib
from collections.abc import Mapping, Sequence

import msgspec

from cicadawheel.configuration import Configuration, ReleaseRule
from cicadawheel.ids import ServiceName, UpstreamId, VersionName
from cicadawheel.release.plan import ACTIVE_STATES, SHARE_TOLERANCE, is_monitored

BURST_PERIOD_MS = 1_000.0
BURST_LOAD_LIMIT = 2.0
CREDIT_LIMIT = 4.0
CREDIT_PERIODS = 2.0

VersionUpstreams = Mapping[VersionName, Sequence[UpstreamId]]


class VersionChoice(msgspec.Struct, frozen=True):
    """The version, and possibly the upstream, that a call is routed to.

    An empty ``version`` means any version. ``upstream`` is the preferred upstream,
    if any. ``compared`` is set if the result of the call counts in the comparison
    of the versions.
    """

    version: VersionName
    upstream: UpstreamId | None = None
    compared: bool = False


class _Credit:
    """The credit balance of one release at one entry."""

    def __init__(self, release: ReleaseRule, rng: random.Random):
        self.started_at_ms = release.started_at_ms
        self.balance = rng.random()
        self.threshold = 1.0 + rng.random()
        self.withdrawn = False
        self.period = 0
        self.calls = 0
        self.last_calls = 0

    def count(self, now_ms: float) -> None:
        """Count a call in the current burst period."""
        period = int(now_ms // BURST_PERIOD_MS)
        if period != self.period:
            self.last_calls = self.calls if period == self.period + 1 else 0
            self.period, self.calls = period, 0
        self.calls += 1

    def earn(self, share: float) -> None:
        """Add the share of one call, up to the credit of `CREDIT_PERIODS` periods."""
        limit = max(CREDIT_LIMIT, CREDIT_PERIODS * share * self.last_calls)
        self.balance = min(self.balance + share, limit)


class VersionChooser:
    """Chooses the version of each call at one entry.

    Parameters
    ----------
    rng : random.Random
        The seeded generator of the entry.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._credits: dict[ServiceName, _Credit] = {}

    def choose(
        self,
        service: ServiceName,
        configuration: Configuration,
        upstreams: VersionUpstreams,
        now_ms: float,
        retry: bool = False,
    ) -> VersionChoice:
        """Return the version that a call is routed to.

        Parameters
        ----------
        service : ServiceName
            The called service.
        configuration : Configuration
            The configuration in force at this entry.
        upstreams : VersionUpstreams
            The service's upstreams that take new work, by version.
        now_ms : float
            The Unix time.
        retry : bool
            Whether this is a retry. Retries always go to the old version.
        """
        rule = configuration.services.get(service)
        version = VersionName("") if rule is None else rule.current_version
        release = configuration.release_of(service)
        if release is None or not _is_active(release):
            return self._choose_inactive(release, version, upstreams, now_ms)
        credit = self._get_credit(release)
        credit.count(now_ms)
        new_upstreams = upstreams.get(release.version, ())
        if retry or not new_upstreams or credit.withdrawn:
            return VersionChoice(version)
        if not upstreams.get(version):
            return VersionChoice(release.version)
        credit.earn(release.share)
        limit = configuration.services[service].habits.proof_share_limit
        if abs(release.share - limit) <= SHARE_TOLERANCE:
            full_share = _full_share(
                release, len(new_upstreams), len(upstreams[version])
            )
            return self._choose_in_burst(
                release, new_upstreams, credit, full_share, now_ms
            )
        return self._choose_evenly(release, version, credit)

    def withdraw(self, release: ReleaseRule) -> None:
        """Stop routing calls to a release's new version until the release ends."""
        self._get_credit(release).withdrawn = True

    def is_withdrawn(self, release: ReleaseRule) -> bool:
        """Return whether this entry has withdrawn the release's new version."""
        return self._get_credit(release).withdrawn

    def _choose_inactive(
        self,
        release: ReleaseRule | None,
        version: VersionName,
        upstreams: VersionUpstreams,
        now_ms: float,
    ) -> VersionChoice:
        if release is None or not is_monitored(release, now_ms):
            return VersionChoice(version)
        # Control may mark a release as done before it receives the withdrawal.
        if self.is_withdrawn(release) and upstreams.get(release.old_version):
            return VersionChoice(release.old_version)
        return VersionChoice(version, compared=True)

    def _choose_evenly(
        self, release: ReleaseRule, version: VersionName, credit: _Credit
    ) -> VersionChoice:
        if credit.balance < credit.threshold:
            return VersionChoice(version, compared=True)
        credit.balance -= 1.0
        credit.threshold = 1.0 + self._rng.random()
        return VersionChoice(release.version, compared=True)

    def _choose_in_burst(
        self,
        release: ReleaseRule,
        new_upstreams: Sequence[UpstreamId],
        credit: _Credit,
        full_share: float,
        now_ms: float,
    ) -> VersionChoice:
        version = release.old_version
        burst_ms = BURST_PERIOD_MS * release.share / full_share
        period, phase_ms = divmod(now_ms + _offset_ms(release.service), BURST_PERIOD_MS)
        if phase_ms >= burst_ms:
            return VersionChoice(version)
        if credit.balance < 1.0 or self._rng.random() >= full_share:
            return VersionChoice(version, compared=True)
        credit.balance -= 1.0
        index = int(period) % len(new_upstreams)
        return VersionChoice(
            release.version, sorted(new_upstreams)[index], compared=True
        )

    def _get_credit(self, release: ReleaseRule) -> _Credit:
        credit = self._credits.get(release.service)
        if credit is None or credit.started_at_ms != release.started_at_ms:
            credit = self._credits[release.service] = _Credit(release, self._rng)
        return credit


def _is_active(release: ReleaseRule) -> bool:
    return release.share > 0.0 and release.state in ACTIVE_STATES


def _full_share(release: ReleaseRule, new_upstreams: int, old: int) -> float:
    """Return the share of calls that one new upstream gets during a burst.

    It is the share of a finished release, limited to `BURST_LOAD_LIMIT` times the
    load of one old upstream, and never below the share of the release.
    """
    share_when_done = 1.0 / new_upstreams
    load_limit = BURST_LOAD_LIMIT / old
    return max(release.share, min(share_when_done, load_limit))


def _offset_ms(service: ServiceName) -> float:
    """Return the offset of a service's bursts, which spreads those of all services."""
    return zlib.crc32(service.encode()) % BURST_PERIOD_MS
