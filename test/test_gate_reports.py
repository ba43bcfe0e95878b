"""Load and health reports of the upstream, which may be outdated or wrong."""

from cicadawheel.announcement import UpstreamLoad
from cicadawheel.gate.reports import ReportWatch
from cicadawheel.settings import GateSettings

WARM = UpstreamLoad(0, 10)
COLD = UpstreamLoad(0, 10, cold=True)


def test_reported_cold_start_restarts_the_warm_up_once():
    watch = ReportWatch(GateSettings())
    assert watch.load_read(WARM, 0.0) == ""
    assert watch.load_read(COLD, 500.0)
    assert watch.load_read(COLD, 1_000.0) == ""


def test_flapping_report_restarts_the_warm_up_rarely():
    watch = ReportWatch(GateSettings())
    causes = [
        watch.load_read(COLD if i % 2 else WARM, i * 500.0) for i in range(2 * 60)
    ]
    assert sum(map(bool, causes)) == 2


def test_two_failed_health_checks_restart_the_warm_up():
    watch = ReportWatch(GateSettings())
    health = [True, False, True, False, False, False]
    causes = [watch.health_read(ok, i * 500.0) for i, ok in enumerate(health)]
    assert list(map(bool, causes)) == [False, False, False, False, True, False]


def test_reports_are_read_at_their_interval():
    watch = ReportWatch(GateSettings())
    watch.report_requested(1_000.0)
    assert not watch.is_due(1_400.0)
    assert watch.is_due(1_500.0)
