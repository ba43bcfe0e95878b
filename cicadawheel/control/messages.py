"""The messages on the streams between nodes and control replicas."""

from typing import ClassVar

import msgspec

from cicadawheel.configuration import Configuration, Member
from cicadawheel.configuration_delta import ConfigurationDelta
from cicadawheel.control.command import Outcome
from cicadawheel.control.lease import NodeLoad
from cicadawheel.ids import (
    BootId,
    Epoch,
    Fingerprint,
    IdempotencyKey,
    LogIndex,
    NodeId,
    Revision,
    ServiceName,
)
from cicadawheel.wire.message import Message


class Renewal(Message, tag="renew"):
    """Renews a node's lease, and reports the revision in force there.

    ``member`` is set when the registration is new or has changed. ``epoch`` is that
    of the registration, 0 before the first one. ``load`` is the load of the node's
    gate, and ``index`` the log index of the node's view. ``boot`` is that of the
    upstream that ``member`` registers.
    """

    node: NodeId
    epoch: Epoch
    revision: Revision
    index: LogIndex = LogIndex(0)
    member: Member | None = None
    load: NodeLoad | None = None
    boot: BootId = BootId("")


class Registered(Message, tag="registered"):
    """Confirms that the node's registration is durable.

    ``departed_boot`` is that of the registered member.
    """

    epoch: Epoch
    departed_boot: BootId = BootId("")


class RegisterAgain(Message, tag="again"):
    """Tells a node that the registration it renews is unknown to control."""


class Leaving(Message, tag="leaving"):
    """Reports that the node's upstream takes no new work.

    ``departed_boot`` is the boot of the upstream if it has left for good.
    """

    node: NodeId
    epoch: Epoch
    departed_boot: BootId = BootId("")


class View(Message, tag="view"):
    """The full state that a node needs, as of one log index."""

    compresses: ClassVar[bool] = True

    index: LogIndex
    configuration: Configuration
    members: tuple[Member, ...]
    quarantined: tuple[Fingerprint, ...]


class ViewDelta(Message, tag="delta"):
    """The changes since the view at the log index ``base``.

    ``configuration`` and ``quarantined`` are None when they are unchanged.
    """

    compresses: ClassVar[bool] = True

    base: LogIndex
    index: LogIndex
    configuration: ConfigurationDelta | None
    joined: tuple[Member, ...]
    left: tuple[NodeId, ...]
    quarantined: tuple[Fingerprint, ...] | None


class Heartbeat(Message, tag="beat"):
    """A heartbeat; ``current`` tells whether the replica hears from a leader."""

    current: bool


class Replicas(Message, tag="replicas"):
    """The hosts of all replicas, which accept node streams on the same port."""

    hosts: tuple[str, ...]


class ClaimOpen(Message, tag="claim"):
    """Asks for the right to run a request that must not run twice.

    ``attempt`` is a new id for each call; the message may be retried with the same
    attempt until the request is dispatched.
    """

    number: int
    node: NodeId
    epoch: Epoch
    service: ServiceName
    key: IdempotencyKey
    body_digest: Fingerprint
    attempt: str


class ClaimFinish(Message, tag="finish"):
    """Stores the answer of a claimed request.

    ``may_have_run`` means that the answer was lost; status, headers and body are then
    ignored.
    """

    number: int
    node: NodeId
    epoch: Epoch
    service: ServiceName
    key: IdempotencyKey
    attempt: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    may_have_run: bool


class ClaimRelease(Message, tag="release"):
    """Releases a claim whose request was never dispatched."""

    number: int
    node: NodeId
    epoch: Epoch
    service: ServiceName
    key: IdempotencyKey
    attempt: str


class ClaimAnswer(Message, tag="claimed"):
    """Answers the claim message of the same number.

    ``outcome`` is None when no majority confirmed in time; ``error`` then gives the
    reason.
    """

    number: int
    outcome: Outcome | None
    error: str = ""


class SuspectReport(Message, tag="suspect"):
    """Reports a request that crashes upstreams and that all nodes must refuse."""

    service: ServiceName
    fingerprint: Fingerprint
    reason: str


class EvidenceReport(Message, tag="evidence"):
    """Encoded statistics of a node on the versions of services, for releases."""

    node: NodeId
    data: bytes


class LeaseEntry(msgspec.Struct, array_like=True, frozen=True):
    """A node connected to a replica, and the revision in force at the node."""

    node: NodeId
    epoch: Epoch
    revision: Revision
    load: NodeLoad | None = None


class LeaseReport(Message, tag="leases"):
    """The nodes that renew their leases at a replica, reported to the leader."""

    entries: tuple[LeaseEntry, ...]


NodeToControl = (
    Renewal
    | Leaving
    | ClaimOpen
    | ClaimFinish
    | ClaimRelease
    | SuspectReport
    | EvidenceReport
)
ControlToNode = (
    Registered | RegisterAgain | View | ViewDelta | Heartbeat | Replicas | ClaimAnswer
)
ReplicaReport = LeaseReport | EvidenceReport
