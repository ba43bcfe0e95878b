"""A control replica's server: the state, the log and the nodes' sessions."""

import asyncio
import logging

import msgspec

from cicadawheel.configuration import Configuration
from cicadawheel.configuration_delta import ConfigurationDelta, make_delta
from cicadawheel.control.command import ExpireMembers
from cicadawheel.control.lease import make_lease_table
from cicadawheel.control.log import CommandLog
from cicadawheel.control.messages import EvidenceReport, LeaseReport, ReplicaReport
from cicadawheel.control.request_failures import RequestFailures
from cicadawheel.control.session import NodeSession
from cicadawheel.control.state import ControlState
from cicadawheel.errors import CicadawheelError, NotLeaderError
from cicadawheel.ids import (
    DataCentreName,
    Epoch,
    Fingerprint,
    LogIndex,
    NodeId,
    ReplicaId,
    Revision,
)
from cicadawheel.logs import log_event
from cicadawheel.move import MoveCheck, check_capacity
from cicadawheel.release.leader import ReleaseLeader
from cicadawheel.settings import ControlSettings
from cicadawheel.timer import MS_PER_S, TimerService

log = logging.getLogger(__name__)

VIEW_INTERVAL_MS = 20.0
LOADS_POLL_MS = 50.0
HEARTBEAT_INTERVAL_MS = 250.0
LEASE_CHECKS_PER_LEASE = 6
APPLY_LAG_LIMIT_ELECTIONS = 2
"""Election timeouts after which a committed entry must have been applied."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ReplicaReport)


class ControlServer:
    """Serves the nodes connected to a control replica, and expires leases.

    Parameters
    ----------
    replica : ReplicaId
        The name of this replica.
    settings : ControlSettings
        The settings of the control section.
    state : ControlState
        The replicated state of this replica.
    command_log : CommandLog
        Replicates the commands.
    timers : TimerService
        Clock and timers.
    """

    def __init__(
        self,
        replica: ReplicaId,
        settings: ControlSettings,
        state: ControlState,
        command_log: CommandLog,
        timers: TimerService,
    ):
        self.replica = replica
        self.settings = settings
        self.state = state
        self.log = command_log
        self.clock = timers.clock
        self.sessions: set[NodeSession] = set()
        self.leases = make_lease_table(settings.lease_ms)
        self.releases = ReleaseLeader(state, command_log, timers)
        self.request_failures = RequestFailures(timers)
        self._cached_delta_revisions = (Revision(0), Revision(0))
        self._cached_delta: ConfigurationDelta | None = None
        self._leads = False
        self._leases_index = LogIndex(0)
        self._expiring = False
        self._is_behind = False
        self._tasks: set[asyncio.Task] = set()
        timers.every(VIEW_INTERVAL_MS, self._send_views)
        timers.every(HEARTBEAT_INTERVAL_MS, self._send_heartbeats)
        lease_check_ms = settings.lease_ms / LEASE_CHECKS_PER_LEASE
        timers.every(lease_check_ms, self._check_leases)

    def is_current(self) -> bool:
        """Return whether this replica hears from a leader and applies its log in time.

        Nodes leave a replica that isn't current. One whose disk hangs, or that gets no
        entries, still hears the leader, but would leave its nodes with an old view.
        """
        return self.log.leader is not None and not self._is_behind

    def leadership_changed(self, leads: bool) -> None:
        """Start or stop acting as leader; all leases are granted anew."""
        self._leads = leads
        self.leases.reset(self.state.members.values(), self.clock.now_ms())
        self.releases.leadership_changed(leads)
        log_event(log, "leadership_changed", leads=leads)

    def check_leads(self, step: str) -> None:
        """Check that no other replica leads.

        Raises
        ------
        NotLeaderError
            Another replica leads.
        """
        leader = self.log.leader
        if leader not in (None, self.replica):
            raise NotLeaderError(f"not the leader; ask {leader}", step=step)

    def session_opened(self, session: NodeSession) -> None:
        """Add a node's session."""
        self.sessions.add(session)

    def session_closed(self, session: NodeSession) -> None:
        """Remove a node's session."""
        self.sessions.discard(session)

    def close(self) -> None:
        """Close all sessions."""
        for session in list(self.sessions):
            session.close()

    def configuration_delta(self, sent: Configuration) -> ConfigurationDelta | None:
        """Return the changes since a configuration, or None if there are none.

        The last delta is cached, as most nodes have the same configuration.
        """
        newest = self.state.configuration
        if newest.revision == sent.revision:
            return None
        revisions = (sent.revision, newest.revision)
        if self._cached_delta_revisions != revisions:
            self._cached_delta_revisions = revisions
            self._cached_delta = make_delta(sent, newest)
        return self._cached_delta

    def quarantined(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the requests that all nodes refuse."""
        return tuple(entry.fingerprint for entry in self.state.quarantined)

    async def wait_for_loads(self, timeout_ms: float) -> None:
        """Wait until the loads of all members are known, at most ``timeout_ms``."""
        ends_ms = self.clock.now_ms() + timeout_ms
        while self.clock.now_ms() < ends_ms:
            self.sync_leases()
            known = self.leases.loads(self.clock.now_ms())
            if known.keys() >= self.state.members.keys():
                return
            await asyncio.sleep(LOADS_POLL_MS / MS_PER_S)

    def check_move(self, data_centre: DataCentreName) -> MoveCheck:
        """Check whether the other data centres can take over the load of one.

        Only meaningful on the leader, which has the loads.
        """
        self.sync_leases()
        return check_capacity(
            self.state.configuration,
            self.state.members.values(),
            self.leases.loads(self.clock.now_ms()),
            data_centre,
        )

    def report_to_leader(self, report: LeaseReport | EvidenceReport) -> None:
        """Send a report to the leader, which may be this replica."""
        self.log.send_to_leader(_encoder.encode(report))

    def handle_report(self, replica: ReplicaId, data: bytes) -> None:
        """Handle a report that was sent to this replica as the leader."""
        report = _decoder.decode(data)
        if isinstance(report, LeaseReport):
            self._renew(report)
        elif isinstance(report, EvidenceReport):
            self.releases.take_evidence(report.data)

    def sync_leases(self) -> None:
        """Match the leases to the members that are currently registered."""
        if self._leases_index == self.state.view_revision:
            return
        self._leases_index = self.state.view_revision
        self.leases.sync(self.state.members.values(), self.clock.now_ms())

    def _renew(self, report: LeaseReport) -> None:
        self.sync_leases()
        now_ms = self.clock.now_ms()
        for entry in report.entries:
            self.leases.renew(
                entry.node, entry.epoch, entry.revision, now_ms, entry.load
            )

    def _send_views(self, now_ms: float) -> None:
        for session in self.sessions:
            if session.lease is not None and session.has_view:
                session.send_view()

    def _update_lag(self) -> None:
        """Log when this replica falls behind what the leader has committed."""
        lag_ms = self.log.apply_lag_ms()
        limit_ms = APPLY_LAG_LIMIT_ELECTIONS * self.settings.election_timeout_ms
        is_behind = lag_ms > limit_ms
        if is_behind and not self._is_behind:
            log_event(log, "replica_behind", replica=self.replica, lag_ms=lag_ms)
        elif self._is_behind and not is_behind:
            log_event(log, "replica_caught_up", replica=self.replica, lag_ms=lag_ms)
        self._is_behind = is_behind

    def _send_heartbeats(self, now_ms: float) -> None:
        self._update_lag()
        current = self.is_current()
        for session in self.sessions:
            session.send_heartbeat(current)
            session.abort_if_silent(now_ms)

    def _check_leases(self, now_ms: float) -> None:
        alive = tuple(
            session.lease
            for session in self.sessions
            if session.lease is not None
            and now_ms - session.heard_at_ms < self.settings.lease_ms
        )
        if alive:
            self.report_to_leader(LeaseReport(alive))
        self._expire_leases(now_ms)

    def _expire_leases(self, now_ms: float) -> None:
        if not self._leads or self._expiring:
            return
        self.sync_leases()
        expired = self.leases.expired(now_ms)
        if not expired:
            return
        self._expiring = True
        task = asyncio.ensure_future(self._expire(expired))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _expire(self, expired: tuple[tuple[NodeId, Epoch], ...]) -> None:
        try:
            command = ExpireMembers(now_ms=self.clock.unix_ms(), nodes=expired)
            await self.log.propose(command)
            log_event(log, "leases_expired", nodes=",".join(n for n, _ in expired))
        except CicadawheelError as error:
            log_event(log, "expiry_failed", reason=error)
        finally:
            self._expiring = False
