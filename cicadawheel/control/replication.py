"""The replicated log: commands are durable on a majority before they are applied."""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from cicadawheel.control.command import AnyCommand, Outcome
from cicadawheel.control.log import StateMachine
from cicadawheel.control.raft.entry import CommandData
from cicadawheel.control.replica.bootstrap import BootstrapState
from cicadawheel.control.replica.leader_requests import LeaderRequests
from cicadawheel.control.replica.leaderless import LeaderWatch
from cicadawheel.control.replica.message import (
    AddReplica,
    Answer,
    ConfirmRead,
    ForwardedRequest,
    Join,
    RemoveReplica,
    Report,
)
from cicadawheel.control.replica.runner import ReplicaRunner
from cicadawheel.control.replica.status import ReplicaStatus, describe_replica
from cicadawheel.control.storage import DiskFiles, Files
from cicadawheel.ids import LogIndex, ReplicaId
from cicadawheel.logs import log_event
from cicadawheel.settings import Address, Settings
from cicadawheel.timer import MS_PER_S, TimerService
from cicadawheel.wire import Message

log = logging.getLogger(__name__)

COMMIT_TIMEOUT_ELECTIONS = 5
MEMBERSHIP_TIMEOUT_MS = 60_000.0
# The first start of a deployment takes about 2 s. The limit allows for deployments
# that have fewer VMs than the settings ask for.
VOTERS_TIMEOUT_MS = 7_000.0

_encoder = msgspec.msgpack.Encoder()
_outcome_decoder = msgspec.msgpack.Decoder(Outcome)


def _noop(*_: object) -> None:
    """Do nothing; the default of callbacks that are not set."""


class ReplicatedLog:
    """A log of commands that is durable on a majority of the replicas.

    Requests made at a follower are forwarded to the leader. The callbacks run on the
    event loop: ``on_applied`` for each command that this replica applies,
    ``on_report`` for each report sent with `send_to_leader`, and ``on_leadership``
    with True once this replica leads and has applied all earlier entries.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    machine : StateMachine
        The state machine that applies the commands.
    timers : TimerService
        Clock and timers.
    random : random.Random
        Randomises the election timeouts.
    open_files : callable
        Opens the data folder.
    """

    def __init__(
        self,
        settings: Settings,
        machine: StateMachine,
        timers: TimerService,
        random: random.Random,
        open_files: Callable[[str], Files] = DiskFiles,
    ):
        self.on_applied: Callable[[LogIndex, AnyCommand, Outcome], None] = _noop
        self.on_report: Callable[[ReplicaId, bytes], None] = _noop
        self.on_leadership: Callable[[bool], None] = _noop
        self._runner = ReplicaRunner(
            settings, machine, timers, random, open_files, self
        )
        self._clock = timers.clock
        self._started_at_ms = timers.clock.now_ms()
        self._voter_target = settings.control.voter_target
        election_ms = settings.control.election_timeout_ms
        self._requests = LeaderRequests(self._runner, timers, election_ms)
        self._watch = LeaderWatch(self, self._runner, timers)
        self._election_timeout_ms = election_ms
        self.commit_timeout_ms = COMMIT_TIMEOUT_ELECTIONS * election_ms

    @property
    def replica(self) -> ReplicaId:
        """The name of this replica."""
        return self._runner.replica

    @property
    def leader(self) -> ReplicaId | None:
        """The replica believed to be the leader, or None."""
        return self._requests.leader

    @property
    def leads(self) -> bool:
        """Whether this replica leads and has applied all earlier entries."""
        return self._runner.leads

    async def run(self) -> None:
        """Run the replica until cancelled.

        Raises
        ------
        StorageError
            The data folder failed. The replica stays stopped, even if this is called
            again.
        ConnectionLostError
            Listening on the replica's address failed.
        """
        await self._runner.run()

    async def propose(self, command: AnyCommand) -> Outcome:
        """Commit a command and return its outcome.

        Raises
        ------
        NotLeaderError
            No leader was found in time; the command takes no effect.
        NoQuorumError
            No majority confirmed in time; the command may still take effect.
        CommandRefusedError
            The command is too big.
        """
        request = CommandData(_encoder.encode(command))
        answer = await self._requests.request(request, self.commit_timeout_ms)
        return _outcome_decoder.decode(answer.outcome)

    async def confirm_read(self) -> LogIndex:
        """Return an index up to which local reads are linearizable.

        This replica's state machine has applied that index on return.

        Raises
        ------
        NotLeaderError
            No leader was found in time.
        NoQuorumError
            No majority confirmed in time.
        """
        answer = await self._requests.request(ConfirmRead(), self.commit_timeout_ms)
        return answer.index

    async def add_replica(
        self, replica: ReplicaId, address: Address, relay: bool = False
    ) -> None:
        """Add a replica, and return once it votes and has the committed log.

        A relay never votes, but serves nodes; for a relay, return once it has the log.

        Raises
        ------
        CommandRefusedError
            The id is or was in use, or another change is in progress.
        NotLeaderError
            No leader was found in time; nothing was changed.
        NoQuorumError
            No confirmation in time; the replica may still become a member.
        """
        request = AddReplica(replica, address.host, address.port, relay)
        await self._requests.request(request, MEMBERSHIP_TIMEOUT_MS)

    async def remove_replica(self, replica: ReplicaId) -> None:
        """Remove a replica permanently; its id can't be used again.

        Raises
        ------
        CommandRefusedError
            The replica is not a member or the only voter, or another change is in
            progress.
        NotLeaderError
            No leader was found in time; nothing was changed.
        NoQuorumError
            No confirmation in time; the replica may still be removed.
        """
        await self._requests.request(RemoveReplica(replica), MEMBERSHIP_TIMEOUT_MS)

    def apply_lag_ms(self) -> float:
        """Return how long a committed command has waited to be applied, 0 if none."""
        engine = self._runner.engine
        return 0.0 if engine is None else engine.raft.apply_lag_ms(self._clock.now_ms())

    def use_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Set the seeds used to find other replicas until this one is a member."""
        self._runner.seeds = seeds

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts of all replicas in the newest membership."""
        engine = self._runner.engine
        if engine is None:
            return ()
        return tuple(sorted({member.host for member in engine.raft.membership.members}))

    def has_all_voters(self) -> bool:
        """Return whether as many replicas vote as the settings ask for.

        After `VOTERS_TIMEOUT_MS`, no more replicas are expected, and any number is
        enough.
        """
        engine = self._runner.engine
        if engine is None:
            return False
        has_voters = len(engine.raft.membership.voters()) >= self._voter_target
        waited_ms = self._clock.now_ms() - self._started_at_ms
        return has_voters or waited_ms > VOTERS_TIMEOUT_MS

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition on this replica's state holds."""
        await self._runner.changes.wait_for(condition)

    async def resign(self) -> None:
        """Transfer the leadership before a planned stop.

        Requests that arrive meanwhile wait for the next leader. Returns when the next
        leader is known, or after an election timeout.
        """
        engine = self._runner.engine
        if engine is None or engine.raft.leadership is None:
            return
        engine.resign()
        try:
            async with asyncio.timeout(self._election_timeout_ms / MS_PER_S):
                await self.wait_until(lambda: self.leader not in (None, self.replica))
        except TimeoutError:
            log_event(log, "resigned_without_successor", replica=self.replica)

    def send_to_leader(self, data: bytes) -> None:
        """Send a report to the leader's `ControlServer`; it may be lost."""
        leader = self.leader
        if leader == self.replica:
            self.on_report(self.replica, data)
        elif leader is not None:
            self._runner.send(leader, Report(data))

    def status(self) -> ReplicaStatus:
        """Return this replica's status in the log, and its view of the others."""
        bootstrap = self._runner.bootstrap
        if bootstrap is None:
            return ReplicaStatus(self.replica, BootstrapState.WAITING)
        engine = self._runner.engine
        now_ms = self._clock.now_ms()
        if engine is None:
            status = ReplicaStatus(self.replica, bootstrap.state, bootstrap.reason)
        else:
            status = describe_replica(
                engine.raft, bootstrap.state, bootstrap.reason, now_ms
            )
        return msgspec.structs.replace(
            status,
            leaderless_ms=self._watch.leaderless_ms(now_ms),
            write_ms=0.0 if engine is None else engine.raft.write_age_ms(now_ms),
            dropped_messages=self._runner.network.dropped_messages,
            ignored_messages=self._runner.ignored_messages,
        )

    def message_received(self, peer: ReplicaId, message: Message) -> None:
        """Handle a request, an answer or a report from another replica."""
        match message:
            case ForwardedRequest():
                self._requests.receive_forwarded(peer, message)
            case Answer():
                self._requests.receive_answer(message)
            case Join():
                self._requests.receive_join(message)
            case Report():
                self.on_report(peer, message.data)

    def command_applied(
        self, index: LogIndex, command: AnyCommand, outcome: Outcome
    ) -> None:
        """Call ``on_applied`` for a command that this replica has applied."""
        self.on_applied(index, command, outcome)

    def leader_changed(self) -> None:
        """Limit the wait for requests that were sent to the former leader."""
        self._requests.leader_changed()

    def leadership_changed(self, leads: bool) -> None:
        """Call ``on_leadership`` when this replica starts or stops leading."""
        self.on_leadership(leads)


def make_replicated_log(
    settings: Settings,
    machine: StateMachine,
    timers: TimerService,
    random: random.Random,
) -> ReplicatedLog:
    """Return a replicated log; its `run` must be run by the supervisor."""
    return ReplicatedLog(settings, machine, timers, random)
