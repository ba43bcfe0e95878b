"""Load-balancing policies, one of which is selected in the settings."""

from random import Random
from typing import Protocol

from cicadawheel.entry.candidate import SPILL_START_UTILISATION, Candidate
from cicadawheel.entry.group import Group, Usable, sample_usable
from cicadawheel.entry.locality import Flows
from cicadawheel.entry.placement import DEFAULT_PROFILE, CallProfile, SoonestAnswer
from cicadawheel.errors import SettingsError
from cicadawheel.settings import EntrySettings

SLOW_FACTOR = 2.0
HOP_MS = 0.5
OWN_COST_FACTOR = 0.9


class PickPolicy(Protocol):
    """Selects among the candidates of one group."""

    def pick(
        self,
        group: Group,
        usable: Usable,
        usual_ms: float,
        now_ms: float,
        profile: CallProfile = DEFAULT_PROFILE,
    ) -> Candidate | None:
        """Select the candidate for a call, or None if none is usable.

        ``usual_ms`` is the usual service time of the service, ``profile`` the
        properties of the call.
        """


class WeightedChoices:
    """Compares the expected times of a few random upstreams, the nearest tier first.

    A more distant tier is considered only when the best upstream so far is estimated
    to be nearly full or much slower than usual.

    Parameters
    ----------
    settings : EntrySettings
        The number of upstreams to compare, and the half-life of reports.
    random : Random
        Draws the upstreams to compare.
    """

    def __init__(self, settings: EntrySettings, random: Random):
        self.choices = settings.choices
        self.half_life_ms = settings.report_half_life_ms
        self.random = random

    def pick(
        self,
        group: Group,
        usable: Usable,
        usual_ms: float,
        now_ms: float,
        profile: CallProfile = DEFAULT_PROFILE,
    ) -> Candidate | None:
        """Select the candidate for a call, or None if none is usable."""
        best, best_ms = None, 0.0
        for tier in group.tiers:
            nearest, nearest_ms = self._best_of(tier, group, usable, usual_ms, now_ms)
            if nearest is None:
                continue
            if best is None or nearest_ms < best_ms:
                best, best_ms = nearest, nearest_ms
            if self._is_acceptable(best, usual_ms, now_ms):
                break
        return best

    def _best_of(self, tier, group, usable, usual_ms, now_ms):
        best, best_ms = None, 0.0
        drawn = sample_usable(self.random, tier.candidates, self.choices, usable)
        own = group.own
        if tier is group.tiers[0] and own is not None and usable(own):
            drawn.append(own)
        for candidate in drawn:
            cost_ms = candidate.cost_ms(usual_ms, now_ms, self.half_life_ms)
            if candidate is own:
                cost_ms *= OWN_COST_FACTOR
            else:
                cost_ms += HOP_MS + 2.0 * tier.distance_ms
            if best is None or cost_ms < best_ms:
                best, best_ms = candidate, cost_ms
        return best, best_ms

    def _is_acceptable(
        self, candidate: Candidate, usual_ms: float, now_ms: float
    ) -> bool:
        if candidate.use(now_ms, self.half_life_ms) > SPILL_START_UTILISATION:
            return False
        time_ms = candidate.service_time_ms(usual_ms, now_ms)
        return not usual_ms or time_ms <= SLOW_FACTOR * usual_ms


class TwoChoices:
    """Selects the less utilised of two random upstreams.

    Parameters
    ----------
    settings : EntrySettings
        The half-life of reports.
    random : Random
        Draws the two upstreams.
    """

    def __init__(self, settings: EntrySettings, random: Random):
        self.half_life_ms = settings.report_half_life_ms
        self.random = random

    def pick(
        self,
        group: Group,
        usable: Usable,
        usual_ms: float,
        now_ms: float,
        profile: CallProfile = DEFAULT_PROFILE,
    ) -> Candidate | None:
        """Select the candidate for a call, or None if none is usable."""
        drawn = sample_usable(self.random, group.used, 2, usable)
        return min(
            drawn,
            key=lambda candidate: candidate.use(now_ms, self.half_life_ms),
            default=None,
        )


class RoundRobin:
    """Selects the upstreams in turn."""

    def __init__(self):
        self._turn = 0

    def pick(
        self,
        group: Group,
        usable: Usable,
        usual_ms: float,
        now_ms: float,
        profile: CallProfile = DEFAULT_PROFILE,
    ) -> Candidate | None:
        """Select the candidate for a call, or None if none is usable."""
        count = len(group.used)
        for i in range(count):
            candidate = group.used[(self._turn + i) % count]
            if usable(candidate):
                self._turn = (self._turn + i + 1) % count
                return candidate
        return None


class RandomChoice:
    """Selects an upstream at random.

    Parameters
    ----------
    random : Random
        Draws the upstream.
    """

    def __init__(self, random: Random):
        self.random = random

    def pick(
        self,
        group: Group,
        usable: Usable,
        usual_ms: float,
        now_ms: float,
        profile: CallProfile = DEFAULT_PROFILE,
    ) -> Candidate | None:
        """Select the candidate for a call, or None if none is usable."""
        drawn = sample_usable(self.random, group.used, 1, usable)
        return drawn[0] if drawn else None


class LeastReported:
    """Selects the upstream with the lowest utilisation in its last report."""

    def pick(
        self,
        group: Group,
        usable: Usable,
        usual_ms: float,
        now_ms: float,
        profile: CallProfile = DEFAULT_PROFILE,
    ) -> Candidate | None:
        """Select the candidate for a call, or None if none is usable."""
        return min(filter(usable, group.used), key=Candidate.reported_use, default=None)


def make_policy(
    settings: EntrySettings, random: Random, flows: Flows | None = None
) -> PickPolicy:
    """Return the policy selected in the settings.

    Raises
    ------
    SettingsError
        There is no policy of that name.
    """
    if settings.policy == "weighted-choices":
        return WeightedChoices(settings, random)
    if settings.policy == "soonest-answer":
        return SoonestAnswer(random, flows)
    if settings.policy == "two-choices":
        return TwoChoices(settings, random)
    if settings.policy == "round-robin":
        return RoundRobin()
    if settings.policy == "random":
        return RandomChoice(random)
    if settings.policy == "least-reported":
        return LeastReported()
    raise SettingsError(
        f"[entry] policy = {settings.policy}: unknown policy", step="settings"
    )
