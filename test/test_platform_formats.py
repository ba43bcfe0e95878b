"""Decoding of the platform's documents, heartbeats, load headers and settings."""

from pathlib import Path

import msgspec
import pytest

from cicadawheel.configuration import (
    CallerLimits,
    MeasuringBudget,
    ReleaseHabits,
    RepeatRule,
    ServiceShare,
)
from cicadawheel.errors import SettingsError
from cicadawheel.gate.repeat_budget import RepeatBudget
from cicadawheel.platform.document import decode_document
from cicadawheel.platform.headers import decode_load
from cicadawheel.platform.heartbeats import decode_deregistration, decode_heartbeat
from cicadawheel.platform.settings import load_platform_settings
from cicadawheel.settings import Address

DEPLOY = Path(__file__).parent.parent / "deploy"
HABITS = ReleaseHabits()
SERVICE = {
    "name": "huvo11a",
    "health_path": "/health",
    "max_connections": 220,
    "protocol": "h1",
    "cold_start_s": 3.0,
    "cold_per_s": 6.4,
}
PATH = {
    "name": "r-1",
    "path_prefix": "/pufi791/",
    "route_type": "non_idempotent",
    "timeout_s": 1.5,
    "target_latency_s": 0.5,
    "priority": 1,
    "service": "huvo11a",
    "max_attempts": 2,
}
SHARE = {"service": "huvo11a", "weight": 1}
HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_s": 1.5,
    "sequence": 4,
    "born": 1_786_531_218_000,
}


def make_document(path=PATH, **fields):
    body = {
        "version": 7,
        "base_version": 5,
        "services": [SERVICE],
        "limits": {"max_header_bytes": 16384, "idle_timeout_s": 15},
        "virtual_hosts": [{"host": "Ficu95.example", "paths": [path]}],
    }
    return msgspec.json.encode({**body, **fields})


# Guards against 413 for each body where a document has -1 for no limit.
@pytest.mark.parametrize("limit", [-1, 0])
def test_limit_that_is_not_above_zero_is_none(limit):
    names = ("max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s")
    document = make_document(limits=dict.fromkeys(names, limit))
    assert decode_document(document, HABITS).callers == CallerLimits()


def test_document_is_decoded():
    document = decode_document(make_document(), HABITS)
    rules = document.configuration(("north",), MeasuringBudget())
    route = rules.routes["ficu95.example/pufi791/"]
    assert (document.version, document.base_version) == (7, 5)
    assert route.repeat is RepeatRule.ONCE
    assert (route.deadline_ms, route.target_ms) == (1_500.0, 500.0)
    assert (route.attempts, route.priority) == (2, 1)
    service = rules.services["huvo11a"]
    assert (service.connections, service.cold_ms) == (220, 3_000.0)
    assert service.cold_calls_per_s == 6.4
    assert (rules.callers.head_bytes, rules.callers.idle_timeout_ms) == (16384, 15e3)
    assert list(rules.data_centres) == ["north"]


@pytest.mark.parametrize("kind", ["idempotent", "download"])
def test_requests_that_may_repeat_are_decoded(kind):
    document = decode_document(make_document({**PATH, "route_type": kind}), HABITS)
    (route,) = document.routes
    assert route.repeat is RepeatRule.REPEATABLE


def test_weighted_route_is_decoded():
    shares = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    path = {**PATH, "weighted_clusters": shares}
    del path["service"]
    document = decode_document(make_document(path), HABITS)
    assert document.routes[0].shares == (ServiceShare("a", 90), ServiceShare("b", 10))


def test_same_content_has_the_same_canonical_form():
    body = make_document()
    shuffled = msgspec.json.encode(dict(reversed(msgspec.json.decode(body).items())))
    assert shuffled != body
    first, second = (decode_document(text, HABITS) for text in (body, shuffled))
    assert first.canonical == second.canonical


@pytest.mark.parametrize(
    "body",
    [
        make_document()[:-20],
        b"",
        b"\xff\xfe",
        b"[]",
        make_document(version="seven"),
        make_document({**PATH, "route_type": "sometimes"}),
        make_document({**PATH, "service": "x", "weighted_clusters": [SHARE]}),
        make_document({**PATH, "timeout_s": None}),
        make_document({k: v for k, v in PATH.items() if k != "max_attempts"}),
    ],
)
def test_malformed_document_is_refused(body):
    with pytest.raises(ValueError, match=r".+"):
        decode_document(body, HABITS)


def test_heartbeat_is_converted_to_an_announcement():
    heartbeat = decode_heartbeat("i-1", msgspec.json.encode(HEARTBEAT))
    assert (heartbeat.upstream, heartbeat.sequence, heartbeat.draining) == (
        "i-1",
        4,
        False,
    )
    assert heartbeat.address == Address("10.128.0.9", 8080)
    rule = decode_document(make_document(), HABITS).services[0]
    announcement = heartbeat.to_announcement(rule)
    assert (announcement.boot, announcement.slots, announcement.connections) == (
        "1786531218000",
        6,
        220,
    )
    assert (announcement.cold_ms, announcement.health_path) == (1_500.0, "/health")


def test_draining_heartbeat_is_decoded():
    body = msgspec.json.encode({**HEARTBEAT, "state": "draining"})
    assert decode_heartbeat("i-1", body).draining


@pytest.mark.parametrize(
    "change",
    [
        {"slots": "six"},
        {"slots": 0},
        {"state": "resting"},
        {"address": "nowhere"},
        {"address": 8080},
        {"service": None},
        {"sequence": None},
        {"born": "yesterday"},
        {"slots": 2**64 - 1},
        {"sequence": 2**64 - 1},
        {"born": 2**63},
        {"cold_remaining_s": 1e308},
        {"address": "10.128.0.9:65536"},
    ],
)
def test_malformed_heartbeat_is_refused(change):
    with pytest.raises(ValueError, match=r".+"):
        decode_heartbeat("i-1", msgspec.json.encode({**HEARTBEAT, **change}))


def test_deeply_nested_heartbeat_is_refused():
    nested = b'"also":' + b"[" * 100_000 + b"]" * 100_000
    body = msgspec.json.encode(HEARTBEAT)[:-1] + b"," + nested + b"}"
    with pytest.raises(ValueError, match="recursion"):
        decode_heartbeat("i-1", body)
    with pytest.raises(ValueError, match="recursion"):
        decode_deregistration(b"{" + nested + b"}")


def test_deeply_nested_document_is_refused():
    body = make_document(also=None).replace(b"null", b"[" * 100_000 + b"]" * 100_000)
    with pytest.raises(ValueError, match="recursion"):
        decode_document(body, HABITS)


@pytest.mark.parametrize(
    "body",
    [
        make_document({**PATH, "timeout_s": 1e308}),
        make_document().replace(b'"version":7', b'"version":18446744073709551616'),
        make_document().replace(b'"priority":1', b'"priority":' + b"9" * 30),
    ],
)
def test_document_with_a_number_too_large_is_refused(body):
    with pytest.raises(ValueError, match=r".+"):
        decode_document(body, HABITS)


@pytest.mark.parametrize(
    ("body", "boot"), [(b"", ""), (b"{}", ""), (b'{"born":17,"why":1}', "17")]
)
def test_deregistration_returns_the_boot_id(body, boot):
    assert decode_deregistration(body) == boot


def test_malformed_deregistration_is_refused():
    with pytest.raises(ValueError, match=r".+"):
        decode_deregistration(b"no json")


@pytest.mark.parametrize(
    ("value", "figures"),
    [
        (b"3,0,8", (3, 0, 8, 1.0)),
        (b"9,2,9,700", (9, 2, 9, 7.0)),
        (b"9, 2, 9, 50", (9, 2, 9, 0.5)),
    ],
)
def test_load_header_is_decoded(value, figures):
    load = decode_load(value)
    assert (load.in_flight, load.queued, load.slots, load.slowness) == figures


@pytest.mark.parametrize(
    "value",
    [b"", b"3", b"a,b,c", b"3,0", b"inf,0,8", b"nan,0,8", b"0,0,1e300", b"0,0,8,inf"],
)
def test_malformed_load_header_is_ignored(value):
    assert decode_load(value) is None


SETTINGS = """
[process]
name = n1
data_centre = north
key = a key of sixteen characters
[node]
caller_address = 10.0.0.1:1
peer_address = 10.0.0.1:2
admin_address = 10.0.0.1:3
control_addresses = 10.0.0.9:8144, 10.0.0.8:8144
control_port = 7380
[bounds]
grace_s = 6
budget_slack = 56
retry_budget_ratio = 0.2
budget_window_s = 10
exposure_share = 0.1
memory_mb = 200
max_fds = 4100
never_heard_of = true
"""


def test_bounds_are_copied_to_settings(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text(SETTINGS)
    settings = load_platform_settings(path)
    assert settings.node.drain_timeout_ms < 6_000
    assert (settings.entry.retry_share, settings.entry.retry_slack) == (0.2, 56.0)
    assert settings.entry.retry_window_ms == 10_000.0
    assert settings.control.release_share == 0.1
    assert settings.holdings.held_bytes == 40 * 1_048_576
    assert settings.entry.connection_limit == 2_050
    assert settings.node.control_streams()[0] == Address("10.0.0.9", 7380)


# Guards against repeats on an allowance of each node where the platform allows none.
def test_bounds_that_allow_no_repeat_are_a_shared_budget_of_nothing(tmp_path):
    template = (DEPLOY / "node.ini").read_text()
    own, _, _ = template.partition("[bounds]")
    text = SETTINGS.replace("budget_slack = 56", "budget_slack = 0")
    text = text.replace("retry_budget_ratio = 0.2", "retry_budget_ratio = 0")
    entry = own[own.index("[entry]") :]
    path = tmp_path / "node.ini"
    path.write_text(text.replace("[bounds]", f"{entry}\n[bounds]"))
    settings = load_platform_settings(path).entry
    assert (settings.retry_share, settings.retry_slack) == (0.0, 0.0)
    assert settings.has_retry_budget
    budget = RepeatBudget(0.0, 0.0, settings.retry_window_ms, 0.0)
    for now_ms in range(0, 60_000, 10):
        budget.request_sent(now_ms)
        assert not budget.allows(now_ms)


def test_malformed_settings_file_is_refused(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text("node_name: x\n- y\n")
    with pytest.raises(SettingsError, match="can't be read"):
        load_platform_settings(path)


@pytest.mark.parametrize("value", ["soon", "", "nan", "inf"])
def test_bound_that_is_no_number_is_refused(tmp_path, value):
    path = tmp_path / "node.ini"
    path.write_text(SETTINGS.replace("grace_s = 6", f"grace_s = {value}"))
    with pytest.raises(SettingsError):
        load_platform_settings(path)
