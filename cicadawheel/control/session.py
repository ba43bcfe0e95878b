"""A node's session at a control replica: its lease, views and claims."""

import asyncio
import logging
from typing import Protocol

import msgspec

from cicadawheel.configuration import Configuration, Member
from cicadawheel.configuration_delta import ConfigurationDelta
from cicadawheel.control.command import (
    AnyCommand,
    FinishClaim,
    LeaveMember,
    OpenClaim,
    Outcome,
    OutcomeState,
    Quarantine,
    RegisterMember,
    ReleaseClaim,
)
from cicadawheel.control.log import CommandLog
from cicadawheel.control.messages import (
    ClaimAnswer,
    ClaimFinish,
    ClaimOpen,
    ClaimRelease,
    EvidenceReport,
    Heartbeat,
    LeaseEntry,
    LeaseReport,
    Leaving,
    NodeToControl,
    RegisterAgain,
    Registered,
    Renewal,
    Replicas,
    SuspectReport,
    View,
    ViewDelta,
)
from cicadawheel.control.sender import confirm_sender_waits
from cicadawheel.control.state import ControlState
from cicadawheel.control.state.membership import MembersDelta
from cicadawheel.errors import CicadawheelError, ConnectionLostError, PeerError
from cicadawheel.ids import Fingerprint, LogIndex
from cicadawheel.logs import log_event
from cicadawheel.timer import Clock
from cicadawheel.wire.stream import Stream

log = logging.getLogger(__name__)

QUARANTINE_MS = 600_000
SILENCE_LIMIT_MS = 2_000.0
"""Nodes renew their lease every second."""


class SessionOwner(Protocol):
    """The replica that a node is connected to."""

    log: CommandLog
    state: ControlState
    clock: Clock

    def session_opened(self, session: "NodeSession") -> None:
        """Add a node's session."""

    def session_closed(self, session: "NodeSession") -> None:
        """Remove a node's session."""

    def is_current(self) -> bool:
        """Return whether this replica hears from a leader and has applied its log."""

    def report_to_leader(self, report: LeaseReport | EvidenceReport) -> None:
        """Send a report to the leader, which may be this replica."""

    def configuration_delta(self, sent: Configuration) -> ConfigurationDelta | None:
        """Return the changes since a configuration, or None if there are none."""

    def quarantined(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the requests that all nodes refuse."""


class NodeSession:
    """The session of a node on one stream.

    Parameters
    ----------
    server : SessionOwner
        The replica that the node is connected to.
    """

    def __init__(self, server: SessionOwner):
        self.server = server
        self.lease: LeaseEntry | None = None
        self.heard_at_ms = 0.0
        self._stream: Stream | None = None
        self._sent_index = LogIndex(0)
        self._sent_configuration = Configuration()
        self._sent_quarantined: tuple[Fingerprint, ...] = ()
        self._known_index = LogIndex(0)
        self._registering = False
        self._sent_hosts: tuple[str, ...] = ()
        self._tasks: set[asyncio.Task] = set()

    @property
    def has_view(self) -> bool:
        """Whether the node has a view that deltas can be based on."""
        return self._sent_index > 0

    def stream_opened(self, stream: Stream) -> None:
        """Register the session, and send a first heartbeat."""
        self._stream = stream
        self.heard_at_ms = self.server.clock.now_ms()
        self.server.session_opened(self)
        stream.send(Heartbeat(self.server.is_current()))

    def message_received(self, stream: Stream, message: NodeToControl) -> None:
        """Handle a message from the node."""
        self.heard_at_ms = self.server.clock.now_ms()
        if isinstance(message, Renewal):
            self._handle_renewal(message)
        elif isinstance(message, EvidenceReport):
            self.server.report_to_leader(message)
        else:
            self._spawn(self._handle(message))

    def stream_closed(self, stream: Stream, error: PeerError | None) -> None:
        """Unregister the session."""
        self.server.session_closed(self)
        log_event(log, "node_disconnected", peer=stream.peer, reason=error)

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()

    def abort_if_silent(self, now_ms: float) -> None:
        """Abort the stream if it brings nothing, so that the node opens another one.

        The node may have left it, or hear this replica and not be heard itself.
        """
        silent_ms = now_ms - self.heard_at_ms
        if silent_ms > SILENCE_LIMIT_MS:
            peer = self._stream.peer
            self._stream.abort(ConnectionLostError("node is silent", peer=peer))

    def send_heartbeat(self, current: bool) -> None:
        """Send a heartbeat, and the replicas' hosts if they have changed."""
        if not self._stream.is_open():
            return
        self._stream.send(Heartbeat(current))
        hosts = self.server.log.hosts()
        if hosts != self._sent_hosts:
            self._sent_hosts = hosts
            self._stream.send(Replicas(hosts))

    def send_view(self) -> None:
        """Send the changes since the last view, or a full view."""
        state = self.server.state
        index = state.view_revision
        if index <= self._sent_index or not self._stream.is_open():
            return
        delta = state.members_since(self._sent_index)
        quarantined = self.server.quarantined()
        if self._sent_index == 0 or delta.whole:
            view = View(
                index, state.configuration, tuple(state.members.values()), quarantined
            )
            self._stream.send(view)
        else:
            self._stream.send(self._make_delta(index, delta, quarantined))
        self._sent_index = index
        self._sent_configuration = state.configuration
        self._sent_quarantined = quarantined

    def _make_delta(
        self,
        index: LogIndex,
        members: MembersDelta,
        quarantined: tuple[Fingerprint, ...],
    ) -> ViewDelta:
        unchanged = quarantined == self._sent_quarantined
        return ViewDelta(
            self._sent_index,
            index,
            self.server.configuration_delta(self._sent_configuration),
            members.changed,
            members.removed,
            None if unchanged else quarantined,
        )

    def _handle_renewal(self, renewal: Renewal) -> None:
        self._known_index = renewal.index
        self.lease = LeaseEntry(
            renewal.node, renewal.epoch, renewal.revision, renewal.load
        )
        if renewal.member is not None and not self._registering:
            self._registering = True
            self._spawn(self._register(renewal))
        elif self._sent_index == 0:
            self._spawn(self._send_first_view())
        elif renewal.epoch and not self._registering:
            self._check_registration(renewal)

    def _check_registration(self, renewal: Renewal) -> None:
        known = self.server.state.members.get(renewal.node)
        if known is None or known.epoch != renewal.epoch:
            self._stream.send(RegisterAgain())

    async def _send_first_view(self) -> None:
        try:
            await self.server.log.confirm_read()
        except CicadawheelError as error:
            log_event(log, "view_delayed", peer=self._stream.peer, reason=error)
            return
        self._skip_known_view()
        self.send_view()

    def _skip_known_view(self) -> None:
        """Record the newest view as sent if the node already has it from elsewhere."""
        state = self.server.state
        if self._sent_index == 0 and self._known_index == state.view_revision:
            self._sent_index = state.view_revision
            self._sent_configuration = state.configuration
            self._sent_quarantined = self.server.quarantined()

    async def _confirm_connected(self) -> None:
        """Confirm that state is current and that the node is still connected.

        A node that has left may have registered elsewhere since it sent its message.
        """
        await confirm_sender_waits(self.server.log, lambda: not self._stream.is_open())

    async def _register(self, renewal: Renewal) -> None:
        try:
            await self._confirm_connected()
            known = self.server.state.members.get(renewal.node)
            if known is not None and _is_registered(known, renewal):
                self._stream.send(Registered(known.epoch, known.departed_boot))
                await self._send_first_view()
                return
            command = RegisterMember(
                now_ms=self.server.clock.unix_ms(),
                member=renewal.member,
                boot=renewal.boot,
            )
            outcome = await self.server.log.propose(command)
            if outcome.state is not OutcomeState.DONE:
                log_event(
                    log,
                    "registration_refused",
                    node=renewal.node,
                    reason=outcome.message,
                )
                return
            if self._stream.is_open():
                departed_boot = renewal.member.departed_boot
                self._stream.send(Registered(outcome.epoch, departed_boot))
            await self._send_first_view()
        finally:
            self._registering = False

    async def _handle(self, message: NodeToControl) -> None:
        if isinstance(message, ClaimOpen):
            # A node that has left may have settled this claim elsewhere. The end of
            # its stream is read after the message.
            await asyncio.sleep(0)
            if self._stream.is_open():
                await self._answer_claim(message)
        elif isinstance(message, (ClaimFinish, ClaimRelease)):
            await self._answer_claim(message)
        elif isinstance(message, Leaving):
            await self.server.log.propose(
                LeaveMember(
                    now_ms=self.server.clock.unix_ms(),
                    node=message.node,
                    epoch=message.epoch,
                    departed_boot=message.departed_boot,
                )
            )
        elif isinstance(message, SuspectReport):
            await self._propose_quarantine(message)

    async def _answer_claim(
        self, message: ClaimOpen | ClaimFinish | ClaimRelease
    ) -> None:
        command = make_claim_command(message, self.server.clock.unix_ms())
        outcome: Outcome | None = None
        error = ""
        try:
            outcome = await self.server.log.propose(command)
        except CicadawheelError as failure:
            error = str(failure)
        if self._stream.is_open():
            self._stream.send(ClaimAnswer(message.number, outcome, error))

    async def _propose_quarantine(self, report: SuspectReport) -> None:
        now_ms = self.server.clock.unix_ms()
        await self.server.log.propose(
            Quarantine(
                now_ms=now_ms,
                service=report.service,
                fingerprint=report.fingerprint,
                until_ms=now_ms + QUARANTINE_MS,
                reason=report.reason,
            )
        )

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(self._log_failure(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _log_failure(self, coroutine) -> None:
        try:
            await coroutine
        except CicadawheelError as error:
            self.server.request_failures.record(error)


def make_claim_command(
    message: ClaimOpen | ClaimFinish | ClaimRelease, now_ms: int
) -> AnyCommand:
    """Return the command for a node's claim message."""
    owned = {
        "now_ms": now_ms,
        "service": message.service,
        "key": message.key,
        "owner": message.node,
        "owner_epoch": message.epoch,
        "attempt": message.attempt,
    }
    if isinstance(message, ClaimOpen):
        return OpenClaim(**owned, body_digest=message.body_digest)
    if isinstance(message, ClaimRelease):
        return ReleaseClaim(**owned)
    return FinishClaim(
        **owned,
        status=message.status,
        headers=message.headers,
        body=message.body,
        may_have_run=message.may_have_run,
    )


def _is_registered(known: Member, renewal: Renewal) -> bool:
    wanted = msgspec.structs.replace(renewal.member, epoch=known.epoch)
    return renewal.epoch == known.epoch and wanted == known
