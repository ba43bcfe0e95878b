"""The daemon of a control replica: sets up its components and runs them."""

import asyncio
import logging
import time
from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from cicadawheel.configuration import Configuration, Member
from cicadawheel.control.log import MemoryLog
from cicadawheel.control.messages import NodeToControl
from cicadawheel.control.metrics import ControlMetrics
from cicadawheel.control.operators import make_operator_handler
from cicadawheel.control.replica.status import ReplicaStatus
from cicadawheel.control.replica_naming import clear_folder, name_replica
from cicadawheel.control.replication import ReplicatedLog, make_replicated_log
from cicadawheel.control.server import ControlServer
from cicadawheel.control.session import NodeSession
from cicadawheel.control.state import make_control_state
from cicadawheel.control.state.quarantine import Quarantined
from cicadawheel.control.status import describe_control
from cicadawheel.errors import ReplicaRemovedError, StorageFullError
from cicadawheel.holding_metrics import register_holdings
from cicadawheel.holdings import CHECK_INTERVAL_MS, Holdings
from cicadawheel.http.exchange import (
    ORDER_PORT_LIMITS,
    PROBE_PORT_LIMITS,
    Handler,
    HttpServer,
    serve_http,
)
from cicadawheel.ids import LogIndex, ReplicaId
from cicadawheel.logs import log_event
from cicadawheel.operator import ControlStatus
from cicadawheel.process import run_daemon
from cicadawheel.settings import Settings, SettingsFile
from cicadawheel.supervisor import ChildReport, Supervisor, run_until_stopped
from cicadawheel.timer import MS_PER_S, TimerService
from cicadawheel.wire.stream import Identity, serve_streams

log = logging.getLogger(__name__)

MS_PER_S_INT = int(MS_PER_S)
# Delay before a replica whose disk was full is started again.
DISK_FULL_RETRY_S = 0.5
# How long the answers to accepted requests may take at a planned stop.
EXCHANGES_TIMEOUT_MS = 2_000.0

_decoder = msgspec.msgpack.Decoder(NodeToControl)


MakeHandler = Callable[["ControlDaemon"], Handler]


class ControlDump(msgspec.Struct, frozen=True):
    """A dump of the state of a control replica, for operators."""

    replica: ReplicaId
    leader: ReplicaId | None
    configuration: Configuration
    view_index: LogIndex
    members: list[Member]
    quarantined: list[Quarantined]
    sessions: int
    log: ReplicaStatus | None
    tasks: list[ChildReport]


class ControlDaemon:
    """One control replica.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    timers : TimerService
        Clock and timers.
    make_handler : callable
        Returns the HTTP handler for the operator address.
    """

    def __init__(
        self,
        settings: Settings,
        timers: TimerService,
        make_handler: MakeHandler = make_operator_handler,
    ):
        self.settings = settings
        self._make_handler = make_handler
        self.timers = timers
        self.replica = settings.replica
        self.supervisor = Supervisor("control", timers.clock)
        self.holdings = Holdings(settings.holdings, timers.clock)
        window_ms = settings.control.claim_window_s * MS_PER_S_INT
        self.state = make_control_state(window_ms)
        self.durable_log: ReplicatedLog | None = None
        self.metrics = ControlMetrics()
        register_holdings(self.metrics.registry, self.holdings)
        self.server = self._make_server()

    def status(self) -> ControlStatus:
        """Return the status of control and of the nodes.

        Raises
        ------
        NotLeaderError
            Another replica leads; only the leader has the nodes' leases.
        """
        self.server.check_leads("status")
        own_status = None if self.durable_log is None else self.durable_log.status()
        return describe_control(self.server, own_status)

    def dump(self) -> ControlDump:
        """Return the state of this replica."""
        return ControlDump(
            replica=self.replica,
            leader=self.server.log.leader,
            configuration=self.state.configuration,
            view_index=self.state.view_revision,
            members=list(self.state.members.values()),
            quarantined=self.state.quarantined,
            sessions=len(self.server.sessions),
            log=None if self.durable_log is None else self.durable_log.status(),
            tasks=self.supervisor.report(),
        )

    def reload(self, settings: Settings) -> None:
        """Apply reloaded settings; only the seeds take effect without a restart."""
        if self.durable_log is not None:
            self.durable_log.use_seeds(settings.control.seeds)

    def update_metrics(self) -> None:
        """Update the gauges."""
        own_status = None if self.durable_log is None else self.durable_log.status()
        self.metrics.update(self.server, own_status)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set."""
        self.timers.every(CHECK_INTERVAL_MS, self.holdings.check)
        control = self.settings.control
        identity = Identity(self.replica, "", self.settings.process.key.encode())
        streams = await serve_streams(
            control.stream_address.host,
            control.stream_address.port,
            identity,
            _decoder,
            lambda: NodeSession(self.server),
        )
        operators = await serve_http(
            control.operator_address,
            self._make_handler(self),
            ORDER_PORT_LIMITS,
            self.holdings,
        )
        metrics = self.settings.process.metrics_address
        if metrics is not None:
            metrics_server = await serve_http(
                metrics, make_operator_handler(self), PROBE_PORT_LIMITS, self.holdings
            )
            self.supervisor.add("metrics", metrics_server.serve_forever)
        log_event(log, "control_started", address=control.stream_address)
        self.supervisor.add("streams", streams.serve_forever)
        self.supervisor.add("operators", operators.serve_forever)
        try:
            await run_until_stopped(
                stop, self.supervisor, partial(self._drain, operators)
            )
        finally:
            streams.close()
            operators.close()
            self.server.close()

    async def _drain(self, operators: HttpServer) -> None:
        """Transfer the leadership and answer the requests that were accepted.

        With a transfer, a planned stop needs no election timeout.
        """
        if self.durable_log is not None:
            await self.durable_log.resign()
        await operators.finish(EXCHANGES_TIMEOUT_MS)

    def _make_server(self) -> ControlServer:
        control = self.settings.control
        if control.data_folder:
            return self._make_durable_server()
        command_log = MemoryLog(self.state, self.replica)
        server = ControlServer(
            self.replica, control, self.state, command_log, self.timers
        )
        command_log.on_report = server.handle_report
        server.leadership_changed(True)
        return server

    def _make_durable_server(self) -> ControlServer:
        random = Random(self.settings.process.random_seed or None)
        command_log = make_replicated_log(
            self.settings, self.state, self.timers, random
        )
        control = self.settings.control
        server = ControlServer(
            self.replica, control, self.state, command_log, self.timers
        )
        command_log.on_report = server.handle_report
        command_log.on_leadership = server.leadership_changed
        self.supervisor.add("log", command_log.run)
        self.durable_log = command_log
        return server


def run_control(
    settings: Settings,
    make_handler: MakeHandler = make_operator_handler,
    file: SettingsFile | None = None,
) -> int:
    """Run a control replica until it is stopped, and return the exit code.

    ``make_handler`` returns the HTTP handler for the operator address. A replica that
    was removed from the membership deletes its data and joins under a new name. A
    replica whose disk is full is restarted until there is space.
    """
    make_daemon = partial(ControlDaemon, make_handler=make_handler)
    replica = settings.replica
    while True:
        try:
            named = name_replica(settings)
            replica = named.replica
            return run_daemon(named, make_daemon, file)
        except ReplicaRemovedError as error:
            log_event(log, "replica_begins_anew", replica=replica, reason=error)
            clear_folder(settings)
        except StorageFullError as error:
            log_event(log, "disk_full", replica=replica, reason=error)
            time.sleep(DISK_FULL_RETRY_S)
