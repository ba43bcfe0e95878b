"""The catalogue of events and metrics is complete and lists nothing removed."""

import re
from pathlib import Path

import pytest

from cicadawheel.control.metrics import ControlMetrics
from cicadawheel.holding_metrics import register_holdings
from cicadawheel.holdings import Holdings
from cicadawheel.metrics import NodeMetrics
from cicadawheel.settings import HoldingSettings
from cicadawheel.timer import SystemClock

ROOT = Path(__file__).parent.parent
CATALOGUE = (ROOT / "docs" / "operators" / "events.md").read_text()
LOG_EVENT_CALL = re.compile(
    r'log_event\(\s*log,\s*"(\w+)"(?:\s+if\s+\w+\s+else\s+"(\w+)")?'
)


def logged_events():
    sources = (path.read_text() for path in (ROOT / "cicadawheel").rglob("*.py"))
    found = (
        name
        for text in sources
        for names in LOG_EVENT_CALL.findall(text)
        for name in names
    )
    return sorted(set(filter(None, found)))


@pytest.mark.parametrize("event", logged_events())
def test_event_is_in_the_catalogue(event):
    assert f"`{event}`" in CATALOGUE


def test_catalogue_lists_no_removed_event():
    rows = [line for line in CATALOGUE.splitlines() if line.startswith("| `")]
    listed = {
        name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])
    }
    known = {*logged_events(), "task_failed", "lines_left_out", *metric_names()}
    assert listed <= known


def metric_families():
    for metrics in (NodeMetrics(), ControlMetrics()):
        register_holdings(metrics.registry, Holdings(HoldingSettings(), SystemClock()))
        yield from metrics.registry.collect()


def metric_names():
    return {
        sample.removesuffix("_bucket")
        for family in metric_families()
        for sample in (f"{family.name}_total", family.name)
    }


def test_metrics_are_in_the_catalogue():
    for family in metric_families():
        assert f"`{family.name}" in CATALOGUE
