"""Tests the faults and invariant checks of soaks, and runs short soaks."""

import random

import msgspec
import pytest

from bench.history import OutPeriod
from bench.launcher import Deployment
from bench.load_result import LoadResult, LostAttempt
from bench.machine import BLOCK_BYTES, FaultFile, MachineFaults, lose_power
from bench.record import Record, RecordKind
from bench.scheduler import StartedDisturbance
from bench.soak.promises import ALL_REPLICAS, InvariantChecker, Promises
from bench.soak.run import SoakPlan, run_soak
from bench.soak.seeds import BROKEN_SEEDS
from bench.soak.site import REPLICAS, soak_topology

SHORT_S = 6.0


@pytest.fixture
def fault_file(tmp_path):
    return FaultFile(tmp_path / "machine.faults")


@pytest.fixture
def nodes(tmp_path):
    """Return the nodes of a deployment that is never started."""
    return Deployment(soak_topology(8, 1), tmp_path).nodes


def test_fault_file_returns_the_latest_faults(fault_file):
    assert fault_file.read() == MachineFaults()
    for faults in (MachineFaults(full=True), MachineFaults(sync_delay_ms=5.0)):
        fault_file.write(faults)
        assert fault_file.read() == faults


@pytest.mark.parametrize("seed", range(20))
def test_power_loss_keeps_synced_data(fault_file, tmp_path, seed):
    folder = tmp_path / "data"
    folder.mkdir()
    (folder / "log").write_bytes(b"a" * 1_000 + b"b" * 2_000)
    (folder / "other").write_bytes(b"c" * 10)
    fault_file.write_synced({"log": 1_000})
    gone_bytes = lose_power(folder, fault_file, random.Random(seed))
    data = (folder / "log").read_bytes()
    assert data[:1_000] == b"a" * 1_000
    assert set(data[1_000:]) <= {ord("b"), 0}
    assert len(data) + gone_bytes == 3_000
    zeros = data[1_000:].count(0)
    if zeros:
        torn_from = data.index(0)
        assert torn_from == 1_000 or torn_from % BLOCK_BYTES == 0
        assert data[torn_from : torn_from + zeros] == bytes(zeros)
    assert (folder / "other").read_bytes() == b"c" * 10


def make_run(nodes, at_ms, **fields):
    options = nodes[0].options
    record = Record(
        RecordKind.RUN,
        at_ms,
        options.upstream,
        "boot",
        options.service,
        "1",
        nodes[0].data_centre,
    )
    return msgspec.structs.replace(record, **fields)


def check(nodes, troubles, periods=(), records=(), lost=()):
    result = LoadResult("load")
    result.lost += lost
    checker = InvariantChecker(nodes, list(troubles), list(periods), REPLICAS)
    return checker.check(result, list(records))


def test_late_work_counts_at_undisturbed_nodes_only(nodes):
    period = OutPeriod(nodes[0].data_centre, 10_000, 60_000)
    late = make_run(nodes, 20_000)
    assert check(nodes, [], [period], [late]).late_work_out == 1
    frozen = StartedDisturbance("Frozen", nodes[0].name, 15_000, 19_000)
    assert check(nodes, [frozen], [period], [late]).late_work_out == 0
    other = StartedDisturbance("Frozen", nodes[1].name, 15_000, 19_000)
    assert check(nodes, [other], [period], [late]).late_work_out == 1


def test_late_work_counts_beside_disturbed_replicas_while_most_are_not(nodes):
    period = OutPeriod(nodes[0].data_centre, 10_000, 60_000)
    late = make_run(nodes, 21_000)
    early = make_run(nodes, 19_000)
    stalls = [
        StartedDisturbance("DiskStalled", f"control-{number}", 9_000, 40_000)
        for number in (1, 2, 3)
    ]
    counts = check(nodes, stalls[:2], [period], [early, late])
    assert (counts.late_work_out, counts.late_work_out_stretched) == (0, 1)
    assert check(nodes, stalls, [period], [late]).late_work_out_stretched == 0
    power = StartedDisturbance("PowerLost", ALL_REPLICAS, 15_000, 16_000)
    assert check(nodes, [power], [period], [late]).late_work_out_stretched == 0
    frozen = StartedDisturbance("Frozen", nodes[0].name, 15_000, 16_000)
    assert check(nodes, [frozen], [period], [late]).late_work_out_stretched == 0


def test_evacuation_that_control_has_lost_is_counted(nodes):
    kept = OutPeriod(nodes[0].data_centre, 10_000, 20_000)
    lost = msgspec.structs.replace(kept, lost=True)
    assert check(nodes, [], [kept]).evacuations_lost == 0
    assert check(nodes, [], [kept, lost]).evacuations_lost == 1


def test_cut_off_answers_count_only_if_a_planned_stop_is_the_sole_cause(nodes):
    lost = LostAttempt("x.0", 0, 20_000, 20_400, timed_out=False)
    ran = make_run(nodes, 20_100, attempt="x.0")
    stop = StartedDisturbance("Stopped", nodes[0].name, 20_000)
    kill = StartedDisturbance("Killed", nodes[0].name, 18_000, 19_000)
    assert check(nodes, [stop], records=[ran], lost=[lost]).cut_by_stop == 1
    assert check(nodes, [stop], lost=[lost]).cut_by_stop == 0
    assert check(nodes, [stop, kill], records=[ran], lost=[lost]).cut_by_stop == 0


def test_calls_without_an_answer_count_at_undisturbed_entries_only(nodes):
    lost = LostAttempt("x.0", 0, 20_000, 26_000, timed_out=True)
    assert check(nodes, [], lost=[lost]).held == 1
    frozen = StartedDisturbance("Frozen", nodes[0].name, 25_000)
    assert check(nodes, [frozen], lost=[lost]).held == 0


@pytest.mark.parametrize(
    "plan",
    [SoakPlan(1, duration_s=SHORT_S), *(case.plan for case in BROKEN_SEEDS)],
    ids=lambda plan: f"seed{plan.seed}",
)
def test_soak_violates_no_invariant(runner, tmp_path, plan):
    result = runner.run(run_soak(plan, tmp_path))
    assert result.promises == Promises()
    assert result.answered
