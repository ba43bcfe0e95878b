"""The Raft roles, and the record of a role change."""

from enum import Enum

import msgspec

from cicadawheel.ids import ReplicaId, Term


class Role(Enum):
    """The role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RoleChange(msgspec.Struct, frozen=True):
    """A change of role or of the known leader, with its reason for the log."""

    role: Role
    term: Term
    leader: ReplicaId | None
    reason: str
