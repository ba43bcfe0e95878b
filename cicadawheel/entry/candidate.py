"""The load of one upstream, as known and estimated by an entry."""

from cicadawheel.configuration import Member
from cicadawheel.messages import LoadReport

AVERAGE_WEIGHT = 0.05
MAX_OTHERS_PER_OWN = 8.0
SERVICE_TIME_HALF_LIFE_MS = 2_000.0
UNKNOWN_SERVICE_TIME_MS = 1.0
EXCLUSION_MS = 1_000.0
# A gate's repeat budget changes as its window advances, so older reports are ignored.
REPEAT_REPORT_VALID_MS = 1_000.0
# The cost of utilisation, in service times. It rises slowly, since calls hardly queue
# before all slots are taken, whereas a slow upstream delays every call.
UTILISATION_COST = 0.5
QUEUE_COST = 0.3
# The extra cost of a nearly full upstream, so that more distant ones get calls before
# it is full. More distant ones are considered from the same utilisation on.
SPILL_COST = 0.7
SPILL_START_UTILISATION = 0.75
SPILL_END_UTILISATION = 0.9


class Candidate:
    """An upstream, and this entry's estimate of its load.

    Parameters
    ----------
    member : Member
        The registration of the upstream.
    """

    __slots__ = (
        "closed_until_ms",
        "load",
        "load_at_ms",
        "member",
        "own_in_flight",
        "service_time_at_ms",
        "trust",
        "_work_at_ms",
        "_work_ms",
        "_average_others",
        "_average_own",
        "_others",
        "_sent_since",
    )

    def __init__(self, member: Member):
        self.member = member
        self.load: LoadReport | None = None
        self.load_at_ms = 0.0
        self.service_time_at_ms = 0.0
        self.own_in_flight = 0
        self.closed_until_ms = 0.0
        self.trust = 1.0
        self._work_ms = 0.0
        self._work_at_ms = 0.0
        self._others = 0.0
        self._sent_since = 0
        self._average_others = 0.0
        self._average_own = 0.0

    def started(self) -> None:
        """Record that a call was dispatched."""
        self.own_in_flight += 1
        self._sent_since += 1

    def ended(self) -> None:
        """Record that a call has ended."""
        self.own_in_flight = max(0, self.own_in_flight - 1)

    def observe(self, load: LoadReport, now_ms: float) -> None:
        """Record a load report from its gate."""
        self._work_ms = self.work_done_ms(now_ms)
        self._work_at_ms = now_ms
        before = self.load
        if before is None or before.service_time_ms != load.service_time_ms:
            self.service_time_at_ms = now_ms
        self.load = load
        self.load_at_ms = now_ms
        self._sent_since = 0
        self._others = max(0.0, load.in_flight + load.queued - self.own_in_flight)
        self._average_others += AVERAGE_WEIGHT * (self._others - self._average_others)
        own = self.own_in_flight
        self._average_own += AVERAGE_WEIGHT * (own - self._average_own)

    def close(self, now_ms: float) -> None:
        """Exclude it for `EXCLUSION_MS`, as its gate takes no new work."""
        self.closed_until_ms = now_ms + EXCLUSION_MS

    def is_open(self, now_ms: float) -> bool:
        """Return whether its gate is assumed to take new work."""
        if self.load is not None and self.load.leaving:
            return False
        return now_ms >= self.closed_until_ms

    def capacity(self) -> float:
        """Return the estimated number of calls that it can run concurrently."""
        if self.load is None:
            return max(1.0, self.member.slots * self.trust)
        return max(1.0, self.load.limit * self.load.cold_share * self.trust)

    def work_done_ms(self, now_ms: float) -> float:
        """Return the work that one slot has done so far, by the reported slowness.

        The difference between two calls is the work done in between, in ms at the
        usual speed.
        """
        passed_ms = now_ms - self._work_at_ms
        return self._work_ms + passed_ms / max(1.0, self.slowness)

    @property
    def slowness(self) -> float:
        """The factor by which work takes longer than usual, as last reported."""
        return 1.0 if self.load is None else self.load.slowness

    @property
    def failure_share(self) -> float:
        """The share of recent requests that it has failed, as last reported."""
        return 0.0 if self.load is None else self.load.failure_share

    @property
    def shed_share(self) -> float:
        """The share of recent requests that it has declined, as last reported."""
        return 0.0 if self.load is None else self.load.shed_share

    @property
    def link_use(self) -> float:
        """The fraction of its VM's link that is in use, as last reported."""
        return 0.0 if self.load is None else self.load.link_use

    def calls(self) -> float:
        """Return the calls of the last report and those dispatched since."""
        if self.load is None:
            return float(self.own_in_flight)
        reported = self.load.in_flight + self.load.queued + self._sent_since
        return float(max(reported, self.own_in_flight))

    def has_free_slot(self) -> bool:
        """Return whether one more call is expected to find a free slot."""
        return self.calls() + 1.0 <= self.capacity()

    def may_repeat(self, now_ms: float) -> bool:
        """Return whether its gate is assumed to have repeat budget left."""
        if self.load is None or now_ms - self.load_at_ms > REPEAT_REPORT_VALID_MS:
            return True
        return self.load.may_repeat

    def in_flight(self, now_ms: float, half_life_ms: float) -> float:
        """Return the estimated number of its calls.

        The other entries' calls in the last report decay towards their average. Other
        entries are assumed to have dispatched calls since in proportion to this one.
        """
        weight = 0.5 ** ((now_ms - self.load_at_ms) / half_life_ms)
        others = weight * self._others + (1.0 - weight) * self._average_others
        others_since = self._sent_since * self._others_per_own()
        return self.own_in_flight + others + weight * others_since

    def use(self, now_ms: float, half_life_ms: float) -> float:
        """Return its estimated utilisation, as a fraction of the capacity."""
        return self.in_flight(now_ms, half_life_ms) / self.capacity()

    def reported_use(self) -> float:
        """Return its utilisation by the last report, as a fraction of the limit."""
        if self.load is None:
            return 0.0
        return (self.load.in_flight + self.load.queued) / max(1, self.load.limit)

    def service_time_ms(self, usual_ms: float, now_ms: float) -> float:
        """Return its service time; an old one decays towards the usual one."""
        if self.load is None or not self.load.service_time_ms:
            return usual_ms or UNKNOWN_SERVICE_TIME_MS
        age_ms = now_ms - self.service_time_at_ms
        weight = 0.5 ** (age_ms / SERVICE_TIME_HALF_LIFE_MS)
        return usual_ms + weight * (self.load.service_time_ms - usual_ms)

    def cost_ms(self, usual_ms: float, now_ms: float, half_life_ms: float) -> float:
        """Return the expected time of a call, including queueing."""
        use = self.use(now_ms, half_life_ms)
        time_ms = self.service_time_ms(usual_ms, now_ms)
        return time_ms * (1.0 + _utilisation_cost(use))

    def _others_per_own(self) -> float:
        if self._average_own <= 0.0:
            return 0.0
        return min(MAX_OTHERS_PER_OWN, self._average_others / self._average_own)


def _utilisation_cost(use: float) -> float:
    """Return the expected delay beyond a call's own time, in service times."""
    nearly_full = (use - SPILL_START_UTILISATION) / (
        SPILL_END_UTILISATION - SPILL_START_UTILISATION
    )
    spill = SPILL_COST * min(1.0, max(0.0, nearly_full))
    return UTILISATION_COST * use + QUEUE_COST * use**2 + spill
