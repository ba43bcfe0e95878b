"""The state machine to which control replicas apply committed log commands."""

from collections.abc import Callable
from typing import Any

import msgspec

from cicadawheel.configuration import Configuration, Member, ReleaseState, Routing
from cicadawheel.control.command import (
    AdvanceRelease,
    AnyCommand,
    ClaimState,
    DocumentOutcome,
    ExpireMembers,
    FinishClaim,
    LeaveMember,
    OpenClaim,
    OperatorCommand,
    Outcome,
    OutcomeState,
    PutDocument,
    Quarantine,
    RegisterMember,
    ReleaseClaim,
)
from cicadawheel.control.state.changes import (
    apply_rules,
    change_configuration,
    change_warning,
    describe_change,
    has_taken_effect,
    is_superseded,
    set_initial_versions,
)
from cicadawheel.control.state.claims import ClaimTable
from cicadawheel.control.state.documents import DocumentStore
from cicadawheel.control.state.encoding import (
    StateEncoding,
    StateSnapshot,
    decode_state,
    gc_paused,
)
from cicadawheel.control.state.membership import MembersDelta, MemberTable
from cicadawheel.control.state.operations import Change, OperationHistory
from cicadawheel.control.state.quarantine import Quarantined, QuarantineTable
from cicadawheel.control.state.releases import advance_release
from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import LogIndex, NodeId, OperationId, Revision

SHARE_STATES = (ReleaseState.STAGED, ReleaseState.RISING)


class ControlState:
    """The replicated state of control.

    It is deterministic: only `apply` changes it, and the only source of time is the
    commands, so all replicas hold the same state at the same log index.

    Parameters
    ----------
    claim_window_ms : int
        Retention period of claims and their answers.
    """

    def __init__(self, claim_window_ms: int):
        self.configuration = Configuration()
        self.now_ms = 0
        self.view_revision = LogIndex(0)
        self.claims = ClaimTable(claim_window_ms)
        self.quarantine = QuarantineTable()
        self.documents = DocumentStore()
        self._members = MemberTable()
        self._operations = OperationHistory()

    @property
    def members(self) -> dict[NodeId, Member]:
        """The registered members, keyed by node."""
        return self._members.members

    @property
    def quarantined(self) -> list[Quarantined]:
        """The requests that all nodes currently refuse."""
        return list(self.quarantine.entries.values())

    def members_since(self, index: LogIndex) -> MembersDelta:
        """Return the member changes after a log index."""
        return self._members.delta_since(index)

    def apply(self, index: LogIndex, command: AnyCommand) -> Outcome:
        """Apply a committed command and return its outcome."""
        self.now_ms = max(self.now_ms, command.now_ms)
        self.claims.expire(self.now_ms)
        self.quarantine.expire(self.now_ms)
        if isinstance(command, OperatorCommand):
            return self._apply_operation(index, command)
        try:
            return HANDLERS[type(command)](self, index, command)
        except CommandRefusedError as refusal:
            return self._refused(refusal)

    def first_outcome(self, command: OperatorCommand) -> Outcome | None:
        """Return the outcome of a command's first application, or None if it is new."""
        return self._operations.find(command)

    def begin_snapshot(self) -> StateEncoding:
        """Return an incremental encoding of the current state."""
        return StateEncoding(
            StateSnapshot(
                now_ms=self.now_ms,
                view_revision=self.view_revision,
                configuration=self.configuration,
                members=self._members.snapshot(),
                operations=self._operations.snapshot(),
                claims=self.claims.snapshot(),
                quarantined=self.quarantine.snapshot(),
                documents=self.documents.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot."""
        with gc_paused():
            self._restore(decode_state(data))

    def _restore(self, snapshot: StateSnapshot) -> None:
        self.now_ms = snapshot.now_ms
        self.view_revision = snapshot.view_revision
        self.configuration = snapshot.configuration
        self._members.restore(snapshot.members)
        self._operations.restore(snapshot.operations)
        self.claims.restore(snapshot.claims)
        self.quarantine.restore(snapshot.quarantined)
        self.documents.restore(snapshot.documents)
        is_unset = self.configuration.routing is Routing.UNSET
        if is_unset and snapshot.documents.document:
            # Written by a version that did not store how calls are routed.
            self.configuration = _routed_by_host(self.configuration)

    def _apply_operation(self, index: LogIndex, command: OperatorCommand) -> Outcome:
        first = self._operations.find(command)
        if first is not None:
            return first
        revision = self.configuration.revision
        outcome = self._operations.conflict(command, revision)
        if outcome is None:
            outcome = self._answer_unchanged(command)
        if outcome is None:
            outcome = self._apply_change(index, command)
        self._operations.record(command, outcome)
        return outcome

    def _answer_unchanged(self, command: OperatorCommand) -> Outcome | None:
        """Return the outcome of a command that changes nothing, or None.

        Another copy of it has taken effect, or what it expects was replaced since.
        """
        if has_taken_effect(self.configuration, command):
            return self._done(f"{describe_change(command)}, as before")
        if is_superseded(self.configuration, command):
            text = "the state has changed since the command was sent"
            return Outcome(OutcomeState.CONFLICT, self.configuration.revision, text)
        return None

    def _apply_change(self, index: LogIndex, command: OperatorCommand) -> Outcome:
        try:
            changed = change_configuration(
                self.configuration, command, self.members.values(), Revision(index)
            )
        except CommandRefusedError as refusal:
            return self._refused(refusal)
        self._put_configuration(index, changed)
        text = describe_change(command)
        change = Change(self.configuration.revision, command.operation, text)
        self._operations.add_change(change)
        warning = change_warning(self.configuration, command)
        return self._done(f"{text}; {warning}" if warning else text)

    def _put_document(self, index: LogIndex, command: PutDocument) -> Outcome:
        result = self.documents.check(command)
        text = f"document {command.version}: {result.value}"
        revision = self.configuration.revision
        if result is DocumentOutcome.CONFLICT:
            return Outcome(OutcomeState.CONFLICT, revision, text)
        if result is DocumentOutcome.INVALID:
            return Outcome(OutcomeState.REFUSED, revision, text)
        if result is DocumentOutcome.ACCEPTED:
            self.documents.accept(command)
            members = self.members.values()
            wanted = _routed_by_host(command.configuration)
            rules = apply_rules(self.configuration, wanted, members)
            self._put_configuration(index, rules)
            change = Change(self.configuration.revision, OperationId(""), text)
            self._operations.add_change(change)
        return self._done(text)

    def _advance_release(self, index: LogIndex, command: AdvanceRelease) -> Outcome:
        self._put_configuration(index, advance_release(self.configuration, command))
        text = (
            f"release of {command.service} {command.version} is "
            f"{command.state.value}: {command.reason}"
        )
        if command.state not in SHARE_STATES:
            revision = self.configuration.revision
            self._operations.add_change(Change(revision, OperationId(""), text))
        return self._done(text)

    def _register(self, index: LogIndex, command: RegisterMember) -> Outcome:
        member = self._members.register(index, command.member, command.boot)
        self.claims.fence(member.node)
        self.view_revision = index
        initialised = set_initial_versions(self.configuration, [member])
        if initialised is not self.configuration:
            self._put_configuration(index, initialised)
        return Outcome(
            OutcomeState.DONE, self.configuration.revision, epoch=member.epoch
        )

    def _expire(self, index: LogIndex, command: ExpireMembers) -> Outcome:
        for node, epoch in command.nodes:
            if self._members.expire(index, node, epoch):
                self.claims.fence(node)
                self.view_revision = index
        return self._done()

    def _leave(self, index: LogIndex, command: LeaveMember) -> Outcome:
        left = self._members.leave(
            index, command.node, command.epoch, command.departed_boot
        )
        if not left:
            raise _fenced_error(command.node, command.epoch)
        self.view_revision = index
        return self._done()

    def _open_claim(self, index: LogIndex, command: OpenClaim) -> Outcome:
        if not self._members.is_current(command.owner, command.owner_epoch):
            refusal = _fenced_error(command.owner, command.owner_epoch)
            return msgspec.structs.replace(self._refused(refusal), fenced=True)
        known = self.claims.open(command, self.now_ms)
        if known is None:
            return self._done()
        answer_dropped = known.state is ClaimState.FINISHED and known.answer is None
        return Outcome(
            state=OutcomeState.DONE,
            revision=self.configuration.revision,
            message="the request ran, its answer isn't kept" if answer_dropped else "",
            claim=known.state,
            answer=known.answer,
        )

    def _finish_claim(self, index: LogIndex, command: FinishClaim) -> Outcome:
        self.claims.finish(command)
        return self._done()

    def _release_claim(self, index: LogIndex, command: ReleaseClaim) -> Outcome:
        self.claims.release(command)
        return self._done()

    def _quarantine(self, index: LogIndex, command: Quarantine) -> Outcome:
        entry = Quarantined(
            command.service, command.fingerprint, command.until_ms, command.reason
        )
        self.quarantine.add(entry)
        self.view_revision = index
        return self._done()

    def _put_configuration(self, index: LogIndex, changed: Configuration) -> None:
        revision = Revision(index)
        self.configuration = msgspec.structs.replace(changed, revision=revision)
        self.view_revision = index

    def _done(self, message: str = "") -> Outcome:
        return Outcome(OutcomeState.DONE, self.configuration.revision, message)

    def _refused(self, refusal: CommandRefusedError) -> Outcome:
        return Outcome(
            OutcomeState.REFUSED, self.configuration.revision, refusal.message
        )


HANDLERS: dict[type, Callable[[ControlState, LogIndex, Any], Outcome]] = {
    PutDocument: ControlState._put_document,
    AdvanceRelease: ControlState._advance_release,
    RegisterMember: ControlState._register,
    ExpireMembers: ControlState._expire,
    LeaveMember: ControlState._leave,
    OpenClaim: ControlState._open_claim,
    FinishClaim: ControlState._finish_claim,
    ReleaseClaim: ControlState._release_claim,
    Quarantine: ControlState._quarantine,
}


def make_control_state(claim_window_ms: int) -> ControlState:
    """Return an empty state that keeps claims for `claim_window_ms`."""
    return ControlState(claim_window_ms)


def _routed_by_host(configuration: Configuration) -> Configuration:
    """Return a document's rules as calls are routed by them, also without a route."""
    return msgspec.structs.replace(configuration, routing=Routing.BY_HOST)


def _fenced_error(node: NodeId, epoch: int) -> CommandRefusedError:
    return CommandRefusedError(
        f"epoch {epoch} of node {node} is not its last registration",
        step="epoch",
        peer=node,
    )
