"""A model of three data centres with uneven demand, upstreams and entries."""

from bisect import bisect
from collections import Counter

from news_fleet import TARGET_MS, WORK_MS, NewsFleet, make_member

from cicadawheel.entry.flow_watch import INTERVAL_MS
from cicadawheel.entry.placement import CallProfile
from cicadawheel.messages import RefusalReason

CENTRES = ("d0", "d1", "d2")
UPSTREAMS = (23, 9, 20)
DEMAND = (0.27, 0.38, 0.35)
ENTRIES = 25
ANSWER_BYTES = 5_000.0
LOST_AFTER_MS = 900.0
BUCKET_MS = 1_000.0


class LocalityFleet(NewsFleet):
    """Counts calls by their data centre, and those that leave it, in each second."""

    profile = CallProfile(WORK_MS, answer_bytes=ANSWER_BYTES, target_ms=TARGET_MS)

    def __init__(self, seed):
        self.lost = None
        self.far_reports = 0
        self.away, self.calls = Counter(), Counter()
        self.arrivals, self.good = Counter(), Counter()
        super().__init__(seed, gates=sum(UPSTREAMS), entries=ENTRIES)

    def place_of_entry(self, number):
        centre = bisect((0.27, 0.65), (number + 0.5) / ENTRIES)
        return sum(UPSTREAMS[:centre]) + number % UPSTREAMS[centre], CENTRES[centre]

    def make_member(self, number):
        centre = CENTRES[bisect((UPSTREAMS[0], UPSTREAMS[0] + UPSTREAMS[1]), number)]
        return make_member(number, centre)

    def choose_entry(self):
        centres = [one for one in CENTRES if one != self.lost]
        weights = [DEMAND[CENTRES.index(one)] for one in centres]
        centre = self.draw.choices(centres, weights)[0]
        entries = [one for one in self.routers if one.data_centre == centre]
        return self.draw.choice(entries)

    def run(self, calls_per_s, seconds):
        self.at(INTERVAL_MS, self.review)
        return super().run(calls_per_s, seconds)

    def review(self, now_ms):
        """Let each entry change the upstreams that it hears of."""
        for router in self.routers:
            if router.review_subsets():
                for heard in self.listeners.values():
                    if router in heard:
                        heard.remove(router)
                for member in router.used_members():
                    self.listeners[member.node].append(router)
        self.at(now_ms + INTERVAL_MS, self.review)

    def _arrive(self, calls_per_s, now_ms):
        self.arrivals[int(now_ms / BUCKET_MS)] += 1
        super()._arrive(calls_per_s, now_ms)

    def lose(self, centre, now_ms):
        """Silence a data centre; its callers go to the others."""
        self.lost = centre
        for gate in self.gates.values():
            if self.centre_of(gate) != centre:
                continue
            for call in list(gate.calls.values()):
                self.at(now_ms + LOST_AFTER_MS, self.lost_call, call, gate)

    def lost_call(self, call, gate, now_ms):
        call.router.ended(gate.node, None, now_ms)
        call.router.refused(gate.node, RefusalReason.PEER_LOST, now_ms)
        self.ends["lost"] += 1

    def centre_of(self, gate):
        return self.routers[0].member(gate.node).data_centre

    def report(self, gate, router, load, now_ms):
        if self.lost not in (self.centre_of(gate), router.data_centre):
            self.far_reports += self.centre_of(gate) != router.data_centre
            super().report(gate, router, load, now_ms)

    def offer(self, call, gate, now_ms):
        if self.lost == self.centre_of(gate):
            self.at(now_ms + LOST_AFTER_MS, self.lost_call, call, gate)
        else:
            gate.offer(call, now_ms)

    def answered(self, call, gate, failed, now_ms):
        if self.lost in (self.centre_of(gate), call.router.data_centre):
            return
        super().answered(call, gate, failed, now_ms)
        second = int(call.started_ms / BUCKET_MS)
        self.calls[call.router.data_centre, second] += 1
        far = self.centre_of(gate) != call.router.data_centre
        self.away[call.router.data_centre, second] += far
        self.good[second] += now_ms - call.started_ms <= TARGET_MS

    def refused(self, call, gate, reason, now_ms):
        if self.lost not in (self.centre_of(gate), call.router.data_centre):
            super().refused(call, gate, reason, now_ms)

    def share_away(self, centre=None, seconds=None):
        """Return the share of calls that left their data centre."""
        keys = [
            (name, second)
            for name, second in self.calls
            if centre in (None, name) and second in (seconds or (second,))
        ]
        return sum(map(self.away.get, keys)) / sum(map(self.calls.get, keys))
