"""Names and numbers that identify the parts of a deployment."""

from typing import NewType

DataCentreName = NewType("DataCentreName", str)
ServiceName = NewType("ServiceName", str)
VersionName = NewType("VersionName", str)

RouteName = NewType("RouteName", str)
"""Host and path prefix of a route, without a slash between them."""

NodeId = NewType("NodeId", str)
"""Stable name of a node, from its settings."""

UpstreamId = NewType("UpstreamId", str)
"""Stable name of an upstream, as it announces itself."""

BootId = NewType("BootId", str)
"""Fresh random name that an upstream or a node takes at each start."""

ReplicaId = NewType("ReplicaId", str)
"""Name of a control replica, never used again once its disk is lost."""

RequestId = NewType("RequestId", str)
"""Name of one call, carried through all hops and logs."""

OperationId = NewType("OperationId", str)
"""Name of one operator's command, the same when the command is resent."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""The caller's name for a request that must not run twice."""

Fingerprint = NewType("Fingerprint", str)
"""Digest that recognises a request when its caller sends it again."""

StreamId = NewType("StreamId", int)
"""Number of one call on a stream between two nodes."""

Revision = NewType("Revision", int)
"""Log index of the change that made a configuration."""

Epoch = NewType("Epoch", int)
"""Log index of a node's registration, which fences its earlier ones."""

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
