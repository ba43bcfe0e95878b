"""JSON messages of the HTTP interface for operators."""

from enum import Enum

import msgspec

from cicadawheel.control.command import (
    ApplyConfiguration,
    SetDataCentre,
    StartRelease,
    StopRelease,
)
from cicadawheel.ids import (
    DataCentreName,
    NodeId,
    ReplicaId,
    Revision,
    ServiceName,
    Term,
    UpstreamId,
    VersionName,
)

COMMANDS_PATH = "/v1/commands"
CONFIGURATION_PATH = "/v1/configuration"
STATUS_PATH = "/v1/status"
REPLICAS_PATH = "/v1/replicas"
DUMP_PATH = "/dump"
METRICS_PATH = "/metrics"

STATUS_DONE = 200
STATUS_CONFLICT = 409
STATUS_REFUSED = 422
STATUS_NOT_LEADER = 421
STATUS_NO_QUORUM = 503

AnyOperatorCommand = ApplyConfiguration | SetDataCentre | StartRelease | StopRelease


class ReplicaRole(Enum):
    """The role of a replica in the replica set."""

    VOTER = "voter"
    LEARNER = "learner"
    RELAY = "relay"


class ReplicaAction(Enum):
    """A kind of change of the replica set."""

    ADD = "add"
    REMOVE = "remove"


class ReplicaChange(msgspec.Struct, frozen=True):
    """Request body of a change of the replica set, answered by an `Outcome`.

    ``address`` is the ``replica_address`` of the replica, empty for a removal. A
    relay serves nodes and never votes.
    """

    action: ReplicaAction
    replica: ReplicaId
    address: str = ""
    relay: bool = False


class ReplicaStatus(msgspec.Struct, frozen=True):
    """One control replica, as seen by the answering replica.

    ``behind_entries`` is the number of committed entries that it lacks, and
    ``last_heard_ms`` the time since its last message. Both are None if unknown.
    """

    replica: ReplicaId
    address: str
    role: ReplicaRole = ReplicaRole.VOTER
    behind_entries: int | None = None
    last_heard_ms: int | None = None


class NodeStatus(msgspec.Struct, frozen=True):
    """One node and its upstream.

    ``last_heard_ms`` is the time since the last message of the node.
    """

    node: NodeId
    upstream: UpstreamId
    service: ServiceName
    version: VersionName
    data_centre: DataCentreName
    revision_in_force: Revision
    last_heard_ms: int
    leaving: bool = False


class MissingNode(msgspec.Struct, frozen=True):
    """A live node where the newest revision isn't in force yet, and the reason."""

    node: NodeId
    revision_in_force: Revision
    reason: str = ""


class DrainStatus(msgspec.Struct, frozen=True):
    """The calls still in flight in a data centre that is out.

    ``unknown`` lists its nodes that have not yet reported to the answering replica.
    """

    data_centre: DataCentreName
    in_flight: int
    unknown: tuple[NodeId, ...] = ()


class ControlStatus(msgspec.Struct, frozen=True):
    """The state of the deployment as known to a control replica.

    ``revision`` is the revision of the newest configuration. It is in force
    everywhere if ``missing`` is empty. ``repair`` states whether all replicas vote
    and have every committed entry; it is empty if unknown. ``standing`` is the reason
    why the answering replica does not participate in the log, and empty if it does.
    """

    replica: ReplicaId
    leader: ReplicaId | None
    term: Term
    revision: Revision
    replicas: tuple[ReplicaStatus, ...] = ()
    nodes: tuple[NodeStatus, ...] = ()
    missing: tuple[MissingNode, ...] = ()
    repair: str = ""
    draining: tuple[DrainStatus, ...] = ()
    standing: str = ""
