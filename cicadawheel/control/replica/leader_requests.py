"""Executes callers' requests on the leader; other replicas forward them to it."""

import asyncio
import logging

import msgspec

from cicadawheel.control.raft.entry import CommandData
from cicadawheel.control.replica.message import (
    AddReplica,
    Answer,
    AnswerState,
    ConfirmRead,
    ForwardedRequest,
    Join,
    RemoveReplica,
    Request,
)
from cicadawheel.control.replica.replica_changes import ReplicaChanger
from cicadawheel.control.replica.requests import (
    PendingRequests,
    check_answer,
    make_refusal,
)
from cicadawheel.control.replica.runner import ReplicaRunner
from cicadawheel.errors import CicadawheelError, NoQuorumError, NotLeaderError
from cicadawheel.ids import LogIndex, ReplicaId
from cicadawheel.logs import log_event
from cicadawheel.timer import MS_PER_S, TimerService

log = logging.getLogger(__name__)

# A replica that waits to be added repeats its request. The membership change itself
# takes a few round trips.
JOIN_TIMEOUT_MS = 5_000.0

_encoder = msgspec.msgpack.Encoder()


class LeaderRequests:
    """Executes requests here if this replica leads, else forwards them to the leader.

    Parameters
    ----------
    runner : ReplicaRunner
        The runner of this replica.
    timers : TimerService
        The time source.
    grace_ms : float
        How long to wait for replies of a former leader, and before an unanswered read
        is sent again.
    """

    def __init__(self, runner: ReplicaRunner, timers: TimerService, grace_ms: float):
        self._runner = runner
        self._timers = timers
        self._grace_ms = grace_ms
        self._leader_changed_at_ms = timers.clock.now_ms()
        self._forwarded = PendingRequests()
        self._joining: set[ReplicaId] = set()

    @property
    def leader(self) -> ReplicaId | None:
        """The leader as known to this replica, or None."""
        engine = self._runner.engine
        return engine.raft.leader if engine is not None else None

    async def request(self, request: Request, timeout_ms: float) -> Answer:
        """Return the leader's reply, retrying while no leader has accepted the request.

        If there has been no leader for ``timeout_ms`` already, it fails at once.

        Raises
        ------
        NotLeaderError
            No leader was found in time; the request has no effect.
        NoQuorumError
            No majority confirmed in time; the request may still take effect.
        CommandRefusedError
            The leader refused the request.
        """
        if self._has_no_leader(timeout_ms):
            raise self._make_timeout(sent=False)
        sent = False
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                while True:
                    await self._runner.changes.wait_for(lambda: self.leader is not None)
                    sent = True
                    try:
                        return await self._request_once(request, self.leader)
                    except NotLeaderError:
                        sent = False
                    await self._runner.changes.next()
        except TimeoutError:
            raise self._make_timeout(sent) from None

    def receive_forwarded(self, peer: ReplicaId, forwarded: ForwardedRequest) -> None:
        """Execute a request that another replica forwarded, and reply."""
        self._runner.group.create_task(self._answer(peer, forwarded))

    def receive_join(self, join: Join) -> None:
        """Add a replica that asks to join, unless that is in progress already."""
        if join.replica not in self._joining:
            self._joining.add(join.replica)
            self._runner.group.create_task(self._join(join))

    def receive_answer(self, answer: Answer) -> None:
        """Process the leader's reply to a forwarded request."""
        self._forwarded.answer(answer)

    def leader_changed(self) -> None:
        """Fail requests that the former leader doesn't answer within the grace time."""
        self._leader_changed_at_ms = self._timers.clock.now_ms()
        pending = self._forwarded.pending()
        if pending:
            reason = "the leader has changed; the command may still take effect"
            self._timers.once(
                self._grace_ms, lambda _: self._forwarded.fail(pending, reason)
            )

    def _has_no_leader(self, time_ms: float) -> bool:
        silent_ms = self._timers.clock.now_ms() - self._leader_changed_at_ms
        return self.leader is None and silent_ms >= time_ms

    def _make_timeout(self, sent: bool) -> CicadawheelError:
        leader = self.leader or ""
        if sent:
            return NoQuorumError(
                "no majority confirmed in time", step="commit", peer=leader
            )
        return NotLeaderError("no leader found in time", step="commit", peer=leader)

    async def _request_once(self, request: Request, leader: ReplicaId) -> Answer:
        if leader == self._runner.replica:
            return await self._execute(request)
        answer = await self._forward(request, leader)
        check_answer(answer, leader)
        if isinstance(request, ConfirmRead):
            await self._wait_applied(answer.index)
        return answer

    async def _wait_applied(self, index: LogIndex) -> None:
        runner = self._runner
        await runner.changes.wait_for(
            lambda: (
                runner.engine is not None and runner.engine.raft.applied_index >= index
            )
        )

    async def _forward(self, request: Request, leader: ReplicaId) -> Answer:
        number, answer = self._forwarded.open()
        try:
            while not answer.done():
                if not self._runner.send(leader, ForwardedRequest(number, request)):
                    raise NotLeaderError(
                        "leader is unreachable", step="ask", peer=leader
                    )
                if not isinstance(request, ConfirmRead):
                    return await answer
                # The connection may have been lost with the request or its reply. A
                # read has no effect, so it can be sent again.
                await asyncio.wait({answer}, timeout=self._grace_ms / MS_PER_S)
            return answer.result()
        finally:
            self._forwarded.close(number)

    async def _join(self, join: Join) -> None:
        request = AddReplica(join.replica, join.host, join.port)
        try:
            await self.request(request, JOIN_TIMEOUT_MS)
        except CicadawheelError as error:
            log_event(log, "join_delayed", replica=join.replica, reason=error)
        finally:
            self._joining.discard(join.replica)

    async def _answer(self, peer: ReplicaId, forwarded: ForwardedRequest) -> None:
        try:
            answer = await self._execute(forwarded.request)
        except CicadawheelError as error:
            answer = make_refusal(forwarded.number, error)
        else:
            answer = msgspec.structs.replace(answer, number=forwarded.number)
        self._runner.send(peer, answer)

    async def _execute(self, request: Request) -> Answer:
        """Execute a request as the leader."""
        engine = self._runner.engine
        if engine is None or engine.raft.leadership is None:
            raise NotLeaderError("this replica isn't the leader", step="serve")
        changer = ReplicaChanger(engine, self._runner.network, self._runner.changes)
        outcome = b""
        match request:
            case CommandData():
                applied = await engine.propose(request.data)
                index = applied.index
                outcome = _encoder.encode(applied.outcome)
            case ConfirmRead():
                index = await engine.read()
            case AddReplica():
                index = await changer.add(request)
            case RemoveReplica():
                index = await changer.remove(request)
        return Answer(0, AnswerState.DONE, index, outcome)
