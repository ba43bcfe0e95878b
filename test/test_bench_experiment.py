"""Tests the experiment runner and the counts that its verdicts are based on."""

import msgspec
import pytest

from bench.experiment import (
    EXIT_MET,
    EXIT_MISSED,
    EXIT_NOT_RUN,
    Experiment,
    Findings,
    Result,
    at_least,
    at_most,
    run_experiment,
)
from bench.experiments import experiment_names, find_experiment
from bench.experiments.cold_start import recovery_ms
from bench.experiments.measuring import parse_probe_count
from bench.history import OutPeriod, check_history
from bench.load_result import LoadResult
from bench.record import RECORD_SUFFIX, Record, RecordKind, read_records
from bench.sockets import parse_socket_bytes
from cicadawheel.errors import CicadawheelError, UserError


def record(kind, at_ms, **fields):
    names = {"upstream": "u", "boot": "b", "service": "s", "data_centre": "a"}
    return Record(kind, at_ms, version="1", **{**names, **fields})


def experiment_of(figures, *targets):
    async def run(seed):
        return Findings({"seed_seen": seed}, figures, targets)

    return Experiment("trial", "A trial.", run)


@pytest.mark.parametrize(
    ("figures", "expected"),
    [
        ({"x_ms": 1.0, "share": 0.9}, EXIT_MET),
        ({"x_ms": 2.1, "share": 0.9}, EXIT_MISSED),
        ({"x_ms": 1.0, "share": 0.8}, EXIT_MISSED),
        ({"share": 0.9}, EXIT_MISSED),
        ({"x_ms": float("nan"), "share": 0.9}, EXIT_MISSED),
    ],
)
def test_verdict_sets_exit_code_and_last_line(figures, expected, tmp_path, capsys):
    experiment = experiment_of(figures, at_most("x_ms", 2.0), at_least("share", 0.9))
    out = tmp_path / "out.json"
    assert run_experiment(experiment, 3, out) == expected
    verdict = "met" if expected == EXIT_MET else "missed"
    last = capsys.readouterr().out.splitlines()[-1]
    start = f"event=bench_done experiment=trial seed=3 verdict={verdict}"
    assert last.startswith(start)
    assert b'"seed": 3' in out.read_bytes()


def test_result_folder_is_created(tmp_path):
    out = tmp_path / "new" / "out.json"
    experiment = experiment_of({"x_ms": 1.0}, at_most("x_ms", 2.0))
    assert run_experiment(experiment, 3, out) == EXIT_MET
    assert out.exists()


def test_partially_written_record_is_skipped(tmp_path):
    path = tmp_path / f"u{RECORD_SUFFIX}"
    whole = msgspec.json.encode(record(RecordKind.RUN, 1))
    path.write_bytes(whole + b"\n" + whole[:20])
    assert [each.at_ms for each in read_records(tmp_path)] == [1]


def test_result_can_be_read_back(tmp_path):
    out = tmp_path / "out.json"
    run_experiment(experiment_of({"x_ms": 1.0}, at_most("x_ms", 2.0)), 1, out)
    result = msgspec.json.decode(out.read_bytes(), type=Result)
    assert (result.experiment, result.figures) == ("trial", {"x_ms": 1.0})


def test_experiment_that_cannot_run_exits_with_2():
    async def run(seed):
        raise CicadawheelError("no control")

    assert run_experiment(Experiment("x", "", run), 1, None) == EXIT_NOT_RUN


def test_registry_finds_all_and_lists_them_for_unknown_names():
    for name in experiment_names():
        assert find_experiment(name).name.replace("-", "_") == name
    with pytest.raises(UserError, match="overhead"):
        find_experiment("none")


def test_history_counts_each_kind_of_violation():
    records = [
        record(RecordKind.RUN, 4_000, data_centre="out"),
        record(RecordKind.RUN, 2_000, data_centre="out"),
        record(RecordKind.LEFT, 1_000, boot="gone"),
        record(RecordKind.RUN, 3_999, boot="gone"),
        record(RecordKind.RUN, 4_001, boot="gone"),
        record(RecordKind.RUN, 1, key="k"),
        record(RecordKind.RUN, 2, key="k"),
        *(record(RecordKind.CRASH, at, token="t") for at in range(3)),
    ]
    history = check_history(
        [LoadResult("x")], records, [OutPeriod("out", 1_000, 9_000)], 0
    )
    assert history.late_work_out == history.late_work_leaving == 1
    assert history.ran_twice == history.crash_excess == 1
    assert history.wrong == history.refused_but_ran == 0


def test_socket_bytes_are_filtered_by_process_and_port():
    line = 'ESTAB 0 0 127.0.0.1:{} 127.0.0.1:9 users:(("python",pid={},fd=8)) cubic'
    line += " bytes_sent:5 bytes_acked:5 bytes_received:{} segs_out:3"
    text = "\n".join([line.format(1, 7, 2), line.format(2, 7, 3), line.format(1, 8, 9)])
    assert parse_socket_bytes(text, {7})[7].total == 15
    assert parse_socket_bytes(text, {7}, {2})[7].total == 8


def test_probe_counters_are_parsed_from_metrics():
    text = b"# HELP x y\ncicadawheel_probes_total 4.0\n"
    text += b"cicadawheel_probe_bytes_total 800.0\ncicadawheel_probes_created 1e9\n"
    count = parse_probe_count(text, 1.0)
    assert (count.probes, count.size_bytes) == (4.0, 800.0)


def test_recovery_lasts_until_the_share_stays_full():
    runs = [
        record(RecordKind.RUN, at_ms, upstream=name)
        for at_ms in range(0, 20_000, 10)
        for name in ("one", "two")
        if name == "two" or at_ms >= 5_000
    ]
    took_ms = recovery_ms(runs, "one", 2, 0, 20_000)
    assert 5_000 <= took_ms <= 7_000
    assert recovery_ms(runs, "none", 2, 0, 20_000) is None
