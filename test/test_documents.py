"""Tests of the operators' document: versions, retries and conflicts."""

import pytest

from cicadawheel.configuration import (
    Configuration,
    DataCentreState,
    HostRoute,
    RepeatRule,
    ServiceShare,
)
from cicadawheel.control.command import (
    ANY_REVISION,
    OutcomeState,
    PutDocument,
    SetDataCentre,
)


def put(driver, version, base, digest=None, routes=()):
    rules = Configuration(routes={route.name: route for route in routes})
    return driver.apply(
        PutDocument,
        version=version,
        base_version=base,
        document=f"document {digest or version}".encode(),
        digest=(digest or f"d{version}").encode(),
        configuration=rules,
    )


def make_route(prefix):
    shares = (ServiceShare("booking", 1.0),)
    return HostRoute(
        f"h{prefix}", "h", prefix, RepeatRule.ONCE, shares, 1e3, 500.0, 0, 2
    )


def test_document_replaces_its_base_version(driver):
    assert put(driver, 3, 0, routes=[make_route("/a/")]).state is OutcomeState.DONE
    assert put(driver, 7, 3, routes=[make_route("/b/")]).state is OutcomeState.DONE
    assert driver.state.documents.version == 7
    assert list(driver.state.configuration.routes) == ["h/b/"]


def test_one_of_two_documents_with_the_same_base_wins(driver):
    put(driver, 3, 0)
    assert put(driver, 5, 3, "mine").state is OutcomeState.DONE
    assert put(driver, 5, 3, "theirs").state is OutcomeState.CONFLICT
    assert driver.state.documents.document == b"document mine"


@pytest.mark.parametrize("version", [2, 3])
def test_version_not_above_the_current_one_is_invalid(driver, version):
    put(driver, 3, 0)
    assert put(driver, version, 3, "other").state is OutcomeState.REFUSED
    assert driver.state.documents.version == 3


def test_accepted_document_is_acknowledged_when_it_is_sent_again(driver):
    put(driver, 3, 0)
    put(driver, 4, 3)
    revision = driver.state.configuration.revision
    driver.restart()
    assert put(driver, 3, 0).state is OutcomeState.DONE
    assert driver.state.documents.version == 4
    assert driver.state.configuration.revision == revision


def test_conflicting_document_may_be_put_again_on_the_current_base(driver):
    put(driver, 3, 0)
    assert put(driver, 9, 1).state is OutcomeState.CONFLICT
    assert put(driver, 9, 3).state is OutcomeState.DONE


def test_document_keeps_a_data_centre_out(driver):
    fields = {"data_centre": "east", "state": DataCentreState.OUT, "force": True}
    driver.operate(SetDataCentre, "op-1", ANY_REVISION, **fields)
    put(driver, 3, 0)
    assert not driver.state.configuration.takes_new_work("east")


def test_forced_command_takes_an_unconfigured_data_centre_out(driver):
    fields = {"data_centre": "north", "state": DataCentreState.OUT, "force": True}
    outcome = driver.operate(SetDataCentre, "op-1", ANY_REVISION, **fields)
    assert outcome.state is OutcomeState.DONE
    assert not driver.state.configuration.takes_new_work("north")
