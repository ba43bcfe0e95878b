"""Simulated releases of good and bad versions, with 20 seeds for each kind.

The release decisions run the product's code without sockets; `bench.releases`
describes what is modelled.
"""

import asyncio
from concurrent.futures import ProcessPoolExecutor

from bench.experiment import Experiment, Findings, at_least, at_most
from bench.progress import report
from bench.releases.fault import DEADLINE_MS, Fault, ReleaseOutcome
from bench.releases.model import CALLS_PER_S, ENTRIES, run_release
from bench.releases.upstreams import UPSTREAMS
from cicadawheel.configuration import ReleaseHabits
from cicadawheel.timer import MS_PER_S

SEEDS = 20
WORKERS = 2
BYTES_PER_S = 3_000.0


async def run(seed: int) -> Findings:
    """Run every kind with all its seeds."""
    loop = asyncio.get_running_loop()
    outcomes: dict[Fault, list[ReleaseOutcome]] = {}
    with ProcessPoolExecutor(WORKERS) as workers:
        waiting = {
            fault: [
                loop.run_in_executor(workers, run_release, fault, seed * SEEDS + number)
                for number in range(SEEDS)
            ]
            for fault in Fault
        }
        for fault, futures in waiting.items():
            outcomes[fault] = await asyncio.gather(*futures)
            _report_kind(fault, outcomes[fault])
    figures = _figures(outcomes)
    targets = (
        at_least("good_done_in_time_share", 1.0),
        at_most("bad_left_in", 0),
        at_most("proof_share_max", ReleaseHabits().proof_share_limit),
        at_most("evidence_bytes_per_s_max", BYTES_PER_S),
    )
    parameters = {
        "seeds": SEEDS,
        "kinds": len(Fault),
        "calls_per_s": CALLS_PER_S,
        "deadline_s": DEADLINE_MS / MS_PER_S,
        "entries": ENTRIES,
        "upstreams_of_each_version": UPSTREAMS,
    }
    return Findings(parameters, figures, targets)


def _report_kind(fault: Fault, outcomes: list[ReleaseOutcome]) -> None:
    report(
        "release_kind",
        kind=fault.value,
        right=sum(outcome.is_right for outcome in outcomes),
        of=len(outcomes),
        reopened=sum(outcome.reopened for outcome in outcomes),
        ended_max_s=max(outcome.ended_after_ms for outcome in outcomes) / MS_PER_S,
        taken_back_max_s=_slowest_s(outcomes),
        bad_share_max=max(outcome.bad_share for outcome in outcomes),
    )


def _figures(outcomes: dict[Fault, list[ReleaseOutcome]]) -> dict[str, float]:
    good = [each for fault, held in outcomes.items() if fault.is_good for each in held]
    bad = [
        each for fault, held in outcomes.items() if not fault.is_good for each in held
    ]
    figures = {
        "good_done_in_time_share": sum(each.is_right for each in good) / len(good),
        "good_reopened": sum(each.reopened for each in good),
        "bad_left_in": sum(not each.is_right for each in bad),
        "proof_share_max": max(each.new_share_proof for each in good + bad),
        "evidence_bytes_per_s_max": max(each.evidence_bytes_per_s for each in good),
    }
    for fault, held in outcomes.items():
        if fault.is_good:
            continue
        name = fault.name.lower()
        figures[f"{name}_taken_back_max_s"] = _slowest_s(held)
        figures[f"{name}_share_max"] = max(each.bad_share for each in held)
        figures[f"{name}_share_1s_max"] = max(each.bad_share_1s for each in held)
    return figures


def _slowest_s(outcomes: list[ReleaseOutcome]) -> float:
    return max(
        (each.ended_after_ms - (each.bad_since_ms or 0.0)) / MS_PER_S
        for each in outcomes
    )


EXPERIMENT = Experiment(
    "release", "Good and bad versions, 20 seeds of each kind, on a model.", run
)
