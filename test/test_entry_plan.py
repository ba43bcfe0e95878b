"""The plan of a call, as derived from the request's head."""

import pytest

from cicadawheel.configuration import (
    Configuration,
    RepeatRule,
    RouteRule,
    ServiceRule,
)
from cicadawheel.entry.answer import CallerFault
from cicadawheel.entry.plan import plan_call
from cicadawheel.http.fields import RequestHead
from cicadawheel.settings import EntrySettings

SHOP = Configuration(
    services={
        "shop": ServiceRule(
            name="shop",
            deadline_ms=1_000.0,
            routes=(
                RouteRule("book", "*", "/book", RepeatRule.NEVER, 1_000.0),
                RouteRule("any", "*", "/", RepeatRule.REPEATABLE, 1_000.0),
            ),
        )
    }
)


def plan(target, method=b"GET", **fields):
    headers = [(b"host", b"shop")]
    for name, value in fields.items():
        headers.append((name.replace("_", "-").encode(), value))
    head = RequestHead(method, target, headers)
    return plan_call(head, SHOP, EntrySettings())


@pytest.mark.parametrize(
    "target",
    [
        b"/book",
        b"//book",
        b"/./book",
        b"/list/../book",
        b"/%62ook",
        b"/BOOK/../book?x=/list",
        b"http://shop.example/book",
        b"/book/../list",
    ],
)
def test_path_that_may_be_normalised_to_a_never_route_needs_a_key(target):
    assert plan(target) is CallerFault.NO_KEY
    assert plan(target, idempotency_key=b"k").repeatable is False


def test_target_is_forwarded_unchanged():
    assert plan(b"/list//x?a=%62").target == "/list//x?a=%62"
    assert plan(b"/list?next=/book").repeatable is True


@pytest.mark.parametrize("value", [b"9" * 5_000, b"-1", b"1.5", b""])
def test_invalid_number_is_the_callers_fault(value):
    assert plan(b"/", cicadawheel_deadline_ms=value) is CallerFault.BAD_DEADLINE
    assert plan(b"/", cicadawheel_depth=value) is CallerFault.BAD_DEPTH
