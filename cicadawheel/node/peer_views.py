"""Fetches views from other nodes while control is unreachable.

While the stream to control is lost, the node polls a few other nodes for their view.
So a node that is partitioned from all control replicas, but not from callers, still
learns of a data centre that is taken out or a version that is withdrawn.
"""

from random import Random

from cicadawheel.configuration import Member
from cicadawheel.entry.peers import PeerLinks
from cicadawheel.messages import ViewRequest
from cicadawheel.node.link import ControlLink
from cicadawheel.timer import TimerService

POLL_INTERVAL_MS = 500.0
POLLED_PEERS_LIMIT = 3


class PeerViews:
    """Polls other nodes for their view while control is unreachable.

    Parameters
    ----------
    control : ControlLink
        The stream to control, which also holds the view.
    links : PeerLinks
        The streams to other nodes.
    random : Random
        Random source for the choice of nodes.
    timers : TimerService
        Schedules the polling.
    """

    def __init__(
        self,
        control: ControlLink,
        links: PeerLinks,
        random: Random,
        timers: TimerService,
    ):
        self.control = control
        self.links = links
        self.random = random
        self._polled: list[Member] = []
        timers.every(POLL_INTERVAL_MS, self._poll)

    def _poll(self, now_ms: float) -> None:
        if self.control.connected:
            self._polled = []
            return
        members = self.control.view.members
        if not all(member.node in members for member in self._polled):
            self._polled = []
        if not self._polled:
            self._polled = self._choose(list(members.values()))
        request = ViewRequest(self.control.view.index)
        for member in self._polled:
            self.links.link(member).send(request)

    def _choose(self, members: list[Member]) -> list[Member]:
        """Return the nodes to poll, from distinct data centres first."""
        others = [member for member in members if member.node != self.control.node]
        self.random.shuffle(others)
        by_data_centre = {member.data_centre: member for member in others}
        distinct = list(by_data_centre.values())
        rest = [member for member in others if member not in distinct]
        return (distinct + rest)[:POLLED_PEERS_LIMIT]
