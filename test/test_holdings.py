"""The account of held bytes, played with clients that stall and clients that don't."""

import pytest

from cicadawheel.holdings import ORDINARY_BYTES, EndReason, HoldingKind, Holdings
from cicadawheel.settings import HoldingSettings

LIMIT_BYTES = 10_000_000
STEP_MS = 500.0
SETTINGS = HoldingSettings(LIMIT_BYTES, 128, 5_000.0)


class Clock:
    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        return self.at_ms


class Client:
    """Sends a body at a rate, stops at ``stops_at``, and is done at its end."""

    def __init__(self, account, size_bytes, rate_bytes_per_s, stops_at=None):
        self.size_bytes = size_bytes
        self.rate_bytes_per_s = rate_bytes_per_s
        self.stops_at = size_bytes if stops_at is None else stops_at
        self.sent_bytes = 0
        self.paused = False
        self.reason = None
        self.holding = account.open(HoldingKind.CALLER, "c", self)
        self.holding.expect(True)

    @property
    def done(self):
        return self.sent_bytes == self.size_bytes

    def send(self):
        if self.done or self.reason or self.paused:
            return
        moved = self.rate_bytes_per_s * STEP_MS / 1_000.0
        moved = int(min(moved, self.stops_at - self.sent_bytes))
        self.sent_bytes += moved
        self.holding.move(moved)
        self.holding.hold(self.sent_bytes)
        if self.done:
            self.holding.release()

    def pause_holding(self):
        self.paused = True

    def resume_holding(self):
        self.paused = False

    def end_holding(self, reason):
        self.reason = reason


@pytest.fixture
def account():
    return Holdings(SETTINGS, Clock())


def play(account, clients, seconds):
    """Let all clients send for a time; return the most that was held."""
    most_bytes = 0
    for _ in range(int(seconds * 1_000 / STEP_MS)):
        account.clock.at_ms += STEP_MS
        for client in clients:
            client.send()
            most_bytes = max(most_bytes, account.total_bytes)
        account.check(account.clock.at_ms)
    return most_bytes


def test_stalled_bodies_give_way_to_ordinary_ones(account):
    # Without an account the 300 bodies are 299 MB of a limit of 10.
    stalled = [Client(account, 1_000_000, 10_000_000, 999_999) for _ in range(300)]
    most_bytes = play(account, stalled, 3)
    ordinary = [Client(account, 10_000, 5_000) for _ in range(50)]
    most_bytes = max(most_bytes, play(account, stalled + ordinary, 20))
    assert most_bytes <= LIMIT_BYTES
    assert all(client.done for client in ordinary)
    assert all(client.reason for client in stalled)
    assert account.total_bytes == 0


def test_slow_large_upload_inside_the_limits_is_served(account):
    uploads = [Client(account, 1_000_000, 50_000) for _ in range(4)]
    play(account, uploads, 25)
    assert all(client.done for client in uploads)


def test_slowest_are_ended_before_the_largest(account):
    moving = [Client(account, 5_000_000, 300_000) for _ in range(2)]
    still = [Client(account, 5_000_000, 10_000_000, 2_000_000)]
    play(account, still + moving, 12)
    assert [client.reason for client in still] == [EndReason.TOO_SLOW]
    assert not any(client.reason for client in moving)


def test_stalled_client_gives_way_before_a_larger_one(account):
    stalled, moving = (Client(account, 9_000_000, 0) for _ in "ab")
    stalled.holding.hold(3_200_000)
    account.clock.at_ms += 1_500.0
    moving.holding.move(4_900_000)
    moving.holding.hold(4_900_000)
    assert (stalled.reason, moving.reason) == (EndReason.TOO_MUCH, None)


def test_requests_with_a_body_are_refused_first(account):
    holding = account.open(HoldingKind.CALLER, "c", Client(account, 1, 1))
    small = [account.open(HoldingKind.CALLER, "c", Client(account, 1, 1)) for _ in "ab"]
    holding.held_bytes = account.total_bytes = int(0.9 * LIMIT_BYTES)
    assert account.admits(has_body=False)
    assert not account.admits(has_body=True)
    small[0].hold(ORDINARY_BYTES)
    assert not small[0].paused
    assert account.total_bytes == ORDINARY_BYTES


def test_paused_client_that_holds_little_again_is_read_at_once(account):
    uploads = [Client(account, 5_000_000, 10_000_000) for _ in range(2)]
    for client in uploads:
        client.holding.hold(3_000_000)
    assert uploads[1].paused
    uploads[1].holding.hold(ORDINARY_BYTES)
    assert not uploads[1].paused


def test_nobody_is_slow_while_the_process_does_not_read(account):
    client = Client(account, 1_000_000, 100, 1_000)
    client.holding.expect(False)
    play(account, [client], 60)
    assert client.reason is None
    other = account.open(HoldingKind.CALLER, "c", Client(account, 1, 1))
    other.hold(int(0.3 * LIMIT_BYTES))
    client.holding.expect(True)
    play(account, [client], 6)
    assert client.reason is EndReason.TOO_SLOW


# Guards against uploads and downloads that are cut for a client that pauses or is slow,
# while nothing is short.
def test_slow_clients_are_ended_only_where_they_take_room_from_others(account):
    few = [Client(account, 10_000, 100) for _ in range(20)]
    play(account, few, 60)
    assert not any(client.reason for client in few)
    account.clients_limit = 70
    play(account, few, 6)
    assert all(client.reason is EndReason.TOO_SLOW for client in few)
