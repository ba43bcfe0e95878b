"""A request that was lost in a crash is tested on a version that may run it."""

from types import SimpleNamespace

import pytest
from state_driver import make_member

from cicadawheel.configuration import (
    Configuration,
    ReleaseRule,
    ReleaseState,
    ServiceRule,
)
from cicadawheel.node.service_peers import ServicePeers

MEMBERS = {
    "n1": "v1",
    "n2": "v1",
    "n3": "v2",
    "n4": "v3",
}


def make_testers(state=None, withdrawn=(), current="v1", members=MEMBERS):
    releases = ()
    if state is not None:
        releases = (ReleaseRule("booking", "v2", "v1", state, 0.1, 1, 2),)
    configuration = Configuration(
        services={"booking": ServiceRule("booking", 1_000.0, current_version=current)},
        releases=releases,
        withdrawn=withdrawn,
    )
    gate = SimpleNamespace(
        configuration=configuration, announcement=SimpleNamespace(service="booking")
    )
    known = {node: make_member(node, version=v) for node, v in members.items()}
    control = SimpleNamespace(view=SimpleNamespace(members=known), node="n1")
    return ServicePeers(gate, None, control).testers()


# Guards against requests that run on a version for which no release was started, after
# a crash of an upstream of the current one.
@pytest.mark.parametrize("state", [None, *ReleaseState])
def test_suspect_is_tested_on_the_current_version(state):
    assert make_testers(state) == ["n2"]


def test_suspect_is_tested_on_a_version_in_release_if_no_other_is_left():
    left = {"n1": "v1", "n3": "v2", "n4": "v3"}
    assert make_testers(ReleaseState.RISING, members=left) == ["n3"]
    assert make_testers(members=left) == []
    withdrawn = (("booking", "v2"),)
    assert make_testers(ReleaseState.RISING, withdrawn, members=left) == []


def test_suspect_is_tested_on_any_version_before_the_first_is_known():
    assert make_testers(current="") == ["n2", "n3", "n4"]
