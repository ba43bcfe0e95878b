"""The identity of a data folder: its replica, its id and its first membership."""

import msgspec

from cicadawheel.control.raft.membership import FolderId, Membership
from cicadawheel.ids import ReplicaId


class Identity(msgspec.Struct, array_like=True, frozen=True):
    """Written when a folder is first opened, and when its replica may first vote.

    ``folder`` is a random id, so a replica that lost its disk can't come back with
    the same one. ``bootstrap`` is the initial membership, empty until the replicas
    have agreed on it.
    """

    replica: ReplicaId
    folder: FolderId
    bootstrap: Membership = Membership()
