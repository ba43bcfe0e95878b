"""The time that large answers take on the links of VMs, and how busy a link is.

Does no I/O and reads no clock: byte counts are passed in with their time.
"""

from cicadawheel.entry.answer_size import AnswerSizes
from cicadawheel.timer import MS_PER_S

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000

LARGE_ANSWER_BYTES = 16_384.0
"""A smaller answer takes a few tens of ms even on a busy small link, and is not
delayed by waiting for others."""

USE_HALF_LIFE_MS = 500.0
"""Half-life of the measured use. It covers several large answers on a small link."""

MIN_FREE_SHARE = 0.1
"""The part of a link that a transfer gets at least, however busy the link is."""


class LinkMeter:
    """Measures the use of this VM's link, in its busier direction.

    Parameters
    ----------
    link_mbps : float
        The rate of the link, in each direction; 0 if it is unknown.
    """

    def __init__(self, link_mbps: float = 0.0):
        self.link_mbps = link_mbps
        self._at_ms: float | None = None
        self._before_bytes = (0, 0)
        self._uses = [0.0, 0.0]

    @property
    def use(self) -> float:
        """The fraction of the link in use, 0 if its rate is unknown."""
        return min(1.0, max(self._uses))

    def update(self, sent_bytes: int, received_bytes: int, now_ms: float) -> None:
        """Record the bytes sent and received so far.

        A count that has fallen, as a connection has ended, is a new start.
        """
        counted_bytes = (sent_bytes, received_bytes)
        passed_ms = 0.0 if self._at_ms is None else now_ms - self._at_ms
        if self.link_mbps and passed_ms > 0.0:
            kept = 0.5 ** (passed_ms / USE_HALF_LIFE_MS)
            for i in range(2):
                moved_bytes = max(0, counted_bytes[i] - self._before_bytes[i])
                use = self.transfer_ms(moved_bytes) / passed_ms
                self._uses[i] = kept * self._uses[i] + (1.0 - kept) * use
        self._at_ms, self._before_bytes = now_ms, counted_bytes

    def transfer_ms(self, size_bytes: float) -> float:
        """Return the time that some bytes take on the idle link."""
        if not self.link_mbps:
            return 0.0
        bits_per_ms = self.link_mbps * BITS_PER_MEGABIT / MS_PER_S
        return size_bytes * BITS_PER_BYTE / bits_per_ms

    def answer_ms(self, answer_bytes: float) -> float:
        """Return the time of an answer on the idle link, 0 unless it is large."""
        if answer_bytes < LARGE_ANSWER_BYTES:
            return 0.0
        return self.transfer_ms(answer_bytes)


class Transfers:
    """What an entry knows of the size of answers and of its VM's link.

    Parameters
    ----------
    link_mbps : float
        The rate of the link, 0 if it is unknown.
    """

    def __init__(self, link_mbps: float):
        self.sizes = AnswerSizes()
        self.link = LinkMeter(link_mbps)
        self.relayed_bytes = 0

    def add(self, route: str, relayed_bytes: int, good: bool) -> None:
        """Record the bytes of an answer; ``good`` if it is complete and no error."""
        self.relayed_bytes += relayed_bytes
        if good:
            self.sizes.add(route, relayed_bytes)

    def of_route(self, route: str) -> tuple[float, float, float]:
        """Return a route's answer size, its time on the idle link, and that's use."""
        answer_bytes = self.sizes.usual_bytes(route)
        return answer_bytes, self.link.answer_ms(answer_bytes), self.link.use


def delayed_ms(transfer_ms: float, own_use: float, other_use: float) -> float:
    """Return the time of a transfer between two VMs, by the busier of their links."""
    return transfer_ms / max(MIN_FREE_SHARE, 1.0 - max(own_use, other_use))
