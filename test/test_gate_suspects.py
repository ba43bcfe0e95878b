"""Requests that crash upstreams are condemned after two crashes, and others cleared."""

import itertools
from random import Random

import pytest

from cicadawheel.gate.suspects import ANSWERED_MS, SUSPICION_MS, Suspects, Treatment
from cicadawheel.messages import SuspectState

NAMES = ["n0", "n1", "n2", "n3", "n4"]


class Service:
    """The suspects of five gates that receive all notices of each other."""

    def __init__(self):
        self.gates = {name: Suspects(name) for name in NAMES}

    def notify(self, notice, now_ms):
        for name, gate in self.gates.items():
            if notice is not None and name != notice.origin:
                self.notify(gate.apply_notice(notice, now_ms), now_ms)

    def crash(self, name, fingerprints, now_ms):
        gate = self.gates[name]
        for fingerprint in fingerprints:
            gate.exchange_lost(fingerprint, now_ms)
        others = [other for other in NAMES if other != name]
        notice = gate.upstream_died(others, now_ms)
        self.notify(notice, now_ms)
        return notice

    def treatments(self, fingerprint, now_ms):
        return [gate.treatment(fingerprint, now_ms) for gate in self.gates.values()]

    def tester(self, fingerprint):
        return self.gates[self.gates["n0"].tester(fingerprint)]


@pytest.fixture
def service():
    """Return the suspects of five gates."""
    return Service()


def test_suspect_runs_alone_at_one_gate_only(service):
    service.crash("n0", ["bad", "good"], 0.0)
    treatments = service.treatments("bad", 1.0)
    assert treatments.count(Treatment.ALONE) == 1
    assert treatments.count(Treatment.ELSEWHERE) == 4
    assert service.tester("bad").node != "n0"


def test_second_crash_condemns_the_tested_request_everywhere(service):
    service.crash("n0", ["bad", "good"], 0.0)
    tester = service.tester("bad")
    tester.test_started("bad")
    notice = service.crash(tester.node, ["bad"], 10.0)
    assert tester.condemned(notice) == ["bad"]
    assert service.treatments("bad", 11.0) == [Treatment.REFUSE] * 5


def test_late_losses_of_a_crash_do_not_count_as_a_second_crash():
    gate = Suspects("n0")
    gate.exchange_lost("a", 0.0)
    gate.upstream_died(["n1"], 0.0)
    gate.exchange_lost("a", 1.0)
    notice = gate.upstream_died(["n1"], 1.0, same_crash=True)
    assert notice.verdicts[0].state is SuspectState.SUSPECT


def test_suspect_is_cleared_by_its_answer(service):
    service.crash("n0", ["bad", "good"], 0.0)
    tester = service.tester("good")
    tester.test_started("good")
    service.notify(tester.answered("good", 5.0), 5.0)
    assert service.treatments("good", 6.0) == [Treatment.FREE] * 5
    assert service.treatments("bad", 6.0).count(Treatment.ALONE) == 1


def test_recently_answered_request_is_only_noted_at_the_first_crash(service):
    service.gates["n0"].answered("popular", 0.0)
    service.crash("n0", ["popular", "bad"], 1.0)
    assert service.treatments("popular", 2.0) == [Treatment.FREE] * 5
    service.gates["n0"].answered("popular", 3.0)
    service.crash("n0", ["popular"], ANSWERED_MS)
    assert service.treatments("popular", ANSWERED_MS).count(Treatment.ALONE) == 1


def test_first_failed_test_of_a_recently_answered_request_is_ignored(service):
    service.crash("n0", ["popular"], 0.0)
    service.notify(service.tester("popular").answered("popular", 5.0), 5.0)
    service.crash("n1", ["popular"], 10.0)
    tester = service.tester("popular")
    tester.test_started("popular")
    service.crash(tester.node, ["popular"], 20.0)
    assert Treatment.REFUSE not in service.treatments("popular", 21.0)
    service.crash(tester.node, ["popular"], 30.0)
    assert service.treatments("popular", 31.0) == [Treatment.REFUSE] * 5


def test_two_crashes_condemn_the_only_shared_request(service):
    service.crash("n0", ["bad", "a", "b"], 0.0)
    service.crash("n1", ["bad", "c", "d"], 0.0)
    assert service.treatments("bad", 1.0) == [Treatment.REFUSE] * 5
    for other in "abcd":
        assert service.treatments(other, 1.0).count(Treatment.ALONE) == 1


def crash_at_once(service, names, fingerprints, now_ms):
    """Let gates crash before any of them receives a notice."""
    notices = []
    for name in names:
        gate = service.gates[name]
        for fingerprint in fingerprints:
            gate.exchange_lost(fingerprint, now_ms)
        others = [other for other in NAMES if other != name]
        notices.append(gate.upstream_died(others, now_ms))
    return notices


@pytest.mark.parametrize("names", list(itertools.permutations(NAMES, 2)))
def test_gates_that_crash_at_once_agree_on_a_tester(service, names):
    """Each names the other as the tester; exactly one of the two must run the test."""
    for notice in crash_at_once(service, names, ["a", "b", "c"], 0.0):
        service.notify(notice, 0.0)
    for fingerprint in "abc":
        assert service.treatments(fingerprint, 1.0).count(Treatment.ALONE) == 1


@pytest.mark.parametrize("seed", range(20))
def test_gates_agree_on_a_tester_for_any_order_of_notices(service, seed):
    notices = crash_at_once(service, NAMES, ["a", "b", "c"], 0.0)
    random = Random(seed)
    for name, gate in service.gates.items():
        received = [notice for notice in notices if notice.origin != name]
        random.shuffle(received)
        for notice in received:
            gate.apply_notice(notice, 0.0)
    for fingerprint in "abc":
        assert service.treatments(fingerprint, 1.0).count(Treatment.ALONE) == 1


def test_two_crashes_with_several_shared_requests_condemn_none(service):
    service.crash("n0", ["a", "b"], 0.0)
    service.crash("n1", ["a", "b"], 0.0)
    for fingerprint in "ab":
        assert Treatment.REFUSE not in service.treatments(fingerprint, 1.0)


def test_suspicion_expires(service):
    service.crash("n0", ["a"], 0.0)
    assert service.treatments("a", SUSPICION_MS) == [Treatment.FREE] * 5


def test_old_lost_connection_is_not_part_of_a_crash(service):
    gate = service.gates["n0"]
    gate.exchange_lost("a", 0.0)
    assert gate.upstream_died(["n1"], 60_000.0) is None


def test_only_gate_of_a_service_tests_its_own_suspects():
    gate = Suspects("n0")
    gate.exchange_lost("a", 0.0)
    notice = gate.upstream_died([], 0.0)
    assert notice.verdicts[0].state is SuspectState.SUSPECT
    assert gate.treatment("a", 1.0) is Treatment.ALONE
