"""Text reports of releases, nodes and replicas."""

from cicadawheel.answers.text import percent_text
from cicadawheel.configuration import Configuration, ReleaseRule
from cicadawheel.operator import ControlStatus, MissingNode, NodeStatus, ReplicaStatus
from cicadawheel.operator.times import time_text

NO_LEADER = "no replica hears from a leader: what is shown may be old"
NO_NODE = "no node is registered"


def release_line(release: ReleaseRule) -> str:
    """Return the progress of a release as text."""
    line = f"release {release.service} {release.version}: {release.state.value}"
    line += f", {percent_text(release.share)} of calls"
    if release.old_version:
        line += f", from {release.old_version}"
    line += f", deadline {time_text(release.deadline_at_ms)}"
    return f"{line}: {release.reason}" if release.reason else line


def configuration_lines(configuration: Configuration) -> list[str]:
    """Return the states of data centres, versions and releases."""
    lines = [
        f"data centre {rule.name}: {rule.state.value}"
        for rule in configuration.data_centres.values()
    ]
    for rule in configuration.services.values():
        version = rule.current_version or "any"
        lines.append(f"service {rule.name}: version {version}")
    lines += [release_line(release) for release in configuration.releases]
    for service, version in configuration.withdrawn:
        lines.append(f"withdrawn {service} {version}")
    return lines


def status_lines(status: ControlStatus) -> list[str]:
    """Return the nodes, and whether the newest revision is in force everywhere."""
    lines = [_node_line(node) for node in status.nodes] or [NO_NODE]
    if status.leader is None:
        return [*lines, NO_LEADER, f"revision {status.revision} is the newest known"]
    if not status.missing:
        return [*lines, f"revision {status.revision} is in force everywhere"]
    lines.append(f"revision {status.revision} is missing at:")
    return [*lines, *map(_missing_line, status.missing)]


def replica_lines(status: ControlStatus) -> list[str]:
    """Return the leader and the replicas."""
    leader = status.leader or "none"
    lines = [f"leader {leader}, term {status.term}, answered by {status.replica}"]
    if status.standing:
        lines.append(f"replica {status.replica} takes no part: {status.standing}")
    if status.leader is None:
        lines.append(NO_LEADER)
    lines += map(_replica_line, status.replicas)
    return [*lines, f"repair: {status.repair}"] if status.repair else lines


def _node_line(node: NodeStatus) -> str:
    line = f"node {node.node}: {node.service} {node.version} at {node.data_centre}"
    line += f", upstream {node.upstream}, revision {node.revision_in_force}"
    line += f", heard {node.last_heard_ms} ms ago"
    return f"{line}, leaving" if node.leaving else line


def _missing_line(node: MissingNode) -> str:
    line = f"  {node.node}: has revision {node.revision_in_force}"
    return f"{line}, {node.reason}" if node.reason else line


def _replica_line(replica: ReplicaStatus) -> str:
    line = f"replica {replica.replica}: {replica.role.value}"
    if replica.address:
        line += f" at {replica.address}"
    if replica.behind_entries is not None:
        line += f", {replica.behind_entries} entries behind"
    if replica.last_heard_ms is not None:
        line += f", heard {replica.last_heard_ms} ms ago"
    return line
