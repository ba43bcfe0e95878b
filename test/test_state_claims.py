"""Tests of claims on requests that must not run twice."""

import uuid

import pytest

from cicadawheel.control.command import (
    ClaimState,
    ExpireMembers,
    FinishClaim,
    OpenClaim,
    OutcomeState,
    ReleaseClaim,
    StoredAnswer,
)
from cicadawheel.control.state import expired_keys
from cicadawheel.control.state.claims import ANSWER_LIMIT_BYTES
from cicadawheel.control.state.encoding import SLICE_CLAIMS
from cicadawheel.control.state.timed_key import KEY_SKEW_MS

WINDOW_MS = 1_000_000
NEW_CLAIM = (OutcomeState.DONE, None)


class Entry:
    """An entry node that opens and closes claims on keys of one service."""

    def __init__(self, driver, node):
        self.driver = driver
        self.node = node
        self.epoch = driver.state.members[node].epoch

    def send(self, kind, key="k", **fields):
        return self.driver.apply(
            kind,
            service="booking",
            key=key,
            owner=self.node,
            owner_epoch=self.epoch,
            **fields,
        )

    def open(self, key="k", body="b", attempt=""):
        outcome = self.send(OpenClaim, key, body_digest=body, attempt=attempt)
        return (outcome.state, outcome.claim)

    def finish(self, key="k", body=b"booked", **fields):
        fields = {"status": 201, "headers": (("a", "b"),), **fields}
        return self.send(FinishClaim, key, body=body, **fields).state

    def release(self, key="k", **fields):
        return self.send(ReleaseClaim, key, **fields).state


@pytest.fixture
def first(driver):
    return Entry(driver, "n1")


@pytest.fixture
def second(driver):
    return Entry(driver, "n2")


def test_retry_through_another_entry_finds_the_claim_open(first, second):
    assert first.open() == NEW_CLAIM
    assert second.open() == (OutcomeState.DONE, ClaimState.OPEN)
    assert first.open() == (OutcomeState.DONE, ClaimState.OPEN)


def test_same_attempt_may_open_a_claim_again_until_it_is_finished(first, second):
    assert first.open(attempt="a1") == NEW_CLAIM
    assert first.open(attempt="a1") == NEW_CLAIM
    assert first.open(attempt="a2") == (OutcomeState.DONE, ClaimState.OPEN)
    assert first.finish(attempt="a2") is OutcomeState.REFUSED
    assert first.release(attempt="a2") is OutcomeState.REFUSED
    assert first.finish(attempt="a1") is OutcomeState.DONE
    assert first.open(attempt="a1") == (OutcomeState.DONE, ClaimState.FINISHED)


def test_retry_gets_the_stored_answer_also_after_restore(driver, first, second):
    first.open()
    first.finish()
    driver.restart()
    outcome = second.send(OpenClaim, body_digest="b")
    assert outcome.claim is ClaimState.FINISHED
    assert outcome.answer == StoredAnswer(201, (("a", "b"),), b"booked")


def test_key_with_another_body_is_refused(first, second):
    first.open()
    assert second.open(body="other")[0] is OutcomeState.REFUSED


def test_claim_is_released_once_and_only_by_its_owner(first, second):
    first.open()
    assert second.release() is OutcomeState.REFUSED
    assert first.release() is OutcomeState.DONE
    assert first.release() is OutcomeState.REFUSED
    assert second.open() == NEW_CLAIM
    assert first.release() is OutcomeState.REFUSED


def test_open_claim_of_a_fenced_owner_may_have_run(driver, first, second):
    first.open()
    driver.register("n1")
    driver.restart()
    assert second.open() == (OutcomeState.DONE, ClaimState.MAY_HAVE_RUN)
    assert first.release() is OutcomeState.REFUSED
    assert first.open("k2")[0] is OutcomeState.REFUSED


def test_open_claim_of_an_expired_owner_may_have_run(driver, first, second):
    first.open()
    driver.apply(ExpireMembers, nodes=(("n1", first.epoch),))
    assert second.open() == (OutcomeState.DONE, ClaimState.MAY_HAVE_RUN)


def test_fenced_owner_reopens_the_claim_of_its_attempt(driver, first, second):
    """Reopening is safe: a node opens claims only for undispatched requests."""
    assert first.open(attempt="a1") == NEW_CLAIM
    driver.register("n1")
    driver.restart()
    refused = first.send(OpenClaim, body_digest="b", attempt="a1")
    assert (refused.state, refused.fenced) == (OutcomeState.REFUSED, True)
    new_entry = Entry(driver, "n1")
    assert new_entry.open(attempt="a2") == (OutcomeState.DONE, ClaimState.MAY_HAVE_RUN)
    assert new_entry.open(attempt="a1") == NEW_CLAIM
    assert second.open() == (OutcomeState.DONE, ClaimState.OPEN)
    assert new_entry.finish(attempt="a1") is OutcomeState.DONE
    assert second.open() == (OutcomeState.DONE, ClaimState.FINISHED)


def test_reopened_claim_is_fenced_again(driver, first, second):
    first.open(attempt="a1")
    driver.register("n1")
    Entry(driver, "n1").open(attempt="a1")
    driver.register("n1")
    assert second.open() == (OutcomeState.DONE, ClaimState.MAY_HAVE_RUN)


def test_claim_whose_answer_was_lost_is_not_reopened(driver, first, second):
    first.open(attempt="a1")
    first.finish(attempt="a1", may_have_run=True)
    driver.register("n1")
    new_entry = Entry(driver, "n1")
    assert new_entry.open(attempt="a1") == (OutcomeState.DONE, ClaimState.MAY_HAVE_RUN)


def test_fenced_owner_may_still_store_the_answer(driver, first, second):
    first.open()
    driver.register("n1")
    assert first.finish() is OutcomeState.DONE
    assert second.open() == (OutcomeState.DONE, ClaimState.FINISHED)


def test_owner_may_report_that_the_answer_was_lost(first, second):
    first.open()
    first.finish(may_have_run=True)
    assert second.open() == (OutcomeState.DONE, ClaimState.MAY_HAVE_RUN)


def test_answer_above_the_size_limit_is_not_kept(first, second):
    first.open()
    first.finish(body=b"x" * (ANSWER_LIMIT_BYTES + 1))
    outcome = second.send(OpenClaim, body_digest="b")
    assert (outcome.claim, outcome.answer) == (ClaimState.FINISHED, None)
    assert outcome.message == "the request ran, its answer isn't kept"


def test_oldest_answers_are_dropped_above_the_total_size_limit(
    driver, first, monkeypatch
):
    monkeypatch.setattr("cicadawheel.control.state.claims.ANSWERS_LIMIT_BYTES", 25)
    for key in ("k1", "k2", "k3"):
        first.open(key)
        first.finish(key, headers=(), body=b"x" * 10)
    kept = [claim.answer is not None for claim in driver.state.claims.claims.values()]
    assert kept == [False, True, True]
    assert driver.state.claims.answers_size_bytes == 20


def test_key_older_than_the_window_is_refused(driver, first, second):
    first.open()
    first.finish()
    driver.now_ms += WINDOW_MS + KEY_SKEW_MS
    assert second.open()[0] is OutcomeState.REFUSED
    assert driver.state.claims.claims == {}
    driver.restart()
    assert second.open()[0] is OutcomeState.REFUSED
    assert second.open("another") == NEW_CLAIM


def make_timed_key(time_ms):
    return str(uuid.UUID(int=time_ms << 80 | 0x7 << 76 | 0x8 << 60 | 5))


def test_uuid7_key_is_refused_outside_the_window(driver, first):
    driver.now_ms = 5 * WINDOW_MS
    assert first.open(make_timed_key(driver.now_ms)) == NEW_CLAIM
    assert first.open(make_timed_key(driver.now_ms - WINDOW_MS + 1)) == NEW_CLAIM
    old = first.open(make_timed_key(driver.now_ms - WINDOW_MS))
    early = first.open(make_timed_key(driver.now_ms + KEY_SKEW_MS + 1))
    assert old[0] is early[0] is OutcomeState.REFUSED


def test_uuid7_key_from_a_fast_clock_is_kept_for_its_whole_window(driver, first):
    driver.now_ms = 5 * WINDOW_MS
    key = make_timed_key(driver.now_ms + KEY_SKEW_MS)
    first.open(key)
    driver.now_ms += WINDOW_MS + KEY_SKEW_MS - 1
    assert first.open(key) == (OutcomeState.DONE, ClaimState.OPEN)
    driver.now_ms += 1
    assert first.open(key)[0] is OutcomeState.REFUSED


def test_expired_keys_drop_the_oldest_filter(monkeypatch):
    monkeypatch.setattr(expired_keys, "KEYS_PER_FILTER", 2)
    monkeypatch.setattr(expired_keys, "FILTER_LIMIT", 2)
    keys = expired_keys.ExpiredKeys()
    for number in range(6):
        keys.add("s", f"k{number}")
    held = [keys.may_hold("s", f"k{number}") for number in range(7)]
    assert held == [False, False, True, True, True, True, False]


def test_full_table_refuses_new_claims(first, monkeypatch):
    monkeypatch.setattr("cicadawheel.control.state.claims.CLAIM_LIMIT", 1)
    first.open()
    assert first.open("k2")[0] is OutcomeState.REFUSED
    first.release()
    assert first.open("k2") == NEW_CLAIM


def encoded(driver):
    return driver.state.begin_snapshot().data()


def test_snapshot_is_unaffected_by_commands_applied_during_its_encoding(driver, first):
    for number in range(3 * SLICE_CLAIMS):
        first.open(f"k{number}")
    first.finish("k0")
    before = encoded(driver)
    encoding = driver.state.begin_snapshot()
    steps = 0
    while encoding.encode_next():
        steps += 1
        first.open(f"late{steps}")
        first.finish(f"k{steps}")
        first.release(f"k{steps + 10}")
    first.driver.apply(ExpireMembers, nodes=((first.node, first.epoch),))
    driver.now_ms += WINDOW_MS + KEY_SKEW_MS
    driver.register("n1")
    assert driver.state.claims.claims == {}
    assert steps > 3
    assert encoding.data() == before != encoded(driver)


def test_answers_of_expired_claims_are_dropped(driver, first):
    for number in range(10):
        first.open(f"k{number}")
        first.finish(f"k{number}")
    driver.now_ms += WINDOW_MS + KEY_SKEW_MS
    driver.register("n1")
    snapshot = driver.state.claims.snapshot()
    assert (snapshot.claims, snapshot.answered) == ([], [])


def test_claim_that_was_released_and_reopened_expires_by_its_second_opening(
    driver, first
):
    first.open("k")
    first.release("k")
    driver.now_ms += 10
    first.open("other")
    first.open("k")
    driver.restart()
    driver.now_ms += WINDOW_MS + KEY_SKEW_MS - 10
    driver.register("n2")
    assert [name for _, name in driver.state.claims.claims] == ["other", "k"]
    driver.now_ms += 10
    driver.register("n2")
    assert driver.state.claims.claims == {}
