"""The commands that change the replicated state, and their outcomes.

A command is proposed to the replicated log, and every replica applies it in log
order. An operator command that is retried with the same operation id gets the
`Outcome` of its first application.
"""

from enum import Enum

import msgspec

from cicadawheel.configuration import (
    Configuration,
    DataCentreState,
    Member,
    ReleaseState,
)
from cicadawheel.ids import (
    BootId,
    DataCentreName,
    Epoch,
    Fingerprint,
    IdempotencyKey,
    NodeId,
    OperationId,
    Revision,
    ServiceName,
    VersionName,
)

ANY_REVISION = Revision(-1)
"""Expected revision of commands that apply to any revision."""

ANY_RELEASE = -1
"""Expected start of commands that apply whatever release of the service is newest."""


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all commands.

    ``now_ms`` is the Unix time at which the command was proposed; replicas use it as
    the current time when they apply the command.
    """

    now_ms: int


class OperatorCommand(Command, frozen=True, kw_only=True):
    """Base of operator commands.

    ``expected_revision`` is the revision that the operator saw. If operators or
    releases have changed the configuration since, the command ends in a conflict,
    unless the expected revision is `ANY_REVISION`.
    """

    operation: OperationId
    expected_revision: Revision


class ApplyConfiguration(OperatorCommand, tag="apply", kw_only=True):
    """Applies a configuration generated from an answers file."""

    configuration: Configuration


class PutDocument(Command, tag="put_document", kw_only=True):
    """Replaces the operators' document, and applies the rules in it.

    ``version`` is the version of the document, and ``base_version`` that of the
    document that it replaces, 0 for none. ``document`` holds the bytes as sent;
    ``digest`` identifies the content, so that a retry is recognised.
    """

    version: int
    base_version: int
    document: bytes
    digest: bytes
    configuration: Configuration


class SetDataCentre(OperatorCommand, tag="set_data_centre", kw_only=True):
    """Takes a data centre out, or brings it back in.

    ``expected_state_revision`` is the `DataCentreRule.state_revision` that the sender
    saw. A copy of the command that was delayed conflicts with later changes.
    """

    data_centre: DataCentreName
    state: DataCentreState
    force: bool = False
    expected_state_revision: Revision = ANY_REVISION


class StartRelease(OperatorCommand, tag="start_release", kw_only=True):
    """Starts the release of a new version of a service, with a deadline.

    ``expected_start_ms`` is the start of the service's newest release that the sender
    saw, 0 for none. A copy of the command that was delayed conflicts with a later one.
    """

    service: ServiceName
    version: VersionName
    deadline_at_ms: int
    expected_start_ms: int = ANY_RELEASE


class StopRelease(OperatorCommand, tag="stop_release", kw_only=True):
    """Rolls a service's release back at an operator's request."""

    service: ServiceName


class AdvanceRelease(Command, tag="advance_release", kw_only=True):
    """Advances a release or rolls it back, based on evidence from nodes."""

    service: ServiceName
    version: VersionName
    state: ReleaseState
    share: float
    reason: str


class RegisterMember(Command, tag="register", kw_only=True):
    """Registers a node's upstream, or replaces its earlier registration.

    ``boot`` is that of the upstream. One that has departed is registered as leaving.
    """

    member: Member
    boot: BootId = BootId("")


class ExpireMembers(Command, tag="expire", kw_only=True):
    """Removes members whose leases have expired, if their epochs still match."""

    nodes: tuple[tuple[NodeId, Epoch], ...]


class LeaveMember(Command, tag="leave", kw_only=True):
    """Marks a member as leaving: it takes no new work.

    ``departed_boot`` is the boot of its upstream if that has left for good.
    """

    node: NodeId
    epoch: Epoch
    departed_boot: BootId = BootId("")


class OpenClaim(Command, tag="claim", kw_only=True):
    """Claims the right to run a request that must not run twice.

    ``attempt`` is a random id that the entry generates for each call; callers cannot
    choose it. The entry may retry the command with the same attempt until it has
    dispatched the request.
    """

    service: ServiceName
    key: IdempotencyKey
    owner: NodeId
    owner_epoch: Epoch
    body_digest: Fingerprint
    attempt: str = ""


class FinishClaim(Command, tag="finish_claim", kw_only=True):
    """Stores the answer of a claimed request, for retries of the request.

    ``attempt`` is that of the call which opened the claim. ``may_have_run`` means that
    the answer was lost; status, headers and body are then ignored.
    """

    service: ServiceName
    key: IdempotencyKey
    owner: NodeId
    owner_epoch: Epoch
    attempt: str = ""
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    may_have_run: bool = False


class ReleaseClaim(Command, tag="release_claim", kw_only=True):
    """Releases a claim whose request was never dispatched.

    ``attempt`` is that of the call which opened the claim.
    """

    service: ServiceName
    key: IdempotencyKey
    owner: NodeId
    owner_epoch: Epoch
    attempt: str = ""


class Quarantine(Command, tag="quarantine", kw_only=True):
    """Makes all nodes refuse a request that crashes upstreams, until a Unix time."""

    service: ServiceName
    fingerprint: Fingerprint
    until_ms: int
    reason: str


AnyCommand = (
    ApplyConfiguration
    | PutDocument
    | SetDataCentre
    | StartRelease
    | StopRelease
    | AdvanceRelease
    | RegisterMember
    | ExpireMembers
    | LeaveMember
    | OpenClaim
    | FinishClaim
    | ReleaseClaim
    | Quarantine
)


class OutcomeState(Enum):
    """How a command ended."""

    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"


class DocumentOutcome(Enum):
    """The result of putting a document; the values are shown to operators."""

    ACCEPTED = "accepted"
    KNOWN = "accepted before"
    CONFLICT = "another version is in place"
    INVALID = "the version is not above the present one"


class ClaimState(Enum):
    """The state of a claimed request."""

    OPEN = "open"
    FINISHED = "finished"
    MAY_HAVE_RUN = "may have run"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The stored answer to retries of a claimed request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Outcome(msgspec.Struct, frozen=True):
    """The result of applying a command.

    ``revision`` is the revision of the configuration afterwards, and ``winner`` the
    operation that a conflicting command lost to. ``epoch`` is set for a registration.
    ``claim`` and ``answer`` are set for an `OpenClaim` whose key is already known; a
    new claim is ``DONE`` with ``claim`` None. ``fenced`` means that the epoch of the
    claim's owner is no longer current; the owner may retry under a new epoch.
    """

    state: OutcomeState
    revision: Revision
    message: str = ""
    winner: OperationId = OperationId("")
    epoch: Epoch = Epoch(0)
    claim: ClaimState | None = None
    answer: StoredAnswer | None = None
    fenced: bool = False
