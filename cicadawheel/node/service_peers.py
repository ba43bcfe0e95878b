"""Sends crash notices to the other nodes of this node's service."""

from cicadawheel.configuration import Member
from cicadawheel.control.messages import SuspectReport
from cicadawheel.entry.peers import PeerLinks
from cicadawheel.gate.gate import Gate
from cicadawheel.ids import Fingerprint, NodeId
from cicadawheel.messages import CrashNotice
from cicadawheel.node.link import ControlLink


class ServicePeers:
    """Access to the other gates of the service, and to control.

    Parameters
    ----------
    gate : Gate
        The gate of this node, whose announcement gives the service.
    links : PeerLinks
        The streams to other nodes.
    control : ControlLink
        The stream to control, which holds the members.
    """

    def __init__(self, gate: Gate, links: PeerLinks, control: ControlLink):
        self.gate = gate
        self.links = links
        self.control = control

    def testers(self) -> list[NodeId]:
        """Return the other nodes of the service that may test a suspect request.

        Those of the current version come first: another one may be the one at fault.
        """
        configuration = self.gate.configuration
        allowed = [
            member
            for member in self._others()
            if not member.leaving
            and configuration.takes_new_work(member.data_centre)
            and configuration.may_run(member.service, member.version)
        ]
        current = [
            member
            for member in allowed
            if member.version == configuration.services[member.service].current_version
        ]
        return [member.node for member in current or allowed]

    def notify(self, notice: CrashNotice) -> None:
        """Notify the other gates of a crash or the end of a test."""
        for member in self._others():
            self.links.link(member).send(notice)

    def condemn(self, fingerprint: Fingerprint, reason: str) -> None:
        """Report a request to control, to be quarantined on all nodes."""
        service = self.gate.announcement.service
        self.control.send(SuspectReport(service, fingerprint, reason))

    def _others(self) -> list[Member]:
        announcement = self.gate.announcement
        if announcement is None:
            return []
        return [
            member
            for member in self.control.view.members.values()
            if member.service == announcement.service
            and member.node != self.control.node
        ]
