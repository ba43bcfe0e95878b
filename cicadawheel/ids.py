"""Identifier types of a deployment."""

from typing import NewType

DataCentreName = NewType("DataCentreName", str)
ServiceName = NewType("ServiceName", str)
VersionName = NewType("VersionName", str)

RouteName = NewType("RouteName", str)
"""Host and path prefix of a route, concatenated without a separator."""

NodeId = NewType("NodeId", str)
"""Name of a node from its settings, stable across restarts."""

UpstreamId = NewType("UpstreamId", str)
"""Name of an upstream from its announcement, stable across restarts."""

BootId = NewType("BootId", str)
"""Identifier that changes at each start of an upstream or a node."""

ReplicaId = NewType("ReplicaId", str)
"""Identifier of a control replica, never reused after its disk is lost."""

RequestId = NewType("RequestId", str)
"""Identifier of one call, propagated through all hops and logs."""

OperationId = NewType("OperationId", str)
"""Identifier of an operator command, kept when the command is resent."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Key chosen by the caller for a request that must not run twice."""

Fingerprint = NewType("Fingerprint", str)
"""Digest that identifies a request across resends by its caller."""

StreamId = NewType("StreamId", int)
"""Number of a call on a stream between two nodes."""

Revision = NewType("Revision", int)
"""Log index of the change that created a configuration."""

Epoch = NewType("Epoch", int)
"""Log index of a node's registration, which fences off earlier registrations."""

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
