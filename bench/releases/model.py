"""Simulates one release: calls, entries and control drive the product's logic."""

import heapq
import random
from collections.abc import Callable

import msgspec

from bench.releases.fault import (
    DEADLINE_MS,
    ROUTES,
    Fault,
    ReleaseOutcome,
    noise_times,
)
from bench.releases.upstreams import NEW, OLD, SLOTS, Upstream, Upstreams
from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    Member,
    ReleaseRule,
    ReleaseState,
    RepeatRule,
    RouteRule,
    ServiceRule,
)
from cicadawheel.control.command import (
    AnyCommand,
    ApplyConfiguration,
    RegisterMember,
    StartRelease,
)
from cicadawheel.control.state import make_control_state
from cicadawheel.release.chooser import VersionChoice
from cicadawheel.release.controller import STEP_MS, make_release_controller
from cicadawheel.release.entry import BLOCK_MS, REPORT_MS, make_entry_releases

SERVICE = "booking"
ENTRIES = 3
CALLS_PER_S = 200.0
QUIET_CALLS_PER_S = 20.0
START_MS = 1_700_000_000_000
RUN_AFTER_DEADLINE_MS = 60_000
RUN_AFTER_TAKEN_BACK_MS = 3_000
DISTRIBUTION_DELAY_MAX_MS = 300.0
WINDOW_MS = 1_000.0
WINDOW_CALLS_MIN = 20


class CallRecord(msgspec.Struct, frozen=True):
    """The start time of a call, and whether it went to the new version."""

    at_ms: float
    is_new: bool
    under_proof: bool


class ReleaseModel:
    """One release from its start to its end, or past its deadline.

    Parameters
    ----------
    fault : Fault
        The injected fault.
    seed : int
        The seed of the random generator.
    """

    def __init__(self, fault: Fault, seed: int):
        self.fault = fault
        self.seed = seed
        self.rng = random.Random(f"{fault.value} {seed}")
        self.state = make_control_state(claim_window_ms=1_000)
        self.controller = make_release_controller()
        self.upstreams = self._make_upstreams()
        self.entries = [
            make_entry_releases(f"n{n}", self.rng.randrange(1 << 30))
            for n in range(ENTRIES)
        ]
        self.in_force = [Configuration()] * ENTRIES
        self.calls: list[CallRecord] = []
        self.events: list[str] = []
        self._index = 0
        self._evidence_bytes = 0
        self._ended_ms = 0.0
        self._end_ms = float(START_MS + DEADLINE_MS + RUN_AFTER_DEADLINE_MS)
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self._queued = 0

    def run(self) -> ReleaseOutcome:
        """Run the simulation and return the outcome of the release."""
        self._prepare()
        self._at(START_MS, self._begin_call)
        self._repeat(BLOCK_MS, self._tick)
        self._repeat(REPORT_MS, self._report)
        self._repeat(STEP_MS, self._step)
        while self._queue:
            now_ms, _, action = heapq.heappop(self._queue)
            if now_ms >= self._end_ms:
                break
            action(now_ms)
        return self._outcome()

    @property
    def release(self) -> ReleaseRule:
        """The release rule in the state of control."""
        return self.state.configuration.release_of(SERVICE)

    def _make_upstreams(self) -> Upstreams:
        end_ms = START_MS + DEADLINE_MS + RUN_AFTER_DEADLINE_MS
        noise = list(noise_times(self.rng, START_MS, end_ms))
        late_ms = START_MS + DEADLINE_MS * self.rng.uniform(0.2, 0.7)
        if self.fault is Fault.FAILS_WHEN_DONE:
            late_ms = START_MS + DEADLINE_MS + self.rng.uniform(0, 10_000)
        return Upstreams(self.fault, self.rng, late_ms, noise)

    def _prepare(self) -> None:
        routes = tuple(
            RouteRule(name, "*", f"/{name}", RepeatRule.REPEATABLE, 1_000.0)
            for name in ROUTES
        )
        rules = Configuration(
            services={SERVICE: ServiceRule(SERVICE, 1_000.0, routes)},
            data_centres={"east": DataCentreRule("east")},
        )
        self._apply(
            ApplyConfiguration(
                now_ms=START_MS, operation="a", expected_revision=0, configuration=rules
            )
        )
        names = [(name, OLD) for name in self.upstreams.names[OLD]]
        names += [(name, NEW) for name in self.upstreams.names[NEW]]
        for port, (name, version) in enumerate(names, start=1):
            member = Member(
                name, name, SERVICE, version, "east", "host", port, SLOTS, 200
            )
            self._apply(RegisterMember(now_ms=START_MS, member=member))
        self._apply(
            StartRelease(
                now_ms=START_MS,
                operation="b",
                expected_revision=self.state.configuration.revision,
                service=SERVICE,
                version=NEW,
                deadline_at_ms=START_MS + DEADLINE_MS,
            )
        )
        self.in_force = [self.state.configuration] * ENTRIES

    def _apply(self, command: AnyCommand) -> None:
        self._index += 1
        outcome = self.state.apply(self._index, command)
        if outcome.message:
            self.events.append(f"{command.now_ms - START_MS} ms: {outcome.message}")

    def _at(self, when_ms: float, action: Callable[[float], None]) -> None:
        self._queued += 1
        heapq.heappush(self._queue, (when_ms, self._queued, action))

    def _repeat(self, interval_ms: float, action: Callable[[float], None]) -> None:
        def act(now_ms: float) -> None:
            action(now_ms)
            self._at(now_ms + interval_ms, act)

        self._at(START_MS + interval_ms, act)

    def _begin_call(self, now_ms: float) -> None:
        quiet = self.fault is Fault.GOOD_QUIET
        rate_per_s = QUIET_CALLS_PER_S if quiet else CALLS_PER_S
        self._at(now_ms + self.rng.expovariate(rate_per_s / 1_000), self._begin_call)
        place = self.rng.randrange(ENTRIES)
        choice = self.entries[place].choose(
            SERVICE, self.in_force[place], self.upstreams.names, now_ms
        )
        under_proof = self.release.state is ReleaseState.STAGED
        self.calls.append(CallRecord(now_ms, choice.version == NEW, under_proof))
        upstream = self.upstreams.pick(choice.version, choice.upstream)
        self._serve(place, choice, upstream, now_ms)

    def _serve(
        self, place: int, choice: VersionChoice, upstream: Upstream, now_ms: float
    ) -> None:
        route = self.rng.choices(list(ROUTES), list(ROUTES.values()))[0]
        failed, latency_ms = self.upstreams.serve(upstream, route, now_ms)

        def end(_now_ms: float) -> None:
            upstream.in_flight -= 1
            self.entries[place].record(SERVICE, choice, route, failed, latency_ms)

        self._at(now_ms + latency_ms, end)

    def _tick(self, now_ms: float) -> None:
        for entry, configuration in zip(self.entries, self.in_force, strict=True):
            entry.tick(configuration, ENTRIES)

    def _report(self, now_ms: float) -> None:
        for entry in self.entries:
            report = entry.take_report()
            if report is not None:
                self._evidence_bytes += len(msgspec.msgpack.encode(report))
                self.controller.add_report(self.state.configuration, report)

    def _step(self, now_ms: float) -> None:
        configuration = self.state.configuration
        members = self.state.members.values()
        for command in self.controller.step(configuration, members, int(now_ms)):
            self._apply(command)
            self._distribute_configuration(now_ms)
            self._record_end_time(now_ms)

    def _distribute_configuration(self, now_ms: float) -> None:
        configuration = self.state.configuration
        for place in range(ENTRIES):

            def put(_now_ms: float, place: int = place) -> None:
                self.in_force[place] = configuration

            self._at(now_ms + self.rng.uniform(0, DISTRIBUTION_DELAY_MAX_MS), put)

    def _record_end_time(self, now_ms: float) -> None:
        if self.release.state is ReleaseState.TAKEN_BACK:
            self._ended_ms = now_ms
            self._end_ms = min(self._end_ms, now_ms + RUN_AFTER_TAKEN_BACK_MS)
        elif self.release.state is ReleaseState.DONE:
            self._ended_ms = self._ended_ms or now_ms

    def _outcome(self) -> ReleaseOutcome:
        release = self.release
        since_ms = self.upstreams.bad_since_ms
        harmed = [call for call in self.calls if since_ms and call.at_ms >= since_ms]
        span_s = (self.calls[-1].at_ms - START_MS) / 1_000
        ended_ms = self._ended_ms or self._end_ms
        return ReleaseOutcome(
            fault=self.fault,
            seed=self.seed,
            state=release.state,
            ended_after_ms=ended_ms - START_MS,
            done_after_ms=max(0, release.done_at_ms - START_MS),
            reopened=sum("compared again" in event for event in self.events),
            bad_since_ms=None if since_ms is None else since_ms - START_MS,
            bad_share=_share(harmed),
            bad_share_1s=_worst_share(self.calls),
            new_share_proof=_share([call for call in self.calls if call.under_proof]),
            evidence_bytes_per_s=self._evidence_bytes / span_s / ENTRIES,
            reason=release.reason,
            events=self.events,
        )


def run_release(fault: Fault, seed: int) -> ReleaseOutcome:
    """Simulate one release and return its outcome."""
    return ReleaseModel(fault, seed).run()


def _share(calls: list[CallRecord]) -> float:
    return sum(call.is_new for call in calls) / len(calls) if calls else 0.0


def _worst_share(calls: list[CallRecord]) -> float:
    windows: dict[int, list[CallRecord]] = {}
    for call in calls:
        windows.setdefault(int(call.at_ms // WINDOW_MS), []).append(call)
    full = [window for window in windows.values() if len(window) >= WINDOW_CALLS_MIN]
    return max(map(_share, full), default=0.0)
