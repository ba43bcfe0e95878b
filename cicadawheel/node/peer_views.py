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

ASK_INTERVAL_MS = 500.0
PEERS_ASKED = 3


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
        self._asked: list[Member] = []
        timers.every(ASK_INTERVAL_MS, self._ask)

    def _ask(self, now_ms: float) -> None:
        if self.control.connected:
            self._asked = []
            return
        members = self.control.view.members
        if not all(member.node in members for member in self._asked):
            self._asked = []
        if not self._asked:
            self._asked = self._choose(list(members.values()))
        request = ViewRequest(self.control.view.index)
        for member in self._asked:
            self.links.link(member).send(request)

    def _choose(self, members: list[Member]) -> list[Member]:
        """Return up to `PEERS_ASKED` other nodes, from distinct data centres first."""
        others = [member for member in members if member.node != self.control.node]
        self.random.shuffle(others)
        first_of = {member.data_centre: member for member in others}
        first = list(first_of.values())
        rest = [member for member in others if member not in first]
        return (first + rest)[:PEERS_ASKED]
