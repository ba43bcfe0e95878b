"""The upstreams that may serve a version of a service, grouped by distance."""

from collections.abc import Callable
from random import Random

import msgspec

from cicadawheel.configuration import Configuration
from cicadawheel.entry.candidate import Candidate
from cicadawheel.entry.subset import choose_subset
from cicadawheel.ids import DataCentreName, NodeId, VersionName

UNKNOWN_DISTANCE_MS = 1.0

Usable = Callable[[Candidate], bool]


class Tier(msgspec.Struct, frozen=True):
    """The candidates of data centres at the same distance."""

    distance_ms: float
    candidates: tuple[Candidate, ...]


class Group(msgspec.Struct, frozen=True):
    """The candidates of a version, split by distance and by whether they are used.

    ``tiers`` holds the used candidates, the nearest tier first. ``own`` is this node's
    upstream.
    """

    tiers: tuple[Tier, ...]
    used: tuple[Candidate, ...]
    own: Candidate | None
    unused: tuple[Candidate, ...] = ()


def make_group(
    candidates: list[Candidate],
    version: VersionName,
    configuration: Configuration,
    data_centre: DataCentreName,
    node: NodeId,
    wide: bool = True,
) -> Group:
    """Return the group of those candidates that may take new work.

    ``wide`` adds more of the distant ones, for calls that leave the data centre.
    """
    eligible = [
        item for item in candidates if _is_eligible(item, version, configuration)
    ]

    distances_ms = {
        there: _distance_ms(there, configuration, data_centre)
        for there in {item.member.data_centre for item in eligible}
    }

    def distance_ms(candidate: Candidate) -> float:
        return distances_ms[candidate.member.data_centre]

    used = choose_subset(eligible, node, distance_ms, wide)
    by_distance: dict[float, list[Candidate]] = {}
    for candidate in used:
        by_distance.setdefault(distance_ms(candidate), []).append(candidate)
    tiers = tuple(
        Tier(tier_ms, tuple(by_distance[tier_ms])) for tier_ms in sorted(by_distance)
    )
    own = next((item for item in used if item.member.node == node), None)
    in_use = {id(item) for item in used}
    unused = tuple(item for item in eligible if id(item) not in in_use)
    return Group(tiers, tuple(used), own, unused)


def sample_usable(
    random: Random, candidates: tuple[Candidate, ...], count: int, usable: Usable
) -> list[Candidate]:
    """Return up to ``count`` random usable candidates.

    Only the drawn candidates are tested, and all of them only if none of the drawn is
    usable.
    """
    if count >= len(candidates):
        drawn = list(candidates)
        random.shuffle(drawn)
    else:
        drawn = random.sample(candidates, count)
    found = [candidate for candidate in drawn if usable(candidate)]
    if found or len(drawn) == len(candidates):
        return found
    rest = [candidate for candidate in candidates if usable(candidate)]
    return random.sample(rest, min(count, len(rest)))


def _is_eligible(
    candidate: Candidate, version: VersionName, configuration: Configuration
) -> bool:
    member = candidate.member
    if member.leaving or (version and member.version != version):
        return False
    if configuration.is_withdrawn(member.service, member.version):
        return False
    return configuration.takes_new_work(member.data_centre)


def _distance_ms(
    there: DataCentreName, configuration: Configuration, data_centre: DataCentreName
) -> float:
    if there == data_centre:
        return 0.0
    rule = configuration.data_centres.get(data_centre)
    if rule is not None and there in rule.distance_ms:
        return rule.distance_ms[there]
    rule = configuration.data_centres.get(there)
    if rule is not None and data_centre in rule.distance_ms:
        return rule.distance_ms[data_centre]
    return UNKNOWN_DISTANCE_MS
