"""Agreement on the initial membership, as one replica sees it."""

import pytest

from cicadawheel.control.raft.membership import Membership, ReplicaMember
from cicadawheel.control.replica.bootstrap import Bootstrap, BootstrapState
from cicadawheel.control.replica.message import Introduction
from cicadawheel.settings import Address, ReplicaAddress

NAMES = ("a", "b", "c")
INITIAL = tuple(ReplicaAddress(name, Address(name, 1)) for name in NAMES)


def agreement(**folders):
    return Membership(
        tuple(ReplicaMember(name, name, 1, folder) for name, folder in folders.items())
    )


NONE = Membership()
AGREED = agreement(a="fa", b="fb", c="fc")


def introduction(name, agreed=NONE):
    return Introduction(f"f{name}", NAMES, agreed, agreed)


@pytest.fixture
def waiting():
    """Replica c, which hasn't stored an agreement."""
    return Bootstrap("c", "fc", INITIAL, Membership(), has_log=False)


def test_agreement_is_adopted_when_the_missing_replica_lost_its_disk(waiting):
    waiting.receive("a", introduction("a", AGREED), frozenset("b"))
    assert waiting.state is BootstrapState.FORMED
    assert waiting.membership == AGREED


def test_agreement_is_not_adopted_while_a_replica_may_know_another_folder(waiting):
    waiting.receive("a", introduction("a", AGREED))
    assert waiting.state is BootstrapState.WAITING


def test_nothing_is_adopted_without_an_agreement(waiting):
    waiting.receive("a", introduction("a"), frozenset("b"))
    assert waiting.state is BootstrapState.WAITING


@pytest.mark.parametrize("order", ["ab", "ba"])
def test_agreement_with_another_folder_refuses_this_replica(waiting, order):
    agreed = {"a": agreement(a="fa", b="fb", c="lost"), "b": AGREED}
    for name in order:
        waiting.receive(name, introduction(name, agreed[name]))
    assert waiting.state is BootstrapState.REFUSED


def test_removal_that_may_be_undone_does_not_refuse_this_replica(waiting):
    removed = Membership(AGREED.members[:2], ("c",))
    for settled, state in (
        (False, BootstrapState.WAITING),
        (True, BootstrapState.REFUSED),
    ):
        waiting.receive("a", Introduction("fa", NAMES, AGREED, removed, settled))
        assert waiting.state is state


def test_removal_that_may_be_undone_does_not_hide_another_folder(waiting):
    agreed = agreement(a="fa", b="fb", c="lost")
    removed = Membership(agreed.members[:2], ("c",))
    waiting.receive("a", Introduction("fa", NAMES, agreed, removed))
    assert waiting.state is BootstrapState.REFUSED


def test_replica_without_a_missing_one_forms(waiting):
    for name in "ab":
        waiting.receive(name, introduction(name))
    assert waiting.state is BootstrapState.FORMED
    assert waiting.membership == AGREED
