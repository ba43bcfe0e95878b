"""Groups call counts into blocks: both versions of a release, by route."""

from collections.abc import Iterable

from cicadawheel.configuration import ReleaseRule
from cicadawheel.release.evidence import Counts, RouteEvidence, RouteName
from cicadawheel.release.judge import RouteBlock

Blocks = dict[RouteName, RouteBlock]


def make_blocks(release: ReleaseRule, evidence: Iterable[RouteEvidence]) -> Blocks:
    """Return the counts of both versions of a release, by route."""
    blocks: Blocks = {}
    for route in evidence:
        add_evidence(blocks, release, route)
    return blocks


def add_evidence(blocks: Blocks, release: ReleaseRule, route: RouteEvidence) -> None:
    """Add counts to the block of their route, unless they are of another release."""
    if route.service != release.service:
        return
    if route.version not in (release.version, release.old_version):
        return
    block = blocks.get(route.route)
    if block is None:
        block = blocks[route.route] = RouteBlock(Counts(), Counts())
    side = block.new if route.version == release.version else block.old
    side.merge(route.counts)
