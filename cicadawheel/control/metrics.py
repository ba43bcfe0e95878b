"""The Prometheus metrics of a control replica."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from cicadawheel.control.command import OutcomeState
from cicadawheel.control.replica.status import RepairState, ReplicaStatus
from cicadawheel.control.server import ControlServer
from cicadawheel.timer import MS_PER_S

GAUGES = {
    "cicadawheel_revision": "Revision of the newest configuration.",
    "cicadawheel_control_has_leader": "1 while the replica hears from a leader.",
    "cicadawheel_control_leaderless_seconds": "Time without a leader, 0 if it has one.",
    "cicadawheel_control_leads": "1 while the replica leads.",
    "cicadawheel_control_whole": "1 while all replicas vote and hold every entry.",
    "cicadawheel_control_term": "Term of the log.",
    "cicadawheel_control_commit_index": "Last entry known to be committed.",
    "cicadawheel_control_applied_index": "Last entry that was applied.",
    "cicadawheel_control_apply_lag_seconds": "Age of the oldest unapplied entry.",
    "cicadawheel_control_snapshot_index": "Last entry that the snapshot covers.",
    "cicadawheel_control_voters": "Replicas that vote.",
    "cicadawheel_control_write_seconds": "Duration of the current write, or 0.",
    "cicadawheel_control_dropped_messages": "Messages to replicas that were dropped.",
    "cicadawheel_control_ignored_messages": "Messages of replicas that were ignored.",
    "cicadawheel_control_nodes": "Nodes that are connected to the replica.",
    "cicadawheel_control_members": "Upstreams that are registered.",
    "cicadawheel_control_missing": "Nodes without the newest revision.",
    "cicadawheel_control_claims": "Claims that are held.",
    "cicadawheel_control_answer_bytes": "Bytes of the answers kept for resends.",
}


class ControlMetrics:
    """The gauges and counters of a replica, in a separate registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.commands = Counter(
            "cicadawheel_control_commands",
            "Operators' commands that were answered, by outcome.",
            ["state"],
            registry=self.registry,
        )
        self.gauges = {
            name: Gauge(name, text, registry=self.registry)
            for name, text in GAUGES.items()
        }

    def count_command(self, state: OutcomeState) -> None:
        """Count an answered operator command."""
        self.commands.labels(state.value).inc()

    def update(self, server: ControlServer, own_status: ReplicaStatus | None) -> None:
        """Update the gauges.

        Parameters
        ----------
        server : ControlServer
            The replica that is observed.
        own_status : ReplicaStatus or None
            Its status in the replicated log, None for an in-memory log.
        """
        leader = server.log.leader
        self._set("has_leader", leader is not None)
        self._set("leads", leader == server.replica)
        self._set("apply_lag_seconds", server.log.apply_lag_ms() / MS_PER_S)
        self._update_state(server)
        if own_status is not None:
            self._update_log(own_status)

    def _update_state(self, server: ControlServer) -> None:
        state = server.state
        revision = state.configuration.revision
        now_ms = server.clock.now_ms()
        server.sync_leases()
        missing = server.leases.missing_nodes(revision, now_ms)
        self.gauges["cicadawheel_revision"].set(revision)
        self._set("nodes", len(server.sessions))
        self._set("members", len(state.members))
        self._set("missing", len(missing))
        self._set("claims", len(state.claims.claims))
        self._set("answer_bytes", state.claims.answers_size_bytes)

    def _update_log(self, own_status: ReplicaStatus) -> None:
        self._set("whole", own_status.repair is RepairState.WHOLE)
        self._set("term", own_status.term)
        self._set("commit_index", own_status.commit_index)
        self._set("applied_index", own_status.applied_index)
        self._set("snapshot_index", own_status.snapshot_index)
        self._set("voters", len(own_status.voters))
        self._set("leaderless_seconds", own_status.leaderless_ms / MS_PER_S)
        self._set("write_seconds", own_status.write_ms / MS_PER_S)
        self._set("dropped_messages", own_status.dropped_messages)
        self._set("ignored_messages", own_status.ignored_messages)

    def _set(self, name: str, value: float) -> None:
        self.gauges[f"cicadawheel_control_{name}"].set(value)
