"""The other nodes of this node's service, which hear of crashes."""

from cicadawheel.configuration import Member
from cicadawheel.control.messages import SuspectReport
from cicadawheel.entry.peers import PeerLinks
from cicadawheel.gate.gate import Gate
from cicadawheel.ids import Fingerprint, NodeId
from cicadawheel.messages import CrashNotice
from cicadawheel.node.link import ControlLink


class ServicePeers:
    """Reaches the other gates of the service, and control.

    Parameters
    ----------
    gate : Gate
        The gate of this node, which names the service.
    links : PeerLinks
        The streams to other nodes.
    control : ControlLink
        Knows the members.
    """

    def __init__(self, gate: Gate, links: PeerLinks, control: ControlLink):
        self.gate = gate
        self.links = links
        self.control = control

    def testers(self) -> list[NodeId]:
        """Return the other nodes of the service that may run a suspect."""
        configuration = self.gate.configuration
        return [
            member.node
            for member in self._others()
            if not member.leaving
            and configuration.takes_new_work(member.data_centre)
            and not configuration.is_withdrawn(member.service, member.version)
        ]

    def notify(self, notice: CrashNotice) -> None:
        """Tell the other gates of a crash or the end of a test."""
        for member in self._others():
            self.links.link(member).send(notice)

    def condemn(self, fingerprint: Fingerprint, reason: str) -> None:
        """Have a request refused everywhere."""
        service = self.gate.announcement.service
        self.control.send(SuspectReport(service, fingerprint, reason))

    def _others(self) -> list[Member]:
        known = self.gate.announcement
        if known is None:
            return []
        return [
            member
            for member in self.control.view.members.values()
            if member.service == known.service and member.node != self.control.node
        ]
