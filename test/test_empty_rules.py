"""A configuration without rules of a kind routes calls as the one before it did."""

import msgspec
import pytest
from site_in_loop import SHOP, call, until
from state_driver import make_rules

from cicadawheel.configuration import (
    Configuration,
    DataCentreState,
    HostRoute,
    RepeatRule,
    Routing,
    ServiceShare,
)
from cicadawheel.configuration_delta import (
    ConfigurationDelta,
    apply_delta,
    make_delta,
)
from cicadawheel.control.command import (
    ANY_REVISION,
    ApplyConfiguration,
    PutDocument,
    SetDataCentre,
)
from cicadawheel.control.state import make_control_state

SHOP_ROUTE = HostRoute(
    "127.0.0.1/list/",
    "127.0.0.1",
    "/list/",
    RepeatRule.REPEATABLE,
    (ServiceShare("shop", 1.0),),
    5_000.0,
    500.0,
    0,
    2,
)


def put_document(version, rules, routes=()):
    return PutDocument(
        now_ms=1,
        version=version,
        base_version=version - 1,
        document=b"document %d" % version,
        digest=b"%d" % version,
        configuration=msgspec.structs.replace(
            rules, routes={route.name: route for route in routes}
        ),
    )


async def get_statuses(site, target):
    answers = [await call(node, "GET", target) for node in site.nodes]
    return {answer.status for answer in answers}


# Guards against requests that are run by the service that the first label of their host
# names, after the last route was removed.
def test_request_gets_404_after_the_last_route_was_removed(on_site):
    async def run(site):
        async def put(version, routes):
            document = put_document(version, SHOP, routes)
            outcome = await site.control.server.log.propose(document)
            revision = outcome.revision
            await until(
                lambda: all(
                    node.control.view.configuration.revision >= revision
                    for node in site.nodes
                )
            )

        await put(1, [SHOP_ROUTE])
        assert await get_statuses(site, "/list/1") == {200}
        assert await get_statuses(site, "/never/1") == {404}
        runs = [list(upstream.runs) for upstream in site.upstreams]
        await put(2, [])
        assert await get_statuses(site, "/list/1") == {404}
        assert await get_statuses(site, "/never/1") == {404}
        assert [upstream.runs for upstream in site.upstreams] == runs
        await put(3, [SHOP_ROUTE])
        assert await get_statuses(site, "/list/1") == {200}

    on_site(run)


# Guards against 404 for requests, and a node that is ready, before the first rules.
def test_order_before_the_first_rules_leaves_the_nodes_without_a_view(driver):
    driver.state = make_control_state(1_000_000)
    fields = {"data_centre": "east", "state": DataCentreState.OUT, "force": True}
    driver.operate(SetDataCentre, "op-1", ANY_REVISION, **fields)
    assert driver.state.configuration.revision
    assert not driver.state.configuration.has_rules()
    driver.operate(ApplyConfiguration, "op-2", configuration=make_rules())
    assert driver.state.configuration.has_rules()


@pytest.mark.parametrize("has_services", [True, False])
def test_rules_without_services_are_rules(driver, has_services):
    rules = make_rules() if has_services else Configuration()
    driver.operate(ApplyConfiguration, "op-1", configuration=rules)
    assert driver.state.configuration.has_rules()
    assert driver.state.configuration.call_routing() is Routing.BY_SERVICE


def test_routing_of_a_document_reaches_the_nodes_and_survives_a_restart(driver):
    old = driver.state.configuration
    assert old.call_routing() is Routing.BY_SERVICE
    driver.state.apply(driver.index + 1, put_document(1, make_rules()))
    driver.restart()
    new = driver.state.configuration
    encoded = msgspec.msgpack.encode(make_delta(old, new))
    delta = msgspec.msgpack.decode(encoded, type=ConfigurationDelta)
    assert apply_delta(old, delta) == new
    assert new.call_routing() is Routing.BY_HOST


def test_answers_file_after_a_document_is_routed_by_service_also_after_a_restart(
    driver,
):
    driver.state.apply(driver.index + 1, put_document(1, make_rules()))
    driver.index += 1
    driver.operate(ApplyConfiguration, "op-1", configuration=make_rules())
    driver.restart()
    assert driver.state.configuration.call_routing() is Routing.BY_SERVICE


def test_stored_document_of_an_earlier_version_is_routed_by_host(driver):
    driver.state.apply(driver.index + 1, put_document(1, make_rules()))
    unset = msgspec.structs.replace(driver.state.configuration, routing=Routing.UNSET)
    driver.state.configuration = unset
    data = driver.state.begin_snapshot().data()
    driver.state.restore(data)
    assert driver.state.configuration.call_routing() is Routing.BY_HOST
