"""Limits on the wait for a slot: in a burst, in an overload, and by deadline."""

import pytest

from cicadawheel.gate.admission import Admission
from cicadawheel.gate.decision import Result, Verdict
from cicadawheel.ids import BootId, Revision
from cicadawheel.messages import RefusalReason
from cicadawheel.settings import GateSettings

SLOTS = 2
SERVICE_MS = 300.0
SETTINGS = GateSettings(cold_share=1.0)
BURST_ADMITTED = [Verdict.ADMIT] * SLOTS + [Verdict.WAIT] * SLOTS


class Upstream:
    """Offers requests to an admission and answers them after a fixed time."""

    def __init__(self):
        self.admission = Admission(SETTINGS)
        self.admission.upstream_started(BootId("one"), SLOTS, 0.0)
        self.now_ms = 0.0
        self.ticket = 0
        self.running = {}
        self.refused = []
        self.waits = []
        self.learn_service_time()

    def learn_service_time(self):
        for _ in range(15):
            self.offer(60_000.0)
            self.advance(SERVICE_MS)

    def offer(self, deadline_ms):
        """Return the verdict on a new request."""
        self.ticket += 1
        deadline_at_ms = self.now_ms + deadline_ms
        decision = self.admission.offer(self.ticket, deadline_at_ms, self.now_ms)
        self.apply_decisions([decision])
        self.waits.append(self.admission.expected_wait_ms(self.now_ms))
        return decision.verdict

    def apply_decisions(self, decisions):
        for decision in decisions:
            if decision.verdict is Verdict.ADMIT:
                self.running[decision.ticket] = self.now_ms + SERVICE_MS
            elif decision.verdict is Verdict.REFUSE:
                self.refused.append(decision)

    def advance(self, duration_ms):
        """Advance the time and answer the requests that end meanwhile."""
        until_ms = self.now_ms + duration_ms
        while self.running and min(self.running.values()) <= until_ms:
            ticket = min(self.running, key=self.running.get)
            self.now_ms = self.running.pop(ticket)
            self.apply_decisions(
                self.admission.finish(ticket, Result.ANSWERED, self.now_ms)
            )
        self.now_ms = until_ms
        self.apply_decisions(self.admission.tick(self.now_ms))


@pytest.fixture
def upstream():
    return Upstream()


def offer_burst(upstream):
    """Offer twice as many requests as there are slots; return the verdicts."""
    return [upstream.offer(2_000.0) for _ in range(2 * SLOTS)]


def offer_twice_the_capacity(upstream, duration_ms):
    ends_ms = upstream.now_ms + duration_ms
    while upstream.now_ms < ends_ms:
        upstream.offer(2_000.0)
        upstream.advance(SERVICE_MS / SLOTS / 2)


def test_burst_is_queued_while_deadlines_allow(upstream):
    assert offer_burst(upstream) == BURST_ADMITTED
    upstream.advance(2 * SERVICE_MS)
    assert not upstream.refused
    assert not upstream.running


def test_long_deadline_allows_a_longer_wait(upstream):
    for _ in range(5 * SLOTS):
        assert upstream.offer(60_000.0) is not Verdict.REFUSE
    assert upstream.offer(1_000.0) is Verdict.REFUSE
    assert upstream.offer(60_000.0) is Verdict.WAIT
    upstream.advance(6 * SERVICE_MS)
    assert len(upstream.refused) == 1


def test_request_whose_expected_wait_exceeds_its_share_is_refused_at_once(upstream):
    for _ in range(SLOTS):
        upstream.offer(2_000.0)
    least_ms = SERVICE_MS / SLOTS / SETTINGS.queue_share
    assert upstream.offer(least_ms - 1.0) is Verdict.REFUSE
    assert upstream.refused[-1].reason is RefusalReason.OVERLOAD
    assert upstream.offer(least_ms + 1.0) is Verdict.WAIT


def test_lasting_overload_shortens_the_queue(upstream):
    longest_ms = max(SETTINGS.overload_wait_ms, 2_000.0 * SETTINGS.overload_share)
    one_more_ms = SERVICE_MS / SLOTS
    offer_twice_the_capacity(upstream, 2 * SETTINGS.queue_burst_ms)
    assert max(upstream.waits) > longest_ms + one_more_ms
    upstream.waits.clear()
    offer_twice_the_capacity(upstream, 2 * SETTINGS.queue_burst_ms)
    assert max(upstream.waits) <= longest_ms + one_more_ms
    assert len(upstream.running) == SLOTS


def test_burst_is_queued_again_after_the_queue_was_empty(upstream):
    offer_twice_the_capacity(upstream, 4 * SETTINGS.queue_burst_ms)
    assert offer_burst(upstream) != BURST_ADMITTED
    upstream.advance(5 * SERVICE_MS)
    assert offer_burst(upstream) == BURST_ADMITTED


def test_queued_request_is_refused_after_its_share(upstream):
    for _ in range(SLOTS):
        upstream.offer(60_000.0)
    assert upstream.offer(1_000.0) is Verdict.WAIT
    upstream.running.clear()
    upstream.advance(1_000.0 * SETTINGS.queue_share)
    assert upstream.refused[-1].reason is RefusalReason.QUEUE_DEADLINE


def test_request_leaves_the_queue_of_a_stalled_upstream_in_time_to_try_another(
    upstream,
):
    for _ in range(SLOTS):
        upstream.offer(60_000.0)
    assert upstream.offer(10_000.0) is Verdict.WAIT
    upstream.running.clear()
    upstream.advance(10_000.0 * SETTINGS.overload_share)
    assert upstream.refused[-1].reason is RefusalReason.QUEUE_DEADLINE


def test_one_answer_after_a_pause_resets_the_recent_service_time(upstream):
    upstream.advance(5_000.0)
    upstream.offer(1_000.0)
    upstream.now_ms += 5.0
    upstream.admission.finish(upstream.ticket, Result.ANSWERED, upstream.now_ms)
    load = upstream.admission.load(Revision(1), upstream.now_ms)
    assert load.service_time_ms < 2 * 5.0
