"""The platform's operator calls, as served by a control replica."""

import logging
from urllib.parse import parse_qs, urlsplit

import msgspec

from cicadawheel.configuration import DataCentreState, ReleaseHabits, ReleaseState
from cicadawheel.control.command import Outcome, OutcomeState
from cicadawheel.control.command_service import CommandService
from cicadawheel.control.daemon import ControlDaemon
from cicadawheel.control.operators import OperatorServer
from cicadawheel.errors import (
    CommandRefusedError,
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
from cicadawheel.ids import DataCentreName, ServiceName, VersionName
from cicadawheel.logs import log_event
from cicadawheel.platform.bodies import Seconds, decode_body
from cicadawheel.platform.document import decode_document
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

RPC_PATH = "/rpc"
BAD_REQUEST = 400
NOT_FOUND = 404
PRECONDITION_FAILED = 412
SERVICE_UNAVAILABLE = 503

HTTP_STATUS_BY_OUTCOME = {
    OutcomeState.DONE: 200,
    OutcomeState.CONFLICT: PRECONDITION_FAILED,
    OutcomeState.REFUSED: BAD_REQUEST,
}
ROLLOUT_STATES = {
    ReleaseState.TAKEN_BACK: "rolled_back",
    ReleaseState.STOPPED: "rolled_back",
}
RUNNING = "running"
COMPLETED = "completed"


class RolloutBody(msgspec.Struct, frozen=True):
    """The body of ``rollouts.start``: a target version and the time to reach it."""

    service: str
    target_version: str
    duration_s: Seconds


class RolloutState(msgspec.Struct, frozen=True):
    """The answer to ``rollouts.get``."""

    state: str
    target_version: str


class PlatformControlApi:
    """Serves the platform's operator calls.

    Requests to other paths go to cicadawheel's own operator API.

    Parameters
    ----------
    daemon : ControlDaemon
        The control replica that serves the calls.
    """

    def __init__(self, daemon: ControlDaemon):
        self.native_api = OperatorServer(daemon)
        self.orders = CommandService(daemon.server)
        self.habits: ReleaseHabits = daemon.settings.control.habits()
        self.measuring = daemon.settings.control.measuring()
        self.data_centres = daemon.settings.control.data_centres
        self._handlers = {
            "config.put": self._put_config,
            "config.get": self._get_config,
            "rollouts.start": self._start_rollout,
            "rollouts.get": self._get_rollout,
            "evacuate.start": self._start_evacuation,
            "evacuate.end": self._end_evacuation,
        }

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer one request."""
        url = urlsplit(request.target)
        if url.path != RPC_PATH:
            return await self.native_api.handle(request)
        query = parse_qs(url.query)
        call_name = query.get("call", [""])[0]
        handler = self._handlers.get(call_name)
        if handler is None or request.method != "POST":
            return text_answer(f"no call {call_name}\n", NOT_FOUND)
        try:
            return await handler(request, query.get("of", [""])[0])
        except CommandRefusedError as error:
            return text_answer(f"{error}\n", BAD_REQUEST)
        except (NotLeaderError, NoQuorumError, StaleCommandError) as error:
            log_event(log, "command_failed", operation=call_name, reason=error)
            return text_answer(f"{error}\n", SERVICE_UNAVAILABLE)

    async def _put_config(self, request: HttpRequest, target: str) -> HttpAnswer:
        try:
            document = decode_document(request.body, self.habits)
        except ValueError as error:
            log_event(log, "document_refused", reason=error)
            return text_answer(f"{error}\n", BAD_REQUEST)
        outcome = await self.orders.put_document(
            document.version,
            document.base_version,
            request.body,
            document.canonical,
            document.services,
            document.routes,
            document.configuration(self.data_centres, self.measuring),
        )
        return _outcome_answer(outcome)

    async def _get_config(self, request: HttpRequest, target: str) -> HttpAnswer:
        document = await self.orders.document()
        if not document:
            return text_answer("there is no configuration yet\n", SERVICE_UNAVAILABLE)
        return HttpAnswer(200, document)

    async def _start_rollout(self, request: HttpRequest, target: str) -> HttpAnswer:
        try:
            rollout = decode_body(request.body, RolloutBody)
        except ValueError as error:
            return text_answer(f"{error}\n", BAD_REQUEST)
        outcome = await self.orders.start_release(
            ServiceName(rollout.service),
            VersionName(rollout.target_version),
            rollout.duration_s * MS_PER_S,
            request.is_abandoned,
        )
        return _outcome_answer(outcome)

    async def _get_rollout(self, request: HttpRequest, target: str) -> HttpAnswer:
        release = await self.orders.release(ServiceName(target))
        if release is None:
            return text_answer(f"no rollout of {target}\n", NOT_FOUND)
        state = ROLLOUT_STATES.get(release.state, RUNNING)
        if self.orders.is_settled(release):
            state = COMPLETED
        return json_answer(RolloutState(state, release.version))

    async def _start_evacuation(self, request: HttpRequest, target: str) -> HttpAnswer:
        return await self._set_data_centre(request, target, DataCentreState.OUT)

    async def _end_evacuation(self, request: HttpRequest, target: str) -> HttpAnswer:
        return await self._set_data_centre(request, target, DataCentreState.IN)

    async def _set_data_centre(
        self, request: HttpRequest, target: str, state: DataCentreState
    ) -> HttpAnswer:
        if target not in self.data_centres:
            return text_answer(f"no zone {target}\n", NOT_FOUND)
        outcome = await self.orders.set_data_centre(
            DataCentreName(target), state, request.is_abandoned
        )
        return _outcome_answer(outcome)


def _outcome_answer(outcome: Outcome) -> HttpAnswer:
    status = HTTP_STATUS_BY_OUTCOME[outcome.state]
    return text_answer(f"{outcome.message}\n", status)


def make_handler(daemon: ControlDaemon) -> Handler:
    """Return the HTTP handler of a control replica on the platform."""
    return PlatformControlApi(daemon).handle
