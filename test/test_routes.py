"""Routing by host and longest path prefix, and weighted splits among services."""

from collections import Counter
from random import Random

import pytest

from cicadawheel.configuration import (
    Configuration,
    HostRoute,
    RepeatRule,
    ServiceRule,
    ServiceShare,
)
from cicadawheel.configuration_check import check_rules
from cicadawheel.entry.answer import CallerFault
from cicadawheel.entry.plan import plan_by_host
from cicadawheel.entry.routes import RouteTable
from cicadawheel.errors import CommandRefusedError
from cicadawheel.http.dialect import OWN_DIALECT
from cicadawheel.http.fields import RequestHead


def make_route(host, prefix, shares=(("a", 1.0),), **fields):
    values = {
        "name": host + prefix,
        "host": host,
        "path_prefix": prefix,
        "repeat": RepeatRule.REPEATABLE,
        "shares": tuple(ServiceShare(name, weight) for name, weight in shares),
        "deadline_ms": 1_000.0,
        "target_ms": 500.0,
        "priority": 1,
        "attempts": 2,
    }
    return HostRoute(**{**values, **fields})


def make_table(*routes, seed=1):
    table = RouteTable(Random(seed))
    table.configure(Configuration(routes={route.name: route for route in routes}))
    return table


@pytest.fixture
def table():
    return make_table(
        make_route("one.example", "/x/"),
        make_route("one.example", "/x/y/"),
        make_route("two.example", "/"),
    )


@pytest.mark.parametrize(
    ("host", "target", "name"),
    [
        ("one.example", "/x/1", "one.example/x/"),
        ("one.example", "/x/y/1?q=/x/", "one.example/x/y/"),
        ("ONE.example:80", "/x/yy", "one.example/x/"),
        ("two.example", "/x/y/1", "two.example/"),
    ],
)
def test_longest_prefix_of_the_host_matches(table, host, target, name):
    assert table.find(host, target).name == name


@pytest.mark.parametrize(
    ("host", "target"), [("one.example", "/x"), ("three.example", "/x/"), ("", "/x/")]
)
def test_unmatched_request_has_no_route(table, host, target):
    assert table.find(host, target) is None


# Guards against nodes that spend milliseconds on each request of a large document.
@pytest.mark.timeout(10)
def test_request_takes_no_longer_with_more_routes_and_shares():
    shares = [(f"s{i}", 1.0) for i in range(20_000)] * 5
    routes = [make_route("h", f"/{i}/", shares[:1]) for i in range(20_000)]
    table = make_table(*routes, make_route("h", "/", shares))
    for i in range(20_000):
        assert table.find("h", f"/{i}/x").path_prefix == f"/{i}/"
    split = table.find("h", "/x")
    services = Counter(table.choose_service(split) for _ in range(40_000))
    assert set(services.values()) == {2}


def test_split_keeps_the_weights_in_any_short_run():
    route = make_route("h", "/", [("a", 90.0), ("b", 10.0)])
    table = make_table(route)
    services = [table.choose_service(route) for _ in range(200)]
    for start in range(0, 180, 20):
        assert Counter(services[start : start + 20])["b"] == 2


def test_service_of_weight_zero_gets_no_requests():
    route = make_route("h", "/", [("a", 1.0), ("b", 0.0)])
    table = make_table(route)
    assert {table.choose_service(route) for _ in range(50)} == {"a"}


def test_service_that_is_named_twice_gets_both_shares():
    route = make_route("h", "/", [("a", 1.0), ("b", 2.0), ("a", 1.0)])
    table = make_table(route)
    services = Counter(table.choose_service(route) for _ in range(100))
    assert services == {"a": 50, "b": 50}


@pytest.mark.parametrize("weight", [1e-300, 1e-9, 2.0**53])
def test_split_of_very_unequal_weights_serves_the_larger(weight):
    route = make_route("h", "/", [("a", weight), ("b", 1.0)])
    services = Counter(make_table(route).choose_service(route) for _ in range(100))
    assert services["a" if weight > 1.0 else "b"] >= 99


def test_split_keeps_its_state_when_other_routes_change():
    route = make_route("h", "/", [("a", 1.0), ("b", 1.0)])
    table = make_table(route)
    first = table.choose_service(route)
    changed = Configuration(routes={"h/": route, "g/": make_route("g", "/")})
    table.configure(changed)
    assert table.choose_service(route) != first


def make_plan(table, **fields):
    headers = [(b"host", b"one.example"), *fields.items()]
    headers = [(n if isinstance(n, bytes) else n.encode(), v) for n, v in headers]
    return plan_by_host(RequestHead(b"GET", b"/x/1", headers), table, OWN_DIALECT)


def test_plan_has_the_shorter_of_both_deadlines(table):
    assert make_plan(table).deadline_ms == 1_000.0
    asked = {"cicadawheel-deadline-ms": b"300"}
    assert make_plan(table, **asked).deadline_ms == 300.0
    asked = {"cicadawheel-deadline-ms": b"5000"}
    assert make_plan(table, **asked).deadline_ms == 1_000.0


# Guards against 400 for callers that send the largest number for no limit, or none at
# all on a route whose deadline is below a millisecond.
@pytest.mark.parametrize(
    "asked", [{}, {"cicadawheel-deadline-ms": b"%d" % (2**63 - 1)}]
)
def test_caller_without_a_limit_gets_the_deadline_of_the_route(asked):
    for deadline_ms in (0.5, 1_000.0):
        table = make_table(make_route("one.example", "/x/", deadline_ms=deadline_ms))
        assert make_plan(table, **asked).deadline_ms == deadline_ms


def test_plan_needs_no_key(table):
    plan = make_plan(table)
    assert (plan.claimed, plan.attempts, plan.priority) == (False, 2, 1)


def test_plan_of_an_unknown_host():
    assert make_plan(make_table()) is CallerFault.NO_ROUTE


SERVICES = (ServiceRule("a", 0.0), ServiceRule("b", 0.0))


def test_valid_rules_are_accepted():
    check_rules(SERVICES, [make_route("h", "/", [("a", 9.0), ("b", 0.0)])])


@pytest.mark.parametrize(
    ("fields", "fault"),
    [
        ({"shares": (("c", 1.0),)}, "service c is unknown"),
        ({"shares": (("a", 0.0), ("b", 0.0))}, "weights"),
        ({"shares": (("a", -1.0), ("b", 2.0))}, "weights"),
        ({"deadline_ms": 0.0}, "deadline"),
        ({"deadline_ms": 600_001.0}, "deadline"),
        ({"target_ms": 61_000.0}, "target"),
        ({"attempts": 0}, "attempt"),
    ],
)
def test_invalid_rules_are_refused(fields, fault):
    with pytest.raises(CommandRefusedError, match=fault):
        check_rules(SERVICES, [make_route("h", "/", **fields)])


def test_duplicate_routes_are_refused():
    with pytest.raises(CommandRefusedError, match="twice"):
        check_rules(SERVICES, [make_route("h", "/"), make_route("h", "/")])
