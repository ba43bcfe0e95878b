"""Releases at a node: version choice, evidence and withdrawal."""

import random

import msgspec
import pytest
from msgspec.structs import replace
from state_driver import make_member

from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    DataCentreState,
    ReleaseRule,
    ReleaseState,
    ServiceRule,
)
from cicadawheel.release.evidence import ReleaseEvidence
from cicadawheel.release.node import NodeReleases

RULE = ServiceRule("booking", 1_000.0, current_version="v1")
RELEASE = ReleaseRule(
    "booking", "v2", "v1", ReleaseState.RISING, 0.4, 1, 600_000, done_at_ms=0
)
MEMBERS = [
    make_member(f"{version}-{n}", version=version, data_centre=data_centre)
    for version in ("v1", "v2")
    for n, data_centre in enumerate(("east", "west"))
]


class ManualTimers:
    """A timer service with a manual clock."""

    def __init__(self):
        self.clock = self
        self.time_ms = 0
        self.callbacks = []

    def every(self, interval_ms, callback):
        self.callbacks.append(callback)

    def unix_ms(self):
        return self.time_ms

    def advance(self, interval_ms):
        self.time_ms += interval_ms
        for callback in self.callbacks:
            callback(self.time_ms)


@pytest.fixture
def timers():
    """Return timers with a manual clock."""
    return ManualTimers()


@pytest.fixture
def sent():
    """Return the list of messages sent to control."""
    return []


@pytest.fixture
def releases(timers, sent):
    """Return the releases of a node, with one rising release."""
    node = NodeReleases("n1", random.Random(5), timers, sent.append)
    node.configure(make_configuration(RELEASE), MEMBERS)
    return node


def make_configuration(*releases, out=()):
    data_centres = {
        name: DataCentreRule(
            name, state=DataCentreState.OUT if name in out else DataCentreState.IN
        )
        for name in ("east", "west")
    }
    return Configuration(
        services={"booking": RULE}, data_centres=data_centres, releases=releases
    )


def versions(releases, calls=500):
    return {releases.choose("booking").version for _ in range(calls)}


def test_service_without_release_keeps_its_version(releases):
    releases.configure(make_configuration(), MEMBERS)
    assert versions(releases) == {"v1"}
    taken_back = replace(RELEASE, state=ReleaseState.TAKEN_BACK)
    releases.configure(make_configuration(taken_back), MEMBERS)
    assert versions(releases) == {"v1"}


def test_new_version_gets_no_call_while_all_its_upstreams_are_out(releases):
    assert versions(releases) == {"v1", "v2"}
    members = [item for item in MEMBERS if item.node != "v2-1"]
    releases.configure(make_configuration(RELEASE, out=["east"]), members)
    assert versions(releases) == {"v1"}


def test_burst_prefers_one_upstream(releases, timers):
    proof = replace(RELEASE, state=ReleaseState.STAGED, share=0.05)
    releases.configure(make_configuration(proof), MEMBERS)
    seen = set()
    for _ in range(2_000):
        timers.time_ms += 5
        choice = releases.choose("booking")
        member = releases.preferred("booking", choice)
        assert (member is None) == (choice.version == "v1")
        seen.add(member and member.node)
    assert seen == {None, "v2-0", "v2-1"}


def fail_new_version(releases, timers):
    """Record 100 calls, of which those to the new version fail."""
    for _ in range(2):
        for _ in range(50):
            choice = releases.choose("booking")
            failed = choice.version == "v2"
            releases.record("booking", choice, "book", failed, 10.0)
        timers.advance(250)


def decode(sent):
    return [msgspec.msgpack.decode(data, type=ReleaseEvidence) for data in sent]


def test_evidence_is_sent_and_a_failing_version_withdrawn(releases, timers, sent):
    fail_new_version(releases, timers)
    reports = decode(sent)
    counts = [route.counts.ended for report in reports for route in report.routes]
    assert sum(counts) == 100
    assert [item.version for report in reports for item in report.withdrawals] == ["v2"]
    assert releases.withdrawn() == ["v2"]
    assert versions(releases) == {"v1"}


def test_withdrawal_is_reported_until_control_ends_the_release(releases, timers, sent):
    fail_new_version(releases, timers)
    sent.clear()
    timers.advance(600_000)
    (withdrawal,) = decode(sent)[0].withdrawals
    assert withdrawal.concerns(RELEASE)
    assert versions(releases) == {"v1"}
    releases.configure(
        make_configuration(replace(RELEASE, state=ReleaseState.TAKEN_BACK)), MEMBERS
    )
    timers.advance(500)
    sent.clear()
    timers.advance(500)
    assert sent == []


def test_withdrawn_version_that_control_marks_done_gets_no_calls(releases, timers):
    fail_new_version(releases, timers)
    done = replace(RELEASE, state=ReleaseState.DONE, share=1.0)
    configuration = make_configuration(done)
    rule = replace(RULE, current_version="v2")
    configuration = replace(configuration, services={"booking": rule})
    releases.configure(configuration, MEMBERS)
    assert versions(releases) == {"v1"}


def test_new_release_of_a_withdrawn_version_gets_calls(releases, timers, sent):
    fail_new_version(releases, timers)
    releases.configure(make_configuration(replace(RELEASE, started_at_ms=2)), MEMBERS)
    sent.clear()
    timers.advance(500)
    assert all(not report.withdrawals for report in decode(sent))
    assert versions(releases) == {"v1", "v2"}
