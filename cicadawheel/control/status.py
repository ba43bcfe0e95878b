"""The status of control and of the nodes, for operators."""

from cicadawheel.configuration import DataCentreState, Member
from cicadawheel.control.lease import LeaseTable
from cicadawheel.control.replica.status import ReplicaStatus
from cicadawheel.control.replicas import describe_replicas, describe_standing
from cicadawheel.control.server import ControlServer
from cicadawheel.ids import DataCentreName, Revision, Term
from cicadawheel.move import move_progress
from cicadawheel.operator import ControlStatus, DrainStatus, MissingNode, NodeStatus

NEVER_HEARD_MS = -1


def describe_control(
    server: ControlServer, own_status: ReplicaStatus | None
) -> ControlStatus:
    """Return the status as known to one replica.

    Parameters
    ----------
    server : ControlServer
        The replica that answers.
    own_status : ReplicaStatus or None
        Its status in the replicated log, None for an in-memory log.
    """
    server.sync_leases()
    state = server.state
    now_ms = server.clock.now_ms()
    revision = state.configuration.revision
    missing = server.leases.missing_nodes(revision, now_ms)
    return ControlStatus(
        replica=server.replica,
        leader=server.log.leader,
        term=Term(0) if own_status is None else own_status.term,
        revision=revision,
        replicas=() if own_status is None else describe_replicas(own_status),
        repair="" if own_status is None else own_status.repair.value,
        standing="" if own_status is None else describe_standing(own_status),
        nodes=tuple(
            _describe_node(member, server.leases, now_ms)
            for member in state.members.values()
        ),
        missing=tuple(
            MissingNode(node.node, node.in_force, node.reason.value) for node in missing
        ),
        draining=tuple(
            _describe_drain(server, missing, rule.name)
            for rule in state.configuration.data_centres.values()
            if rule.state is DataCentreState.OUT
        ),
    )


def _describe_drain(
    server: ControlServer, missing: tuple, data_centre: DataCentreName
) -> DrainStatus:
    state = server.state
    progress = move_progress(
        state.configuration,
        state.members.values(),
        server.leases.loads(server.clock.now_ms()),
        missing,
        data_centre,
    )
    return DrainStatus(data_centre, progress.in_flight, progress.unknown)


def _describe_node(member: Member, leases: LeaseTable, now_ms: float) -> NodeStatus:
    lease = leases.status(member.node, now_ms)
    return NodeStatus(
        node=member.node,
        upstream=member.upstream,
        service=member.service,
        version=member.version,
        data_centre=member.data_centre,
        revision_in_force=Revision(0) if lease is None else lease.in_force,
        last_heard_ms=NEVER_HEARD_MS if lease is None else int(lease.silent_ms),
        leaving=member.leaving,
    )
