"""Releases with real processes: three bad versions in turn, followed by a good one."""

import asyncio
import time

import msgspec

from bench.arrivals import PoissonArrivals
from bench.behaviour import BadVersion, Behaviour, Fault
from bench.calls import CallKind
from bench.experiment import Experiment, Findings, at_least, at_most
from bench.launcher import Deployment
from bench.load import LoadPlan, run_load
from bench.progress import report
from bench.record import Record, RecordKind
from bench.serving import serve, warm_up, with_services
from bench.topology import FIRST_VERSION, Topology, kushiro
from cicadawheel.configuration import Configuration, ReleaseState
from cicadawheel.control.command import StartRelease
from cicadawheel.operator import new_operation_id
from cicadawheel.timer import MS_PER_S

SERVICE = "booking"
NEW_VERSION = "2"
UPSTREAMS = 3
CALLS_PER_S = 120.0
SERVICE_TIME_MS = 80.0
STAGE_MIN_MS = 3_000.0
BAD_MS = 35_000.0
GOOD_MS = 60_000.0
POLL_MS = 100.0
PROOF_SHARE_LIMIT = 0.05
LAST_CALL_MS = 2_000.0
ENDS = (ReleaseState.DONE, ReleaseState.TAKEN_BACK)
CALLS = (
    CallKind("calendar", SERVICE, path="/availability/x", weight=0.9),
    CallKind("rooms", SERVICE, path="/rooms/x", weight=0.1),
)
USUAL = Behaviour(service_time_ms=SERVICE_TIME_MS, service_sigma=0.3)
BAD = {
    "fails": BadVersion(Fault.FAIL, share=0.3),
    "fails_loaded": BadVersion(Fault.FAIL, at_in_flight=3),
    "slow": BadVersion(Fault.SLOW, slow_factor=3.0),
}


class CaseResult(msgspec.Struct, frozen=True):
    """The outcome of one release."""

    state: ReleaseState
    ended_after_ms: float
    new_share: float
    last_new_call_ms: float
    failed: int


def _topology(seed: int) -> Topology:
    topology = with_services(kushiro(), SERVICE)
    old = msgspec.structs.replace(
        topology.services[0], upstreams=UPSTREAMS, behaviour=USUAL
    )
    new = msgspec.structs.replace(old, version=NEW_VERSION)
    return msgspec.structs.replace(
        topology, services=(old, new), replicas=1, seed=seed, name="release-live"
    )


def _shorten_stages(configuration: Configuration) -> Configuration:
    rule = configuration.services[SERVICE]
    habits = msgspec.structs.replace(rule.habits, stage_min_ms=STAGE_MIN_MS)
    rule = msgspec.structs.replace(rule, habits=habits)
    return msgspec.structs.replace(
        configuration, services={**configuration.services, SERVICE: rule}
    )


async def _change_new(deployment: Deployment, bad: BadVersion) -> None:
    behaviour = msgspec.structs.replace(USUAL, bad=bad)
    for place in deployment.nodes:
        if place.options.version == NEW_VERSION:
            await place.change(behaviour)


async def _start_release(deployment: Deployment, limit_ms: float) -> None:
    configuration = await deployment.configuration()
    command = StartRelease(
        now_ms=0,
        operation=new_operation_id(),
        expected_revision=configuration.revision,
        service=SERVICE,
        version=NEW_VERSION,
        deadline_at_ms=int(time.time() * MS_PER_S + limit_ms),
    )
    outcome = await deployment.operate(command)
    report("release_started", state=outcome.state.value, message=outcome.message)


async def _wait_ended(deployment: Deployment, limit_ms: float) -> ReleaseState:
    ends_s = time.monotonic() + limit_ms / MS_PER_S
    while True:
        configuration = await deployment.configuration()
        release = configuration.release_of(SERVICE)
        if release.state in ENDS or time.monotonic() > ends_s:
            report("release_ended", state=release.state.value, reason=release.reason)
            return release.state
        await asyncio.sleep(POLL_MS / MS_PER_S)


async def _run_case(
    deployment: Deployment, name: str, bad: BadVersion, limit_ms: float, seed: int
) -> CaseResult:
    await _change_new(deployment, bad)
    plan = LoadPlan(
        name=f"release-{name}",
        entries=deployment.entries(),
        kinds=CALLS,
        arrivals=PoissonArrivals(CALLS_PER_S),
        duration_ms=limit_ms,
        seed=seed,
    )
    load = asyncio.ensure_future(run_load(plan))
    await _start_release(deployment, limit_ms)
    started_ms = time.time() * MS_PER_S
    state = await _wait_ended(deployment, limit_ms)
    ended_ms = time.time() * MS_PER_S
    result = await load
    runs = [
        held
        for held in deployment.records()
        if held.kind is RecordKind.RUN and started_ms <= held.at_ms
    ]
    before_end = [held for held in runs if held.at_ms <= ended_ms]
    new = [held.at_ms for held in runs if held.version == NEW_VERSION]
    counts = result.counts()
    return CaseResult(
        state=state,
        ended_after_ms=ended_ms - started_ms,
        new_share=_share(before_end),
        last_new_call_ms=max(new, default=ended_ms) - ended_ms,
        failed=counts.failed + counts.lost + counts.wrong,
    )


def _share(runs: list[Record]) -> float:
    new = sum(1 for held in runs if held.version == NEW_VERSION)
    return new / len(runs) if runs else 0.0


async def run(seed: int) -> Findings:
    """Release each bad version in turn, then the good one."""
    results: dict[str, CaseResult] = {}
    async with serve(_topology(seed)) as deployment:
        await deployment.apply(_shorten_stages(await deployment.configuration()))
        await deployment.start_version(NEW_VERSION)
        await warm_up(deployment, CALLS[0], CALLS_PER_S, seed)
        early = sum(
            1
            for held in deployment.records()
            if held.kind is RecordKind.RUN and held.version == NEW_VERSION
        )
        for name, bad in BAD.items():
            results[name] = await _run_case(deployment, name, bad, BAD_MS, seed)
            report("case_ended", case=name, state=results[name].state.value)
        results["good"] = await _run_case(
            deployment, "good", BadVersion(), GOOD_MS, seed
        )
    return _findings(results, early)


def _findings(results: dict[str, CaseResult], early: int) -> Findings:
    bad = [results[name] for name in BAD]
    figures: dict[str, float] = {
        "good_done": float(results["good"].state is ReleaseState.DONE),
        "bad_taken_back": sum(held.state is ReleaseState.TAKEN_BACK for held in bad),
        "bad_share_max": max(held.new_share for held in bad),
        "last_new_call_max_ms": max(held.last_new_call_ms for held in bad),
        "calls_before_release": early,
        "good_failed_calls": results["good"].failed,
    }
    for name, held in results.items():
        figures[f"{name}_ended_after_s"] = held.ended_after_ms / MS_PER_S
        figures[f"{name}_share"] = held.new_share
        figures[f"{name}_failed_calls"] = held.failed
    targets = (
        at_least("good_done", 1),
        at_least("bad_taken_back", len(BAD)),
        at_most("bad_share_max", PROOF_SHARE_LIMIT),
        at_most("last_new_call_max_ms", LAST_CALL_MS),
        at_most("calls_before_release", 0),
        at_most("good_failed_calls", 0),
    )
    parameters = {
        "calls_per_s": CALLS_PER_S,
        "upstreams_of_each_version": UPSTREAMS,
        "stage_min_ms": STAGE_MIN_MS,
        "first_version": FIRST_VERSION,
    }
    return Findings(parameters, figures, targets)


EXPERIMENT = Experiment(
    "release_live", "Three bad versions and a good one, with real processes.", run
)
