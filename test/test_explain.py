"""The outcome of a request, explained from the logs of several processes."""

import pytest

from cicadawheel.explain import REFUSAL_CAUSES, explain
from cicadawheel.messages import RefusalReason
from cicadawheel.ui import main

ENTRY = """
33.1 n1 at=2026-08-12T10:40:27.001Z level=INFO event=call_placed process=n1 request=r1 service=shop node=n2 slowness=1 calls=0 age_ms=12
at=2026-08-12T10:40:27.002Z level=INFO event=call_placed process=n1 request=r2 service=shop node=n2
at=2026-08-12T10:40:27.900Z level=INFO event=call_refused process=n1 request=r1 service=shop node=n3 reason="queue deadline" not_run=True attempts=2
at=2026-08-12T10:40:27.901Z level=INFO event=call_ended process=n1 request=r1 route=h/ end="not run" status=503 node=n3 took_ms=900
at=2026-08-12T10:40:28.000Z level=INFO event=call_ended process=n1 request=r2 route=h/ end=answered status=200 node=n2 took_ms=98.5
""".splitlines()  # noqa: E501
NESTED = """
at=2026-08-12T10:40:27.100Z level=INFO event=call_refused process=n2 request=r3.a service=stock node=n4 reason=overload not_run=True attempts=3
at=2026-08-12T10:40:27.101Z level=INFO event=call_ended process=n2 request=r3.a end="not run" status=503 node=n4 took_ms=50
at=2026-08-12T10:40:27.200Z level=INFO event=call_ended process=n1 request=r3 end=answered status=500 node=n2 took_ms=180
at=2026-08-12T10:40:27.300Z level=INFO event=call_ended process=n1 request=r33 end="caller left" status=0 took_ms=10
no line at all event=
""".splitlines()  # noqa: E501


def test_lines_are_sorted_by_time():
    explanation = explain("r1", reversed(ENTRY))
    assert [line.event for line in explanation.lines] == [
        "call_placed",
        "call_refused",
        "call_ended",
    ]


@pytest.mark.parametrize(
    ("request_id", "cause"),
    [
        ("r1", "would have passed its deadline; it was not run"),
        ("r2", "it was answered 200 after 98.5 ms"),
        ("r3", "its own call r3.a failed: upstreams had more calls"),
        ("r33", "its caller left after 10 ms"),
        ("r4", "no line shows how it ended"),
    ],
)
def test_cause_of_each_outcome(request_id, cause):
    assert cause in explain(request_id, [*ENTRY, *NESTED]).cause


def test_longer_request_id_with_the_same_prefix_does_not_match():
    assert len(explain("r3", NESTED).lines) == 3


def test_every_refusal_reason_has_a_cause():
    assert set(REFUSAL_CAUSES) == set(RefusalReason)


def test_command_prints_lines_and_cause(tmp_path, capsys):
    (tmp_path / "n1.log").write_text("\n".join(ENTRY))
    (tmp_path / "n2.log").write_text("\n".join(NESTED))
    logs = [str(tmp_path / "n1.log"), str(tmp_path / "n2.log")]
    assert main(["explain", "r3", *logs]) == 0
    output = capsys.readouterr().out
    assert "n2 call_refused request=r3.a" in output
    assert output.splitlines()[-1].startswith("cause: its own call r3.a failed")


@pytest.mark.parametrize("log", ["n1.log", "none.log"])
def test_missing_request_or_log_is_an_error(tmp_path, capsys, log):
    (tmp_path / "n1.log").write_text("\n".join(ENTRY))
    assert main(["explain", "r9", str(tmp_path / log)]) == 2
    assert "cicadawheel: " in capsys.readouterr().err
