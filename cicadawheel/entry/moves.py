"""Decides whether a call is moved on from a gate that has no free slot.

It answers many upstreams with few slots each, where reports of free slots are few and
late: most are free, but the one that a call meets may not be. A gate that refuses the
call at once costs a round trip; to queue there costs a part of another call's work.
"""

from cicadawheel.entry.body import RequestBody
from cicadawheel.ids import NodeId

MOVE_LIMIT = 3
"""Busy gates refuse this many attempts of a call, which then queues at the best one."""

MOVED_BODY_LIMIT_BYTES = 2_048
"""A longer body takes too long on the links of small VMs to be sent in vain."""


def may_move_on(node: NodeId, busy: set[NodeId], body: RequestBody) -> bool:
    """Return whether a gate may refuse a call because it would have to wait there.

    Parameters
    ----------
    node : NodeId
        The gate. If it was busy before, the call is sent to queue there.
    busy : set of NodeId
        The gates that have refused the call so.
    body : RequestBody
        The body of the call, which can be sent again only while all of it is kept.
    """
    if node in busy or len(busy) >= MOVE_LIMIT:
        return False
    if body.more or not body.replayable:
        return False
    return body.is_deferred or len(body.beginning) <= MOVED_BODY_LIMIT_BYTES
