"""The typed messages of the streams between nodes and control."""

from typing import ClassVar

import msgspec

from cicadawheel.configuration import Configuration, Member
from cicadawheel.configuration_delta import ConfigurationDelta
from cicadawheel.control.command import Outcome
from cicadawheel.control.lease import NodeLoad
from cicadawheel.ids import (
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
    """A node is alive, and tells what it has in force.

    ``member`` is set when its registration is new or has changed, and ``epoch``
    is that of its registration, 0 before there is one. ``load`` is that of the
    node's gate, ``index`` that of the view that it has.
    """

    node: NodeId
    epoch: Epoch
    revision: Revision
    index: LogIndex = LogIndex(0)
    member: Member | None = None
    load: NodeLoad | None = None


class Registered(Message, tag="registered"):
    """The node's registration is durable."""

    epoch: Epoch


class RegisterAgain(Message, tag="again"):
    """Control doesn't hold the registration that the node renews."""


class Leaving(Message, tag="leaving"):
    """The node's upstream takes no new work."""

    node: NodeId
    epoch: Epoch


class View(Message, tag="view"):
    """All that a node needs to know, at one index of the log."""

    compresses: ClassVar[bool] = True

    index: LogIndex
    configuration: Configuration
    members: tuple[Member, ...]
    quarantined: tuple[Fingerprint, ...]


class ViewDelta(Message, tag="delta"):
    """What has changed since the view at ``base``.

    ``configuration`` and ``quarantined`` are None when they are the same.
    """

    compresses: ClassVar[bool] = True

    base: LogIndex
    index: LogIndex
    configuration: ConfigurationDelta | None
    joined: tuple[Member, ...]
    left: tuple[NodeId, ...]
    quarantined: tuple[Fingerprint, ...] | None


class Beat(Message, tag="beat"):
    """The replica is alive; ``current`` says that it hears from a leader."""

    current: bool


class Replicas(Message, tag="replicas"):
    """The hosts of all replicas, each of which takes nodes on the same port."""

    hosts: tuple[str, ...]


class ClaimOpen(Message, tag="claim"):
    """Asks for the right to run a request that must never repeat.

    ``attempt`` is a fresh name for each call; the message may be sent again with
    it until the request is dispatched.
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

    ``may_have_run`` says that the answer is lost; the rest is then ignored.
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
    """Gives back a claim whose request was not run."""

    number: int
    node: NodeId
    epoch: Epoch
    service: ServiceName
    key: IdempotencyKey
    attempt: str


class ClaimAnswer(Message, tag="claimed"):
    """Answers the claim message of the same number.

    ``outcome`` is None when no majority has confirmed in time; ``error`` then
    says why.
    """

    number: int
    outcome: Outcome | None
    error: str = ""


class SuspectReport(Message, tag="suspect"):
    """A request has crashed upstreams and must be refused everywhere."""

    service: ServiceName
    fingerprint: Fingerprint
    reason: str


class EvidenceReport(Message, tag="evidence"):
    """What a node has seen of the versions of services, encoded."""

    node: NodeId
    data: bytes


class LeaseEntry(msgspec.Struct, array_like=True, frozen=True):
    """One node that a replica hears from, and what it has in force."""

    node: NodeId
    epoch: Epoch
    revision: Revision
    load: NodeLoad | None = None


class LeaseReport(Message, tag="leases"):
    """The nodes that a replica hears from, told to the leader."""

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
    Registered | RegisterAgain | View | ViewDelta | Beat | Replicas | ClaimAnswer
)
ReplicaReport = LeaseReport | EvidenceReport
