"""The operators' HTTP interface of a control replica."""

import logging
from typing import Protocol

import msgspec
import prometheus_client

from cicadawheel.configuration import DataCentreState
from cicadawheel.control.command import (
    ANY_REVISION,
    ApplyConfiguration,
    OperatorCommand,
    Outcome,
    OutcomeState,
    SetDataCentre,
    StartRelease,
    StopRelease,
)
from cicadawheel.control.metrics import ControlMetrics
from cicadawheel.control.replicas import change_replicas
from cicadawheel.control.replication import ReplicatedLog
from cicadawheel.control.sender import ORDER_END_WAIT_MS, confirm_sender_waits
from cicadawheel.control.server import ControlServer
from cicadawheel.control.state import ControlState
from cicadawheel.errors import (
    CicadawheelError,
    NoQuorumError,
    NotLeaderError,
    StaleCommandError,
)
from cicadawheel.http.exchange import (
    Handler,
    HttpAnswer,
    HttpRequest,
    json_answer,
    text_answer,
)
from cicadawheel.logs import log_event
from cicadawheel.operator.messages import (
    COMMANDS_PATH,
    CONFIGURATION_PATH,
    DUMP_PATH,
    METRICS_PATH,
    REPLICAS_PATH,
    STATUS_CONFLICT,
    STATUS_DONE,
    STATUS_NO_QUORUM,
    STATUS_NOT_LEADER,
    STATUS_PATH,
    STATUS_REFUSED,
    ControlStatus,
    ReplicaChange,
)

log = logging.getLogger(__name__)

LOADS_TIMEOUT_MS = 1_500.0

STATUS_OF_OUTCOME = {
    OutcomeState.DONE: STATUS_DONE,
    OutcomeState.CONFLICT: STATUS_CONFLICT,
    OutcomeState.REFUSED: STATUS_REFUSED,
}

_decoder = msgspec.json.Decoder(
    ApplyConfiguration | SetDataCentre | StartRelease | StopRelease
)


class OperatedReplica(Protocol):
    """The replica behind the operators' HTTP interface."""

    server: ControlServer
    state: ControlState
    durable_log: ReplicatedLog
    metrics: ControlMetrics

    def status(self) -> ControlStatus:
        """Return the status of control and of the nodes."""

    def dump(self) -> msgspec.Struct:
        """Return a dump of the replica's state."""

    def update_metrics(self) -> None:
        """Update the gauges."""


class OperatorServer:
    """Handles the HTTP requests of operators.

    Parameters
    ----------
    daemon : OperatedReplica
        The replica that serves the requests.
    """

    def __init__(self, daemon: OperatedReplica):
        self.daemon = daemon

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Handle a request."""
        endpoint = (request.method, request.path)
        try:
            if endpoint == ("POST", COMMANDS_PATH):
                return await self._propose_command(request)
            if endpoint == ("POST", REPLICAS_PATH):
                return await self._change_replicas(request)
            if endpoint == ("GET", CONFIGURATION_PATH):
                await self.daemon.server.log.confirm_read()
                return json_answer(self.daemon.server.state.configuration)
            if endpoint == ("GET", STATUS_PATH):
                return json_answer(self.daemon.status())
            if endpoint == ("GET", DUMP_PATH):
                return json_answer(self.daemon.dump())
            if endpoint == ("GET", METRICS_PATH):
                return self._metrics()
        except NotLeaderError as error:
            return text_answer(f"{error}\n", STATUS_NOT_LEADER)
        except (NoQuorumError, StaleCommandError) as error:
            return text_answer(f"{error}\n", STATUS_NO_QUORUM)
        return text_answer(f"nothing is at {request.method} {request.path}\n", 404)

    def _metrics(self) -> HttpAnswer:
        self.daemon.update_metrics()
        body = prometheus_client.generate_latest(self.daemon.metrics.registry)
        return HttpAnswer(STATUS_DONE, body, prometheus_client.CONTENT_TYPE_LATEST)

    async def _change_replicas(self, request: HttpRequest) -> HttpAnswer:
        change = msgspec.json.decode(request.body, type=ReplicaChange)
        await confirm_sender_waits(
            self.daemon.server.log, request.is_abandoned, ORDER_END_WAIT_MS
        )
        revision = self.daemon.state.configuration.revision
        outcome = await change_replicas(self.daemon.durable_log, change, revision)
        log_event(
            log,
            "replicas_changed",
            action=change.action.value,
            replica=change.replica,
            state=outcome.state.value,
            reason=outcome.message,
        )
        return json_answer(outcome, STATUS_OF_OUTCOME[outcome.state])

    async def _check_capacity(self, command: OperatorCommand) -> Outcome | None:
        """Return a refusal if the other data centres lack the capacity for a move.

        A command that was applied before is passed on and gets its first outcome. A
        command that would leave a service without an upstream is passed on too, and
        is refused when it is applied.

        Raises
        ------
        NotLeaderError
            Another replica leads; only the leader has the nodes' loads.
        """
        if not isinstance(command, SetDataCentre) or command.force:
            return None
        if command.state is DataCentreState.IN:
            return None
        server = self.daemon.server
        await server.log.confirm_read()
        if server.state.first_outcome(command) is not None:
            return None
        server.check_leads("move")
        await server.wait_for_loads(LOADS_TIMEOUT_MS)
        check = server.check_move(command.data_centre)
        if check.carried or check.lost:
            return None
        revision = server.state.configuration.revision
        reason = check.refusal()
        log_event(log, "move_refused", operation=command.operation, reason=reason)
        return Outcome(OutcomeState.REFUSED, revision, reason)

    async def _propose_command(self, request: HttpRequest) -> HttpAnswer:
        command = _decoder.decode(request.body)
        now_ms = self.daemon.server.clock.unix_ms()
        command = msgspec.structs.replace(command, now_ms=now_ms)
        try:
            # A late copy that expects a revision conflicts with what came after it.
            any_revision = command.expected_revision == ANY_REVISION
            end_wait_ms = ORDER_END_WAIT_MS if any_revision else 0.0
            await confirm_sender_waits(
                self.daemon.server.log, request.is_abandoned, end_wait_ms
            )
            outcome = await self._check_capacity(command)
            if outcome is None:
                outcome = await self.daemon.server.log.propose(command)
        except CicadawheelError as error:
            log_event(log, "command_failed", operation=command.operation, reason=error)
            raise
        self.daemon.metrics.count_command(outcome.state)
        log_event(
            log,
            "command_ended",
            operation=command.operation,
            state=outcome.state.value,
            revision=outcome.revision,
            reason=outcome.message,
        )
        return json_answer(outcome, STATUS_OF_OUTCOME[outcome.state])


def make_operator_handler(daemon: OperatedReplica) -> Handler:
    """Return the HTTP handler for a replica's operator address."""
    return OperatorServer(daemon).handle
