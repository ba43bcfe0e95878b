"""Commands for clients that send no expected revision and retry on time-outs."""

import hashlib
import logging
import uuid
from collections.abc import Callable

from msgspec.structs import replace

from cicadawheel.configuration import (
    Configuration,
    DataCentreState,
    HostRoute,
    ReleaseRule,
    ReleaseState,
    ServiceRule,
)
from cicadawheel.configuration_check import check_rules
from cicadawheel.control.command import (
    ANY_REVISION,
    AnyCommand,
    OperatorCommand,
    Outcome,
    OutcomeState,
    PutDocument,
    SetDataCentre,
    StartRelease,
)
from cicadawheel.control.sender import ORDER_END_WAIT_MS, confirm_sender_waits
from cicadawheel.control.server import ControlServer
from cicadawheel.errors import NoQuorumError, StaleCommandError
from cicadawheel.ids import (
    DataCentreName,
    OperationId,
    Revision,
    ServiceName,
    VersionName,
)
from cicadawheel.logs import log_event

log = logging.getLogger(__name__)

DIGEST_BYTES = 16
POLL_ALLOWANCE_MS = 1_000
"""Allowance for release steps and operators' polls, each about every 500 ms."""

RETRY_WINDOW_MS = 10_000
"""A release that is requested again within this time counts as a retry."""


class CommandService:
    """Proposes commands and reads state at one replica.

    Parameters
    ----------
    server : ControlServer
        The replica.
    """

    def __init__(self, server: ControlServer):
        self.server = server

    async def propose(self, command: AnyCommand) -> Outcome:
        """Commit a command with the current time, and return its outcome.

        Raises
        ------
        NotLeaderError
            No leader was found; the command takes no effect.
        NoQuorumError
            Not enough replicas have joined yet, or no majority confirmed in time;
            in the latter case, the command may still take effect.
        """
        if not self.server.log.has_all_voters():
            raise NoQuorumError("not all replicas have joined yet", step="assemble")
        now_ms = self.server.clock.unix_ms()
        outcome = await self.server.log.propose(replace(command, now_ms=now_ms))
        log_event(
            log,
            "order_ended",
            kind=type(command).__name__,
            state=outcome.state.value,
            revision=outcome.revision,
            reason=outcome.message,
        )
        return outcome

    async def put_document(
        self,
        version: int,
        base_version: int,
        document: bytes,
        canonical: bytes,
        services: tuple[ServiceRule, ...],
        routes: tuple[HostRoute, ...],
        configuration: Configuration,
    ) -> Outcome:
        """Replace the operators' document.

        Parameters
        ----------
        version, base_version : int
            The document's version, and that of the document that it replaces.
        document, canonical : bytes
            The document as sent, and a canonical encoding of its content.
        services, routes : tuple
            The rules in the document, possibly with duplicate names.
        configuration : Configuration
            The rules by name.

        Raises
        ------
        CommandRefusedError
            The rules contradict each other.
        NotLeaderError, NoQuorumError
            As `propose`.
        """
        check_rules(services, routes)
        digest = hashlib.blake2b(canonical, digest_size=DIGEST_BYTES).digest()
        command = PutDocument(
            now_ms=0,
            version=version,
            base_version=base_version,
            document=document,
            digest=digest,
            configuration=configuration,
        )
        return await self.propose(command)

    async def document(self) -> bytes:
        """Return the newest document as it was sent, empty for none.

        Raises
        ------
        NotLeaderError, NoQuorumError
            A linearizable read could not be confirmed.
        """
        await self.server.log.confirm_read()
        return self.server.state.documents.document

    async def set_data_centre(
        self,
        data_centre: DataCentreName,
        state: DataCentreState,
        is_abandoned: Callable[[], bool],
    ) -> Outcome:
        """Take a data centre out, or bring it back in.

        ``is_abandoned`` returns whether the sender has left.

        Raises
        ------
        StaleCommandError
            The sender has left, or the data centre has changed state since the command
            arrived.
        NotLeaderError, NoQuorumError
            As `propose`.
        """
        rule = self.server.state.configuration.data_centres.get(data_centre)
        known_revision = Revision(0) if rule is None else rule.state_revision
        await confirm_sender_waits(self.server.log, is_abandoned, ORDER_END_WAIT_MS)
        command = SetDataCentre(
            now_ms=0,
            operation=OperationId(uuid.uuid4().hex),
            expected_revision=ANY_REVISION,
            data_centre=data_centre,
            state=state,
            force=True,
            expected_state_revision=known_revision,
        )
        return await self._propose_once(command)

    async def _propose_once(self, command: OperatorCommand) -> Outcome:
        """Commit a command unless a later one has replaced what it expects."""
        outcome = await self.propose(command)
        if outcome.state is OutcomeState.CONFLICT:
            raise StaleCommandError(outcome.message, step="propose")
        return outcome

    def is_settled(self, release: ReleaseRule) -> bool:
        """Return whether the upstreams of the old version can be stopped."""
        if release.state is not ReleaseState.DONE:
            return False
        settle_ms = self.server.settings.release_settle_ms
        return self.server.clock.unix_ms() - release.done_at_ms >= settle_ms

    async def release(self, service: ServiceName) -> ReleaseRule | None:
        """Return the newest release of a service, or None.

        Raises
        ------
        NotLeaderError, NoQuorumError
            A linearizable read could not be confirmed.
        """
        await self.server.log.confirm_read()
        return self.server.state.configuration.release_of(service)

    def _rollout_time_ms(self, duration_ms: float) -> int:
        """Return the time within which all calls must go to a new version.

        The settle time is subtracted from the requested duration, because it has to
        pass before the old version's upstreams can be stopped. At least half of the
        duration is kept.
        """
        settle_ms = self.server.settings.release_settle_ms + POLL_ALLOWANCE_MS
        return int(max(duration_ms / 2, duration_ms - settle_ms))

    async def start_release(
        self,
        service: ServiceName,
        version: VersionName,
        duration_ms: float,
        is_abandoned: Callable[[], bool],
    ) -> Outcome:
        """Start a release, unless the same release was started recently.

        ``is_abandoned`` returns whether the sender has left.

        Raises
        ------
        StaleCommandError
            The sender has left, or another release was started meanwhile.
        NotLeaderError, NoQuorumError
            As `propose`.
        """
        now_ms = self.server.clock.unix_ms()
        await confirm_sender_waits(self.server.log, is_abandoned, ORDER_END_WAIT_MS)
        known = self.server.state.configuration.release_of(service)
        is_same = known is not None and known.version == version
        if is_same and now_ms - known.started_at_ms < max(RETRY_WINDOW_MS, duration_ms):
            revision = self.server.state.configuration.revision
            return Outcome(
                OutcomeState.DONE, revision, "the same release was started before"
            )
        command = StartRelease(
            now_ms=0,
            operation=OperationId(uuid.uuid4().hex),
            expected_revision=ANY_REVISION,
            service=service,
            version=version,
            deadline_at_ms=now_ms + self._rollout_time_ms(duration_ms),
            expected_start_ms=0 if known is None else known.started_at_ms,
        )
        return await self._propose_once(command)
