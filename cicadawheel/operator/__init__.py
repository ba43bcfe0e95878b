"""Operator interface of control: message types and a client."""

from cicadawheel.operator.client import OperatorClient, fetch_dump, new_operation_id
from cicadawheel.operator.messages import (
    AnyOperatorCommand,
    ControlStatus,
    DrainStatus,
    MissingNode,
    NodeStatus,
    ReplicaAction,
    ReplicaChange,
    ReplicaRole,
    ReplicaStatus,
)
from cicadawheel.operator.replies import (
    ConflictError,
    ControlUnreachableError,
    NotInForceError,
)

__all__ = [
    "AnyOperatorCommand",
    "ConflictError",
    "ControlStatus",
    "ControlUnreachableError",
    "DrainStatus",
    "MissingNode",
    "NodeStatus",
    "NotInForceError",
    "OperatorClient",
    "ReplicaAction",
    "ReplicaChange",
    "ReplicaRole",
    "ReplicaStatus",
    "fetch_dump",
    "new_operation_id",
]
