"""Connections that send on behind their refusals leave room for ordinary callers."""

from random import Random

from cicadawheel.http.refused_pace import RefusedPace

STEP_S = 0.01
SLOTS_A_STEP = 4
CONNECTIONS = 100
AHEAD = 32
ORDINARY_TRIES = 200


class NoPace:
    """Reads on at once."""

    def answered(self, status):
        pass

    def read(self, now_s):
        pass

    def wait_s(self, now_s):
        return 0.0


def play(make_pace):
    """Return how many tries of an ordinary caller, one in 0.1 s, are served."""
    random = Random(1)
    paces = [make_pace() for _ in range(CONNECTIONS)]
    served = 0
    for step in range(ORDINARY_TRIES * 10):
        now_s = step * STEP_S
        offers = []
        for pace in paces:
            for _ in range(AHEAD):
                if not pace.wait_s(now_s):
                    pace.read(now_s)
                    offers.append(pace)
        if step % 10 == 0:
            offers.append(None)
        random.shuffle(offers)
        for place, pace in enumerate(offers):
            if pace is not None:
                pace.answered(200 if place < SLOTS_A_STEP else 503)
            elif place < SLOTS_A_STEP:
                served += 1
    return served


def test_ordinary_caller_is_served_beside_requests_sent_ahead():
    assert play(NoPace) < 0.05 * ORDINARY_TRIES
    assert play(RefusedPace) > 0.5 * ORDINARY_TRIES


def test_connection_that_is_served_half_the_time_is_not_delayed():
    pace = RefusedPace()
    for status in (503, 503, 503, 200, 200, 200) * 50:
        pace.answered(status)
        pace.read(0.0)
        assert pace.wait_s(0.0) == 0.0
