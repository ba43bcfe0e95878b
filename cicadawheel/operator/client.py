"""Client of the HTTP interface that control offers to operators."""

import asyncio
import contextlib
import secrets
from collections.abc import Callable

import msgspec

from cicadawheel.configuration import Configuration
from cicadawheel.control.command import OperatorCommand, Outcome, StartRelease
from cicadawheel.errors import CicadawheelError, PeerError, ProtocolError
from cicadawheel.http.exchange import HttpAnswer, fetch
from cicadawheel.ids import DataCentreName, OperationId, Revision
from cicadawheel.operator.messages import (
    COMMANDS_PATH,
    CONFIGURATION_PATH,
    DUMP_PATH,
    REPLICAS_PATH,
    STATUS_NOT_LEADER,
    STATUS_PATH,
    ControlStatus,
    ReplicaChange,
)
from cicadawheel.operator.replies import (
    ControlUnreachableError,
    NotInForceError,
    answer_text,
    describe_missing,
    read_outcome,
    read_value,
)
from cicadawheel.operator.times import time_text
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S, Clock, SystemClock

OPERATION_ID_BYTES = 8
TIMEOUT_MS = 10_000.0
ATTEMPT_TIMEOUT_MS = 3_000.0
MEMBERSHIP_TIMEOUT_MS = 65_000.0
ROUND_PAUSE_MS = 200.0
ROUND_MIN_MS = 500.0
TIMEOUT_MIN_MS = 1.0
POLL_MS = 200.0
SERVER_ERROR_MIN = 500
NOT_SENT_HINT = "nothing was sent to a leader"


def new_operation_id() -> OperationId:
    """Return a new random operation id."""
    return OperationId(secrets.token_hex(OPERATION_ID_BYTES))


class _Request(msgspec.Struct, frozen=True):
    """One request to control.

    ``hint`` is added to the error if the request may have taken effect but its
    answer was lost. ``timeout_ms`` is the time that a replica has to answer, even
    beyond the client's timeout; 0 means the default limits.
    """

    method: str
    target: str
    body: bytes = b""
    hint: str = ""
    timeout_ms: float = 0.0


class OperatorClient:
    """Sends requests to the control replicas, one after another, until one answers.

    Parameters
    ----------
    addresses : tuple of Address
        The operator addresses of the replicas.
    timeout_ms : float
        The time after which the client stops trying replicas.
    clock : Clock
        The source of time.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        timeout_ms: float = TIMEOUT_MS,
        clock: Clock | None = None,
    ):
        self._addresses = list(addresses)
        self.timeout_ms = timeout_ms
        self.clock = clock or SystemClock()

    async def send(self, command: OperatorCommand) -> Outcome:
        """Send a command until it is answered, and return its outcome.

        Resent commands keep their operation id, so that they take effect only once.

        Raises
        ------
        ConflictError, CommandRefusedError
            Control did not carry out the command.
        ControlUnreachableError
            No replica answered; the message says whether the command may have
            taken effect.
        """
        hint = (
            f"it may have taken effect: send it again with {_resend_options(command)}"
        )
        body = msgspec.json.encode(command)
        answer = await self._exchange(_Request("POST", COMMANDS_PATH, body, hint))
        return read_outcome(answer)

    async def change_replicas(self, change: ReplicaChange) -> Outcome:
        """Add or remove a replica and return the outcome.

        A new replica is brought up to date first, so the answer may take a long time.
        A change that is resent takes effect only once.

        Raises
        ------
        CommandRefusedError
            Control did not carry out the change.
        ControlUnreachableError
            No replica answered.
        """
        hint = "it may have taken effect: look at control's status"
        body = msgspec.json.encode(change)
        answer = await self._exchange(
            _Request("POST", REPLICAS_PATH, body, hint, MEMBERSHIP_TIMEOUT_MS)
        )
        return read_outcome(answer)

    async def configuration(self) -> Configuration:
        """Return the current configuration of control."""
        answer = await self._exchange(_Request("GET", CONFIGURATION_PATH))
        return read_value(answer, Configuration)

    async def status(self) -> ControlStatus:
        """Return the state of the deployment.

        The status of a replica without a leader may be outdated. It is returned only
        if no other replica reports a leader.
        """
        request = _Request("GET", STATUS_PATH)
        first = read_value(await self._exchange(request), ControlStatus)
        if first.leader is not None:
            return first
        for address in list(self._addresses):
            with contextlib.suppress(_AttemptError):
                answer = await _try_replica(address, request, ATTEMPT_TIMEOUT_MS)
                status = read_value(answer, ControlStatus)
                if status.leader is not None:
                    return status
        return first

    async def wait_in_force(
        self, revision: Revision, timeout_ms: float, poll_ms: float = POLL_MS
    ) -> ControlStatus:
        """Return the status once a revision is in force at every live node.

        Raises
        ------
        NotInForceError
            Nodes are still missing after ``timeout_ms``; the message lists them.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            status = await self.status()
            if _is_in_force(revision, status):
                return status
            if self.clock.now_ms() + poll_ms > end_ms:
                raise NotInForceError(describe_missing(revision, status, timeout_ms))
            await asyncio.sleep(poll_ms / MS_PER_S)

    async def wait_drained(
        self, data_centre: DataCentreName, timeout_ms: float, poll_ms: float = POLL_MS
    ) -> bool:
        """Wait until nothing is in flight in a data centre that is out.

        Returns False if calls are still in flight after ``timeout_ms``.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            status = await self.status()
            if _is_drained(data_centre, status):
                return True
            if self.clock.now_ms() + poll_ms > end_ms:
                return False
            await asyncio.sleep(poll_ms / MS_PER_S)

    async def wait_until(
        self,
        is_reached: Callable[[Configuration], bool],
        timeout_ms: float,
        poll_ms: float = POLL_MS,
    ) -> Configuration:
        """Return the first configuration that meets a condition.

        After ``timeout_ms`` the newest configuration is returned in any case.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            configuration = await self.configuration()
            timed_out = self.clock.now_ms() + poll_ms > end_ms
            if timed_out or is_reached(configuration):
                return configuration
            await asyncio.sleep(poll_ms / MS_PER_S)

    async def _exchange(self, request: _Request) -> HttpAnswer:
        end_ms = self.clock.now_ms() + self.timeout_ms
        may_have_run = False
        while True:
            failures = []
            for address in list(self._addresses):
                try:
                    left_ms = self._remaining_ms(end_ms)
                    answer = await _try_replica(address, request, left_ms)
                    self._prefer(address)
                    return answer
                except _AttemptError as failure:
                    failures.append(failure.message)
                    may_have_run |= failure.may_have_run
            if self._remaining_ms(end_ms) < ROUND_PAUSE_MS + ROUND_MIN_MS:
                hint = request.hint if may_have_run else request.hint and NOT_SENT_HINT
                raise _unreachable(failures, hint)
            await asyncio.sleep(ROUND_PAUSE_MS / MS_PER_S)

    def _prefer(self, address: Address) -> None:
        """Move a replica to the front, so that later requests try it first."""
        self._addresses.remove(address)
        self._addresses.insert(0, address)

    def _remaining_ms(self, end_ms: float) -> float:
        return max(end_ms - self.clock.now_ms(), TIMEOUT_MIN_MS)


def _is_drained(data_centre: DataCentreName, status: ControlStatus) -> bool:
    return all(
        drain.in_flight == 0 and not drain.unknown
        for drain in status.draining
        if drain.data_centre == data_centre
    )


def _is_in_force(revision: Revision, status: ControlStatus) -> bool:
    if status.leader is None or status.revision < revision:
        return False
    return not status.missing


class _AttemptError(CicadawheelError):
    """One replica gave no usable answer."""

    def __init__(self, message: str, may_have_run: bool):
        super().__init__(message)
        self.may_have_run = may_have_run


async def fetch_dump(address: Address) -> HttpAnswer:
    """Return the dump of a process of the deployment.

    Raises
    ------
    ControlUnreachableError
        The process did not return a dump.
    """
    try:
        return await _try_replica(
            address, _Request("GET", DUMP_PATH), ATTEMPT_TIMEOUT_MS
        )
    except _AttemptError as failure:
        raise _unreachable([failure.message]) from None


async def _try_replica(
    address: Address, request: _Request, left_ms: float
) -> HttpAnswer:
    timeout_ms = request.timeout_ms or min(left_ms, ATTEMPT_TIMEOUT_MS)
    try:
        answer = await fetch(
            address, request.method, request.target, request.body, None, timeout_ms
        )
    except PeerError as error:
        refused = isinstance(error.__cause__, ConnectionRefusedError)
        raise _AttemptError(f"{address} {_failure_text(error)}", not refused) from None
    if answer.status == STATUS_NOT_LEADER:
        raise _AttemptError(f"{address} {answer_text(answer)}", False)
    if answer.status >= SERVER_ERROR_MIN:
        raise _AttemptError(f"{address} {answer_text(answer)}", True)
    return answer


def _resend_options(command: OperatorCommand) -> str:
    """Return the command-line options that repeat the same command."""
    text = f"--operation {command.operation}"
    text += f" --expected-revision {command.expected_revision}"
    if isinstance(command, StartRelease):
        text += f" --deadline {time_text(command.deadline_at_ms)}"
    return text


def _failure_text(error: PeerError) -> str:
    if isinstance(error.__cause__, ConnectionRefusedError):
        return "refuses connections"
    if isinstance(error, ProtocolError):
        return "gave an incomplete or invalid HTTP answer"
    return f"is lost: {error.message}"


def _unreachable(failures: list[str], hint: str = "") -> ControlUnreachableError:
    message = f"no answer: {'; '.join(failures)}"
    return ControlUnreachableError(f"{message}; {hint}" if hint else message)
