"""Experiments: their definition, results and verdicts."""

import asyncio
import subprocess
import time
from collections.abc import Awaitable, Callable
from enum import Enum
from pathlib import Path

import msgspec

from bench.process import REPOSITORY
from bench.progress import report
from cicadawheel.errors import CicadawheelError

TIME_LIMIT_S = 290.0
EXIT_MET = 0
EXIT_MISSED = 1
EXIT_NOT_RUN = 2


class Comparison(Enum):
    """How a figure is compared with its bound."""

    AT_MOST = "at most"
    AT_LEAST = "at least"


class Verdict(Enum):
    """Whether an experiment met all its targets."""

    MET = "met"
    MISSED = "missed"


class Target(msgspec.Struct, frozen=True):
    """A bound on a figure that an experiment must meet."""

    figure: str
    comparison: Comparison
    bound: float

    def is_met(self, figures: dict[str, float]) -> bool:
        """Return whether the figure was measured and is within its bound."""
        value = figures.get(self.figure)
        if value is None or value != value:
            return False
        if self.comparison is Comparison.AT_MOST:
            return value <= self.bound
        return value >= self.bound


class Findings(msgspec.Struct, frozen=True):
    """The outcome of one run; names of parameters and figures include their units."""

    parameters: dict[str, float | str]
    figures: dict[str, float]
    targets: tuple[Target, ...]


class Experiment(msgspec.Struct, frozen=True):
    """A named experiment. ``run`` takes the seed."""

    name: str
    description: str
    run: Callable[[int], Awaitable[Findings]]


class Result(msgspec.Struct, frozen=True):
    """The result of a run, written as JSON."""

    experiment: str
    seed: int
    commit: str
    duration_s: float
    parameters: dict[str, float | str]
    figures: dict[str, float]
    targets: tuple[Target, ...]
    missed: tuple[str, ...]
    verdict: Verdict


def at_most(figure: str, bound: float) -> Target:
    """Return a target with an upper bound on a figure."""
    return Target(figure, Comparison.AT_MOST, bound)


def at_least(figure: str, bound: float) -> Target:
    """Return a target with a lower bound on a figure."""
    return Target(figure, Comparison.AT_LEAST, bound)


def commit_of_repository() -> str:
    """Return the checked-out commit, marked as dirty if files have changed."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12", "--exclude=*"]
    done = subprocess.run(
        command, cwd=REPOSITORY, capture_output=True, text=True, check=False
    )
    return done.stdout.strip() or "unknown"


def judge_findings(
    experiment: Experiment, seed: int, duration_s: float, findings: Findings
) -> Result:
    """Compare the findings with their targets and return the result."""
    figures = {name: round(value, 6) for name, value in findings.figures.items()}
    missed = [each for each in findings.targets if not each.is_met(figures)]
    return Result(
        experiment=experiment.name,
        seed=seed,
        commit=commit_of_repository(),
        duration_s=round(duration_s, 3),
        parameters=findings.parameters,
        figures=figures,
        targets=findings.targets,
        missed=tuple(target.figure for target in missed),
        verdict=Verdict.MISSED if missed else Verdict.MET,
    )


async def _run_in_time(experiment: Experiment, seed: int) -> Findings:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await experiment.run(seed)


def run_experiment(experiment: Experiment, seed: int, out: Path | None) -> int:
    """Run an experiment, write its result, and return the exit code."""
    report("bench_started", experiment=experiment.name, seed=seed)
    started_s = time.monotonic()
    try:
        if out is not None:
            out.parent.mkdir(parents=True, exist_ok=True)
        findings = asyncio.run(_run_in_time(experiment, seed))
    except (CicadawheelError, OSError, TimeoutError) as error:
        reason = str(error) or f"not done within {TIME_LIMIT_S:.0f} s"
        report("bench_failed", experiment=experiment.name, seed=seed, reason=reason)
        return EXIT_NOT_RUN
    result = judge_findings(experiment, seed, time.monotonic() - started_s, findings)
    if out is not None:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")
    report(
        "bench_done",
        experiment=experiment.name,
        seed=seed,
        verdict=result.verdict.value,
        missed=",".join(result.missed),
        **result.figures,
    )
    return EXIT_MET if result.verdict is Verdict.MET else EXIT_MISSED
