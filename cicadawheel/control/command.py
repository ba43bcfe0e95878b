"""The commands that change the replicated state, and their outcomes.

A command is proposed to the replicated log, and applied by every replica in the
order of the log. `Outcome` is what the first application gave; a command that is
sent again with the same operation id gets the same outcome.
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
"""Expected by commands that hold whatever came before them."""


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all commands.

    ``now_ms`` is the Unix time at which the leader proposed the command; all
    replicas take the time from it.
    """

    now_ms: int


class OperatorCommand(Command, frozen=True, kw_only=True):
    """Base of the commands of operators.

    ``expected_revision`` is the revision that the operator saw. The command is
    refused as a conflict when the configuration has moved on, unless it is
    `ANY_REVISION`.
    """

    operation: OperationId
    expected_revision: Revision


class ApplyConfiguration(OperatorCommand, tag="apply", kw_only=True):
    """Puts a configuration generated from answers in force."""

    configuration: Configuration


class PutDocument(Command, tag="put_document", kw_only=True):
    """Replaces the operators' document, and puts the rules that it holds in force.

    ``version`` is the document's own number, ``base_version`` that of the document
    that it replaces, 0 for none. ``document`` is kept as it was sent; ``digest`` is
    the same when it is sent again.
    """

    version: int
    base_version: int
    document: bytes
    digest: bytes
    configuration: Configuration


class SetDataCentre(OperatorCommand, tag="set_data_centre", kw_only=True):
    """Takes a data centre out, or brings it back in."""

    data_centre: DataCentreName
    state: DataCentreState
    force: bool = False


class StartRelease(OperatorCommand, tag="start_release", kw_only=True):
    """Starts to move a service to a new version, to be done by a deadline."""

    service: ServiceName
    version: VersionName
    deadline_at_ms: int


class StopRelease(OperatorCommand, tag="stop_release", kw_only=True):
    """Takes a service's release back on the operator's word."""

    service: ServiceName


class AdvanceRelease(Command, tag="advance_release", kw_only=True):
    """Moves a release on, or takes it back, on the evidence."""

    service: ServiceName
    version: VersionName
    state: ReleaseState
    share: float
    reason: str


class RegisterMember(Command, tag="register", kw_only=True):
    """Adds an upstream with its node, or replaces its earlier registration."""

    member: Member


class ExpireMembers(Command, tag="expire", kw_only=True):
    """Removes members whose leases have run out, if their epochs still match."""

    nodes: tuple[tuple[NodeId, Epoch], ...]


class LeaveMember(Command, tag="leave", kw_only=True):
    """Marks a member as leaving: it takes no new work."""

    node: NodeId
    epoch: Epoch


class OpenClaim(Command, tag="claim", kw_only=True):
    """Claims the right to run a request that must never repeat.

    ``attempt`` is a fresh random name that the entry takes for each call, never
    one that callers choose. The entry may send the command again with the same
    attempt until it has dispatched the request.
    """

    service: ServiceName
    key: IdempotencyKey
    owner: NodeId
    owner_epoch: Epoch
    body_digest: Fingerprint
    attempt: str = ""


class FinishClaim(Command, tag="finish_claim", kw_only=True):
    """Stores the answer of a claimed request, for its resends.

    ``attempt`` is that of the call which opened the claim. ``may_have_run`` says
    that the answer is lost; the rest is then ignored.
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
    """Frees a claim whose request was never dispatched.

    ``attempt`` is that of the call which opened the claim.
    """

    service: ServiceName
    key: IdempotencyKey
    owner: NodeId
    owner_epoch: Epoch
    attempt: str = ""


class Quarantine(Command, tag="quarantine", kw_only=True):
    """Refuses a request that crashes upstreams, everywhere, until a time."""

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
    """What becomes of a document that an operator puts."""

    ACCEPTED = "accepted"
    KNOWN = "accepted before"
    CONFLICT = "another version is in place"
    INVALID = "the version is not above the present one"


class ClaimState(Enum):
    """What became of a request that must never repeat."""

    OPEN = "open"
    FINISHED = "finished"
    MAY_HAVE_RUN = "may have run"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The answer that resends of a claimed request get."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Outcome(msgspec.Struct, frozen=True):
    """What a command did.

    ``revision`` is the configuration's revision afterwards, ``winner`` the
    operation that a conflicting command lost to. ``epoch`` answers a
    registration. ``claim`` and ``answer`` answer an `OpenClaim` whose key is
    known already; a fresh claim is ``DONE`` with ``claim`` None. ``fenced`` says that
    the owner has registered anew since, or has to: it may ask under its new epoch.
    """

    state: OutcomeState
    revision: Revision
    message: str = ""
    winner: OperationId = OperationId("")
    epoch: Epoch = Epoch(0)
    claim: ClaimState | None = None
    answer: StoredAnswer | None = None
    fenced: bool = False
