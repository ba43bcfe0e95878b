"""Subsetting: selects the upstreams of a service that an entry uses.

An entry keeps a stream to each upstream in use, over which the gate sends load reports.
In a full mesh their volume grows with the square of the number of nodes, and exceeds
that of the calls on small links and on the charged links between data centres. Each
entry therefore uses the upstreams near it and a few distant ones, which differ from
those of its neighbours.
"""

import functools
import hashlib
from collections.abc import Callable, Sequence

from cicadawheel.entry.candidate import Candidate
from cicadawheel.ids import NodeId

NEAR_LIMIT = 24
"""Maximum of upstreams in the own data centre. In a fleet of 66 nodes a data centre has
at most 19. With 24, at least one is quick while each is slow half of the time."""

FAR_LIMIT = 8
"""Maximum of upstreams in other data centres, if there are enough near ones. Of eight
that are each slow a third of the time, all are slow in only 1 of 6,000 cases."""

FAR_STANDBY = 4
"""Maximum of those while the own data centre suffices. They take the first calls that
leave, and all of them are slow in 1 of 80 cases only."""

RANKS_KEPT = 8_192
"""Above the number of nodes of a deployment, which are ranked at each change."""

MIN_SUBSET_SIZE = 16
"""Minimum of upstreams in total, where the own data centre has few or is out."""


def choose_subset(
    candidates: Sequence[Candidate],
    node: NodeId,
    distance_ms: Callable[[Candidate], float],
    wide: bool = True,
) -> list[Candidate]:
    """Return the candidates that an entry uses.

    They are ranked by a hash of the node names (rendezvous hashing), so that the subset
    changes little when candidates join or leave, and each candidate is used by about
    the same number of entries.

    Parameters
    ----------
    candidates : sequence of Candidate
        The candidates that may serve.
    node : NodeId
        The entry's own node, whose upstream is always included.
    distance_ms : callable
        The distance of a candidate; 0 in the own data centre.
    wide : bool
        Whether calls leave the own data centre, so that more distant ones are of use.
    """
    if len(candidates) <= MIN_SUBSET_SIZE:
        return list(candidates)
    ranked = sorted(candidates, key=lambda one: _rank(one.member.node, node))
    near = [one for one in ranked if not distance_ms(one)][:NEAR_LIMIT]
    far = [one for one in ranked if distance_ms(one)]
    far_limit = FAR_LIMIT if wide else FAR_STANDBY
    return near + far[: max(far_limit, MIN_SUBSET_SIZE - len(near))]


@functools.lru_cache(maxsize=RANKS_KEPT)
def _rank(other: NodeId, node: NodeId) -> bytes:
    if other == node:
        return b""
    return hashlib.blake2b(f"{node} {other}".encode(), digest_size=8).digest()
