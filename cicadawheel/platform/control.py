"""The calls of the platform's operators, at a control replica."""

import logging
import uuid
from urllib.parse import parse_qs, urlsplit

import msgspec

from cicadawheel.configuration import DataCentreState, ReleaseHabits, ReleaseState
from cicadawheel.control.command import (
    ANY_REVISION,
    Outcome,
    OutcomeState,
    SetDataCentre,
)
from cicadawheel.control.command_service import CommandService
from cicadawheel.control.daemon import ControlDaemon
from cicadawheel.control.operators import OperatorServer
from cicadawheel.errors import (
    CommandRefusedError,
    NoQuorumError,
    NotLeaderError,
)
from cicadawheel.http.exchange import (
    Handler,
    HttpAnswer,
    HttpRequest,
    json_answer,
    text_answer,
)
from cicadawheel.ids import DataCentreName, OperationId, ServiceName, VersionName
from cicadawheel.logs import log_event
from cicadawheel.platform.bodies import Seconds, decode_body
from cicadawheel.platform.document import decode_document
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

CALL_PATH = "/rpc"
INVALID = 400
NOT_FOUND = 404
CONFLICT = 412
UNSURE = 503

STATUS_OF_OUTCOME = {
    OutcomeState.DONE: 200,
    OutcomeState.CONFLICT: CONFLICT,
    OutcomeState.REFUSED: INVALID,
}
STATE_NAMES = {
    ReleaseState.TAKEN_BACK: "rolled_back",
    ReleaseState.STOPPED: "rolled_back",
}
RUNNING = "running"
COMPLETED = "completed"


class RolloutBody(msgspec.Struct, frozen=True):
    """Moves a service's traffic to a version within a time."""

    service: str
    target_version: str
    duration_s: Seconds


class RolloutState(msgspec.Struct, frozen=True):
    """How far a rollout is."""

    state: str
    target_version: str


class PlatformOperators:
    """Answers the calls of operators, and the product's own interface besides.

    Parameters
    ----------
    daemon : ControlDaemon
        The replica that is asked.
    """

    def __init__(self, daemon: ControlDaemon):
        self.own = OperatorServer(daemon)
        self.orders = CommandService(daemon.server)
        self.habits: ReleaseHabits = daemon.settings.control.habits()
        self.measuring = daemon.settings.control.measuring()
        self.data_centres = daemon.settings.control.data_centres
        self._calls = {
            "config.put": self._put,
            "config.get": self._get,
            "rollouts.start": self._start_rollout,
            "rollouts.get": self._get_rollout,
            "evacuate.start": self._evacuate,
            "evacuate.end": self._end_evacuation,
        }

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Return the answer to one request."""
        place = urlsplit(request.target)
        if place.path != CALL_PATH:
            return await self.own.handle(request)
        query = parse_qs(place.query)
        name = query.get("call", [""])[0]
        call = self._calls.get(name)
        if call is None or request.method != "POST":
            return text_answer(f"no call {name}\n", NOT_FOUND)
        try:
            return await call(request, query.get("of", [""])[0])
        except CommandRefusedError as error:
            return text_answer(f"{error}\n", INVALID)
        except (NotLeaderError, NoQuorumError) as error:
            log_event(log, "command_failed", operation=name, reason=error)
            return text_answer(f"{error}\n", UNSURE)

    async def _put(self, request: HttpRequest, of: str) -> HttpAnswer:
        try:
            document = decode_document(request.body, self.habits)
        except ValueError as error:
            log_event(log, "document_refused", reason=error)
            return text_answer(f"{error}\n", INVALID)
        outcome = await self.orders.put_document(
            document.version,
            document.base_version,
            request.body,
            document.canonical,
            document.services,
            document.routes,
            document.configuration(self.data_centres, self.measuring),
        )
        return _answer(outcome)

    async def _get(self, request: HttpRequest, of: str) -> HttpAnswer:
        document = await self.orders.document()
        if not document:
            return text_answer("there is no configuration yet\n", UNSURE)
        return HttpAnswer(200, document)

    async def _start_rollout(self, request: HttpRequest, of: str) -> HttpAnswer:
        try:
            rollout = decode_body(request.body, RolloutBody)
        except ValueError as error:
            return text_answer(f"{error}\n", INVALID)
        outcome = await self.orders.start_release(
            ServiceName(rollout.service),
            VersionName(rollout.target_version),
            rollout.duration_s * MS_PER_S,
        )
        return _answer(outcome)

    async def _get_rollout(self, request: HttpRequest, of: str) -> HttpAnswer:
        release = await self.orders.release(ServiceName(of))
        if release is None:
            return text_answer(f"no rollout of {of}\n", NOT_FOUND)
        state = STATE_NAMES.get(release.state, RUNNING)
        if self.orders.is_settled(release):
            state = COMPLETED
        return json_answer(RolloutState(state, release.version))

    async def _evacuate(self, request: HttpRequest, of: str) -> HttpAnswer:
        return await self._set_data_centre(of, DataCentreState.OUT)

    async def _end_evacuation(self, request: HttpRequest, of: str) -> HttpAnswer:
        return await self._set_data_centre(of, DataCentreState.IN)

    async def _set_data_centre(self, of: str, state: DataCentreState) -> HttpAnswer:
        if of not in self.data_centres:
            return text_answer(f"no zone {of}\n", NOT_FOUND)
        command = SetDataCentre(
            now_ms=0,
            operation=OperationId(uuid.uuid4().hex),
            expected_revision=ANY_REVISION,
            data_centre=DataCentreName(of),
            state=state,
            force=True,
        )
        return _answer(await self.orders.propose(command))


def _answer(outcome: Outcome) -> HttpAnswer:
    status = STATUS_OF_OUTCOME[outcome.state]
    return text_answer(f"{outcome.message}\n", status)


def make_handler(daemon: ControlDaemon) -> Handler:
    """Return what answers at a replica's address on the platform."""
    return PlatformOperators(daemon).handle
