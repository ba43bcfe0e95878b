"""Which upstreams of a service an entry uses, and so keeps streams to.

The load that this answers: news of load that each gate sends to each entry. Between
all and all it grows with the square of the fleet and takes more of a small link, and of
the priced way between data centres, than the calls do. An entry uses those near it and
some of the farther ones, others than its neighbours do.
"""

import hashlib
from collections.abc import Callable, Sequence

from cicadawheel.entry.candidate import Candidate
from cicadawheel.ids import NodeId

NEAR_LIMIT = 24
"""Upstreams of the own data centre: as many as one has at 66 nodes (19 at most), and
some more; with 24 at least one is quick while each is slow half of the time."""

FAR_LIMIT = 8
"""Upstreams of other data centres beside those near: of eight, of which each is slow a
third of the time, one is quick in all but 1 of 6,000 cases."""

LEAST = 16
"""Upstreams in all, where the own data centre has few or is out."""


def choose_subset(
    candidates: Sequence[Candidate],
    node: NodeId,
    distance_ms: Callable[[Candidate], float],
) -> list[Candidate]:
    """Return the candidates that an entry uses.

    The choice depends on the names only, so that it changes little when candidates
    come and go, and each is chosen by as many entries as any other.

    Parameters
    ----------
    candidates : sequence of Candidate
        Those that may serve.
    node : NodeId
        The entry's own node, whose upstream is always kept.
    distance_ms : callable
        How far away a candidate is; 0 in the own data centre.
    """
    if len(candidates) <= LEAST:
        return list(candidates)
    ranked = sorted(candidates, key=lambda one: _rank(one.member.node, node))
    near = [one for one in ranked if not distance_ms(one)][:NEAR_LIMIT]
    far = [one for one in ranked if distance_ms(one)]
    return near + far[: max(FAR_LIMIT, LEAST - len(near))]


def _rank(other: NodeId, node: NodeId) -> bytes:
    if other == node:
        return b""
    return hashlib.blake2b(f"{node} {other}".encode(), digest_size=8).digest()
