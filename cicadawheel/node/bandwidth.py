"""Tells the gate and the entry of a node how busy the link of its VM is."""

from cicadawheel.entry.entry import Entry
from cicadawheel.entry.peers import PeerLinks
from cicadawheel.gate.gate import Gate
from cicadawheel.gate.server import PeerStreams
from cicadawheel.timer import TimerService

MEASURE_INTERVAL_MS = 100.0


class LinkWatch:
    """Counts what the node's streams and the answers to its callers send and receive.

    Requests of callers aren't counted, as their bodies are small beside the answers.

    Parameters
    ----------
    entry : Entry
        Has the meter, and counts the bytes of answers.
    gate : Gate
        Reports the use to other nodes.
    links : PeerLinks
        The streams to other nodes.
    streams : PeerStreams
        The streams from other nodes.
    """

    def __init__(
        self, entry: Entry, gate: Gate, links: PeerLinks, streams: PeerStreams
    ):
        self.entry = entry
        self.gate = gate
        self.links = links
        self.streams = streams

    def start(self, timers: TimerService) -> None:
        """Measure from now on, if the rate of the link is known."""
        if self.entry.transfers.link.link_mbps:
            timers.every(MEASURE_INTERVAL_MS, self.measure)

    def measure(self, now_ms: float) -> None:
        """Update the use, and push the gate's load if that has changed much."""
        streams = [*self.links.streams(), *self.streams.open]
        sent_bytes = sum(stream.sent_bytes for stream in streams)
        received_bytes = sum(stream.received_bytes for stream in streams)
        sent_bytes += self.entry.transfers.relayed_bytes
        self.entry.transfers.link.update(sent_bytes, received_bytes, now_ms)
        self.gate.link_use = self.entry.transfers.link.use
        self.gate.publisher.push()
