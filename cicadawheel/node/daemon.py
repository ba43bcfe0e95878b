"""The node daemon: creates the components and runs them until it is stopped."""

import asyncio
import contextlib
import logging
import secrets
from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from cicadawheel.announcement import Announcement, Leave
from cicadawheel.configuration import Configuration, Member
from cicadawheel.control.lease import NodeLoad
from cicadawheel.control.messages import ClaimAnswer, EvidenceReport, View
from cicadawheel.entry import flow_watch, peers
from cicadawheel.entry.entry import Entry, EntryReport
from cicadawheel.entry.flow_watch import FlowWatch
from cicadawheel.entry.peers import PeerLinks
from cicadawheel.entry.probing import REPORT_COST_BYTES
from cicadawheel.entry.router import Router
from cicadawheel.gate.gate import Gate, GateReport
from cicadawheel.gate.repeat_budget import RepeatBudget
from cicadawheel.gate.server import PeerStreams, serve_peers
from cicadawheel.holding_metrics import register_holdings
from cicadawheel.holdings import CHECK_INTERVAL_MS, Holdings
from cicadawheel.http import caller
from cicadawheel.http.caller import CallerConnection
from cicadawheel.http.dialect import OWN_DIALECT, Dialect
from cicadawheel.http.exchange import (
    NOTICE_PORT_LIMITS,
    PROBE_PORT_LIMITS,
    Handler,
    HttpAnswer,
    HttpRequest,
    HttpServer,
    serve_http,
    text_answer,
)
from cicadawheel.http.run_order import AheadLimits
from cicadawheel.ids import BootId, Epoch, LogIndex, NodeId, VersionName
from cicadawheel.logs import log_event
from cicadawheel.messages import LoadReport
from cicadawheel.metrics import NodeMetrics
from cicadawheel.node.admin import ANNOUNCE_REPEAT_MS, make_admin_handler
from cicadawheel.node.announcement_filter import AnnouncementFilter
from cicadawheel.node.bandwidth import LinkWatch
from cicadawheel.node.claims import NodeClaims
from cicadawheel.node.link import ControlLink
from cicadawheel.node.peer_views import PeerViews
from cicadawheel.node.service_peers import ServicePeers
from cicadawheel.node.view import NodeView
from cicadawheel.process import run_daemon
from cicadawheel.release.node import NodeReleases
from cicadawheel.settings import Address, Settings, SettingsFile
from cicadawheel.supervisor import ChildReport, Supervisor, run_until_stopped
from cicadawheel.timer import MS_PER_S, TimerService
from cicadawheel.wire.stream import Identity

log = logging.getLogger(__name__)

BOOT_ID_BYTES = 8
LEAVE_NOTICE_MS = 300.0
# How long the last answers of a planned stop may take to be sent.
FLUSH_TIMEOUT_MS = 400.0
FLUSH_POLL_MS = 10.0
# Upstreams wait for a second for the answer to a heartbeat.
DEPARTURE_TIMEOUT_MS = 700.0
ANNOUNCEMENT_TIMEOUT_MS = 3.5 * ANNOUNCE_REPEAT_MS
MEASURE_INTERVAL_MS = 50.0
# Interval of the check for calls to hedge: a small fraction of the shortest target
# time.
HEDGE_INTERVAL_MS = 50.0


MakeHandler = Callable[["Node"], Handler]


class NodeDump(msgspec.Struct, frozen=True):
    """The state of a node, as `/dump` returns it."""

    node: NodeId
    boot: BootId
    epoch: Epoch
    control: str
    control_connected: bool
    view_index: LogIndex
    configuration: Configuration
    members: list[Member]
    load: LoadReport
    gate: GateReport
    entry: EntryReport
    upstream: Announcement | None
    withdrawn: list[VersionName]
    calls: int
    draining: bool
    tasks: list[ChildReport]


class Node:
    """One node: the entry for callers and the gate of its upstream.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    timers : TimerService
        Schedules the periodic work and provides the clock.
    dialect : Dialect
        The header fields that callers and upstreams use.
    make_handler : callable
        Returns the request handler for the admin address.
    """

    def __init__(
        self,
        settings: Settings,
        timers: TimerService,
        dialect: Dialect = OWN_DIALECT,
        make_handler: MakeHandler = make_admin_handler,
    ):
        self.settings = settings
        self._make_handler = make_handler
        self.clock = timers.clock
        self.node = NodeId(settings.process.name)
        self.boot = BootId(secrets.token_hex(BOOT_ID_BYTES))
        self.identity = Identity(
            settings.process.name, self.boot, settings.process.key.encode()
        )
        self.metrics = NodeMetrics()
        clients_limit = settings.entry.connection_limit
        self.holdings = Holdings(settings.holdings, timers.clock, clients_limit)
        register_holdings(self.metrics.registry, self.holdings)
        self.random = Random(settings.process.random_seed or None)
        self.supervisor = Supervisor("node", timers.clock)
        self.draining = False
        data_centre = settings.process.data_centre
        self.gate = Gate(settings.gate, data_centre, timers, self.node, dialect)
        self.gate.holdings = self.holdings
        self.peer_streams = PeerStreams()
        self.links = PeerLinks(self.identity, settings.entry.connect_timeout_ms, self)
        control_streams = settings.node.control_streams()
        self.control = ControlLink(
            control_streams,
            self.identity,
            self,
            first_index=self.random.randrange(max(1, len(control_streams))),
        )
        self.claims = NodeClaims(self.control)
        self.releases = NodeReleases(
            self.node, self.random, timers, self._send_evidence
        )
        self.entry = Entry(
            self.node,
            settings.entry,
            settings.gate.body_buffer_bytes,
            self.gate,
            Router(settings.entry, data_centre, self.random, self.node),
            self.links,
            self.claims,
            timers.clock,
            self.metrics,
            self.releases,
            dialect,
            settings.node.link_mbps,
        )
        self.entry.caller_service = settings.node.service
        LinkWatch(self.entry, self.gate, self.links, self.peer_streams).start(timers)
        self.peer_views = PeerViews(self.control, self.links, self.random, timers)
        self.announced_at_ms = 0.0
        self._announcement_filter = AnnouncementFilter()
        timers.every(MEASURE_INTERVAL_MS, self._measure)
        timers.every(HEDGE_INTERVAL_MS, self.entry.consider_hedges)
        timers.every(flow_watch.INTERVAL_MS, FlowWatch(self.entry).check)
        timers.every(CHECK_INTERVAL_MS, self.holdings.check)
        timers.every(peers.CHECK_INTERVAL_MS, self.links.check)
        timers.every(caller.CHECK_INTERVAL_MS, self.entry.close_idle)
        timers.every(caller.LEFT_CHECK_INTERVAL_MS, self.entry.end_left)
        timers.every(ANNOUNCE_REPEAT_MS, self._check_announcement)
        self.gate.publisher.listeners.add(partial(self.entry.observe, self.node))
        self.gate.repeats.count = self.metrics.count_repeat
        self.gate.repeats.count_need = self.metrics.count_repeat_need
        self.gate.refusals.count = self.metrics.count_gate_refusal
        if settings.entry.has_retry_budget:
            self.gate.repeats.budget = RepeatBudget(
                settings.entry.retry_share,
                settings.entry.retry_slack,
                settings.entry.retry_window_ms,
                timers.clock.now_ms(),
            )
        self.gate.guard.peers = ServicePeers(self.gate, self.links, self.control)

    def announce(self, announcement: Announcement) -> None:
        """Record the node's own upstream and register it with control.

        An announcement that arrives after its upstream has left is ignored.
        """
        if self._announcement_filter.has_left(announcement):
            log_event(log, "announcement_late", upstream=announcement.upstream)
            return
        self.announced_at_ms = self.clock.now_ms()
        self.gate.announce(announcement)
        self._update_gate_count()
        self._register()

    def handle_announcement(
        self, announcement: Announcement, number: int, leaving: bool
    ) -> None:
        """Handle a numbered announcement; ignore it if a newer one was accepted.

        Raises
        ------
        ValueError
            The address or the service is not one that this node accepts.
        """
        self._check_upstream(announcement)
        if not self._announcement_filter.accept(announcement, number):
            log_event(log, "announcement_late", upstream=announcement.upstream)
            return
        self.announce(announcement)
        if leaving:
            self.handle_leave(Leave(announcement.upstream, announcement.boot))

    def _check_upstream(self, announcement: Announcement) -> None:
        node = self.settings.node
        address = Address(announcement.host, announcement.port)
        if node.upstream_address not in (None, address):
            raise ValueError(f"the upstream of this node is at {node.upstream_address}")
        services = self.control.view.configuration.services
        # The configuration may name this node's service later, or no longer.
        if announcement.service not in (node.service, *services):
            raise ValueError(f"service {announcement.service} is unknown")

    def is_ready(self) -> bool:
        """Return whether the node has a configuration and is not draining."""
        return self.control.view.configuration.has_rules() and not self.draining

    def reload(self, settings: Settings) -> None:
        """Apply the settings that may change at run time."""
        self.settings = settings
        self.control.set_seeds(settings.node.control_streams())
        self.entry.caller_service = settings.node.service

    def handle_leave(self, leave: Leave) -> bool:
        """Stop sending to an upstream for good, also if it announces itself later.

        Returns whether it is the announced one.
        """
        self._announcement_filter.leave(leave, self.clock.unix_ms())
        if not self.gate.leave(leave.upstream, leave.boot):
            return False
        self.control.depart()
        return True

    async def confirm_departure(self) -> bool:
        """Return whether control knows that the upstream has left, if it has.

        Until then, a restart of this node would forget it.
        """
        return await self.control.confirm_departure(DEPARTURE_TIMEOUT_MS)

    def view_changed(self, view: NodeView) -> None:
        """Apply a newer view to all components."""
        self._apply_departure(view)
        self.gate.configure(view.configuration)
        self.gate.quarantine(view.quarantined)
        self.entry.quarantined = view.quarantined
        self.entry.apply_view(view.configuration, list(view.members.values()))
        self._update_gate_count()
        self.releases.configure(view.configuration, view.members.values())
        self.metrics.revision.set(view.configuration.revision)
        log_event(
            log,
            "view_in_force",
            index=view.index,
            revision=view.configuration.revision,
            members=len(view.members),
            peer=self.control.replica,
        )

    def _apply_departure(self, view: NodeView) -> None:
        """Close the gate if its upstream had left before this node was restarted."""
        registered = view.members.get(self.node)
        announced = self.gate.announcement
        if registered is None or announced is None or self.gate.admission.leaving:
            return
        departure = (registered.upstream, registered.departed_boot)
        if departure == (announced.upstream, announced.boot):
            log_event(log, "announcement_late", upstream=announced.upstream)
            self.handle_leave(Leave(announced.upstream, announced.boot))

    def _update_gate_count(self) -> None:
        """Pass the gate the number of gates of its service, itself included."""
        announcement = self.gate.announcement
        if announcement is not None:
            members = self.control.view.members.values()
            others = [member for member in members if member.node != self.node]
            same_service_count = sum(
                member.service == announcement.service for member in others
            )
            self.gate.repeats.share_with(announcement.service, same_service_count + 1)

    def load_received(self, node: NodeId, load: LoadReport) -> None:
        """Handle the load of another node, received by a probe."""
        self.entry.observe(node, load)

    def view_received(self, view: View) -> None:
        """Handle a view received from another node."""
        self.control.apply_peer_view(view)

    def claim_answered(self, answer: ClaimAnswer) -> None:
        """Handle control's answer to a claim message."""
        self.claims.handle_answer(answer)

    def control_lost(self) -> None:
        """Have pending claim requests resent on the next stream."""
        self.claims.wake_pending()

    def load(self) -> NodeLoad:
        """Return the gate's load for the lease renewal."""
        load = self.gate.load()
        available_limit = int(load.limit * load.cold_share)
        return NodeLoad(load.in_flight, load.queued, available_limit)

    def dump(self) -> NodeDump:
        """Return the state of this node."""
        view = self.control.view
        return NodeDump(
            node=self.node,
            boot=self.boot,
            epoch=self.control.epoch,
            control=self.control.replica,
            control_connected=self.control.connected,
            view_index=view.index,
            configuration=view.configuration,
            members=list(view.members.values()),
            load=self.gate.load(),
            gate=self.gate.report(),
            entry=self.entry.report(),
            upstream=self.gate.announcement,
            withdrawn=self.releases.withdrawn(),
            calls=len(self.entry.calls),
            draining=self.entry.draining,
            tasks=self.supervisor.report(),
        )

    def update_gauges(self) -> None:
        """Update the gauges from the current state."""
        load = self.gate.load()
        limit = self.gate.admission.limit(self.clock.now_ms())
        self.metrics.set_gate_gauges(limit, load.in_flight, load.queued)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain calls in flight."""
        servers = await self._open_servers()
        self.supervisor.add("control", self.control.run)
        log_event(log, "node_started", address=self.settings.node.caller_address)
        await run_until_stopped(stop, self.supervisor, partial(self._drain, servers))

    async def _open_servers(self) -> list[asyncio.Server | HttpServer]:
        addresses = self.settings.node
        loop = asyncio.get_running_loop()
        entry = self.settings.entry
        ahead = AheadLimits(entry.requests_ahead_limit, entry.ahead_limit_bytes)
        callers = await loop.create_server(
            partial(
                CallerConnection,
                self.entry,
                entry.head_limit_bytes,
                ahead,
                self.holdings,
            ),
            addresses.caller_address.host,
            addresses.caller_address.port,
        )
        nodes = await serve_peers(
            addresses.peer_address,
            self.identity,
            self.gate,
            self.control.view.message,
            self.peer_streams,
        )
        servers = [callers, nodes]
        ports = (
            (addresses.admin_address, self._make_handler(self), NOTICE_PORT_LIMITS),
            (self.settings.process.metrics_address, make_admin_handler(self), None),
            (addresses.ready_address, self._answer_ready, None),
        )
        for address, handler, limits in ports:
            if address is not None:
                rest = (handler, limits or PROBE_PORT_LIMITS, self.holdings)
                servers.append(await serve_http(address, *rest))
        return servers

    async def _answer_ready(self, request: HttpRequest) -> HttpAnswer:
        if self.is_ready():
            return text_answer("ready\n")
        return text_answer("not ready\n", 503)

    async def _drain(self, servers: list[asyncio.Server | HttpServer]) -> None:
        """Refuse new work and wait until peers are notified and all calls have ended.

        If a peer stream were closed while a call is still on its way to this node,
        the sending entry couldn't tell whether the call was run.
        """
        log_event(log, "node_draining", calls=len(self.entry.calls))
        self.draining = True
        notice_ms = self.settings.node.drain_notice_ms
        if not notice_ms:
            servers[0].close()
        self.gate.drain()
        self.control.leave()
        self.entry.drain(close_idle=not notice_ms)
        timeout_s = self.settings.node.drain_timeout_ms / MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(max(notice_ms, LEAVE_NOTICE_MS) / MS_PER_S)
                servers[0].close()
                self.entry.drain()
                await self._finish_calls()
        except TimeoutError:
            log_event(
                log,
                "drain_timeout",
                calls=len(self.entry.calls),
                unsent_bytes=self.unsent_bytes(),
            )
            self.entry.end_calls()
        exchanges = (server.finish(FLUSH_TIMEOUT_MS) for server in servers[2:])
        await asyncio.gather(self._flush(), *exchanges)
        servers[1].close()
        self.links.close()
        self.gate.close()
        log_event(
            log,
            "node_stopped",
            node=self.node,
            calls=len(self.entry.calls),
            unsent_bytes=self.unsent_bytes(),
        )

    async def _finish_calls(self) -> None:
        """Wait until all calls have ended and callers have their answers.

        A call may begin while another one is waited for, so all is checked again.
        """
        while self.entry.has_callers() or not self.gate.idle.is_set():
            await self.entry.idle.wait()
            await self.gate.idle.wait()
            await asyncio.sleep(FLUSH_POLL_MS / MS_PER_S)
        await self.claims.wait_settled()

    async def _flush(self) -> None:
        """Wait until callers and peers have the last bytes, for a limited time.

        A caller whose request isn't read whole has them once it closes its connection.
        """
        self.peer_streams.finish()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_MS / MS_PER_S):
                while self.entry.has_callers() or self.peer_streams.open:
                    await asyncio.sleep(FLUSH_POLL_MS / MS_PER_S)

    def unsent_bytes(self) -> int:
        """Return the bytes for callers and peers not yet passed to the kernel."""
        return self.entry.unsent_bytes() + self.peer_streams.unsent_bytes()

    def _register(self) -> None:
        announcement = self.gate.announcement
        leaving = self.gate.admission.leaving
        node = self.settings.node
        address = node.advertised_peer_address or node.peer_address
        self.control.register(
            Member(
                node=self.node,
                upstream=announcement.upstream,
                service=announcement.service,
                version=announcement.version,
                data_centre=self.settings.process.data_centre,
                host=address.host,
                port=address.port,
                slots=announcement.slots,
                connections=announcement.connections,
                leaving=leaving,
            ),
            announcement.boot,
        )

    def _check_announcement(self, now_ms: float) -> None:
        silent_ms = now_ms - self.announced_at_ms
        if silent_ms > ANNOUNCEMENT_TIMEOUT_MS and self.gate.lapse():
            self.control.leave()

    def _measure(self, now_ms: float) -> None:
        """Read the upstream's load report if it is due, else probe a peer.

        Reports and probes share one measuring budget.
        """
        if not self.gate.report_due(now_ms):
            self.entry.probe(now_ms)
        elif self.entry.spend_probe_budget(REPORT_COST_BYTES, now_ms):
            self.gate.read_report(now_ms)

    def _send_evidence(self, data: bytes) -> None:
        self.control.send(EvidenceReport(self.node, data))


def run_node(
    settings: Settings,
    dialect: Dialect = OWN_DIALECT,
    make_handler: MakeHandler = make_admin_handler,
    file: SettingsFile | None = None,
) -> int:
    """Run a node until it is stopped, and return the exit code."""
    make_node = partial(Node, dialect=dialect, make_handler=make_handler)
    return run_daemon(settings, make_node, file)
