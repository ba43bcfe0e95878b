"""Tests the load generator against the stand-in upstream."""

import asyncio
import random
import signal
import socket
import subprocess
import sys

import msgspec
import pytest

from bench.arrivals import PoissonArrivals, ShiftingArrivals
from bench.behaviour import BadVersion, Behaviour, Fault, Noise
from bench.calls import Call, CallKind, CallOutcome, Reply, judge
from bench.content import block_of
from bench.load import LoadPlan, run_loads
from bench.ports import free_port
from bench.record import (
    Record,
    RecordKind,
    RecordWriter,
    count_kind,
    count_ran_twice,
    read_records,
)
from bench.standin import UpstreamOptions
from cicadawheel.errors import ConnectionLostError
from cicadawheel.http.exchange import fetch
from cicadawheel.settings import Address

BOOK = CallKind(
    "book", "booking", "POST", "/bookings", body_bytes=120, never_repeat=True
)
READ = CallKind("read", "booking", path="/availability")


class StandIn:
    def __init__(self, folder, behaviour):
        self.folder = folder
        self.address = Address("127.0.0.1", free_port())
        self.control = Address("127.0.0.1", free_port())
        options = UpstreamOptions(
            upstream="booking-1",
            service="booking",
            version="1",
            data_centre="a",
            port=self.address.port,
            control_port=self.control.port,
            behaviour=behaviour,
        )
        file = folder / "options.json"
        file.write_bytes(msgspec.json.encode(options))
        command = [sys.executable, "-m", "bench", "upstream", str(file)]
        command += ["--record", str(folder / "booking-1.record")]
        self.process = subprocess.Popen(command)

    async def wait_ready(self):
        while True:
            try:
                return await fetch(self.control, "GET", "/counters")
            except ConnectionLostError:
                await asyncio.sleep(0.01)

    async def load(self, *kinds, rate_per_s=200.0, duration_ms=500.0, attempts=1):
        plan = LoadPlan(
            name="test",
            entries=(self.address,),
            kinds=kinds,
            arrivals=PoissonArrivals(rate_per_s),
            duration_ms=duration_ms,
            seed=7,
            attempts=attempts,
        )
        return (await run_loads([plan]))[0]

    def records(self):
        return read_records(self.folder)


@pytest.fixture
def stand_in(tmp_path):
    started = []

    def start(**behaviour):
        behaviour = {"cold_concurrency": 0, "service_time_ms": 2.0, **behaviour}
        started.append(StandIn(tmp_path, Behaviour(**behaviour)))
        return started[-1]

    yield start
    for upstream in started:
        upstream.process.kill()
        upstream.process.wait()


async def run_load(upstream, *kinds, **options):
    await upstream.wait_ready()
    return await upstream.load(*kinds, **options)


def test_every_call_is_answered_and_recorded_once(stand_in):
    upstream = stand_in()
    result = asyncio.run(run_load(upstream, READ, BOOK))
    counts = result.counts()
    assert counts.answered == counts.sent > 50
    assert result.answered_ms(50) >= 2.0
    assert count_kind(upstream.records(), RecordKind.RUN) == counts.sent
    assert count_ran_twice(upstream.records()) == 0


def test_large_request_and_response_bodies_are_checked(stand_in):
    big = CallKind(
        "scan", "booking", "POST", "/scans", 20_000_000, 20_000_000, deadline_ms=20_000
    )
    counts = asyncio.run(run_load(stand_in(), big, rate_per_s=6.0)).counts()
    assert counts.answered == counts.sent > 0


def test_crash_is_recorded_and_lost(stand_in):
    upstream = stand_in()
    crash = CallKind("crash", "booking", path="/crash")
    result = asyncio.run(run_load(upstream, crash))
    assert result.counts().lost == result.counts().sent
    assert upstream.process.wait(5) == 70
    assert count_kind(upstream.records(), RecordKind.CRASH) == 1


def test_cold_upstream_overloads_under_full_load(stand_in):
    upstream = stand_in(cold_concurrency=1, warm_up_ms=60_000, service_time_ms=30.0)
    result = asyncio.run(run_load(upstream, READ))
    assert result.counts().failed > 0
    assert count_kind(upstream.records(), RecordKind.OVERLOAD) > 0


def test_shed_requests_say_not_run_and_did_not_run(stand_in):
    upstream = stand_in(service_time_ms=100.0, shed_waiting=1)
    result = asyncio.run(run_load(upstream, READ, rate_per_s=400.0))
    counts = result.counts()
    assert counts.not_run > 0
    runs = count_kind(upstream.records(), RecordKind.RUN)
    assert counts.answered == runs == counts.sent - counts.not_run


def test_bad_version_fails_on_its_route_only(stand_in):
    upstream = stand_in(bad=BadVersion(fault=Fault.FAIL, path_prefix="/avail"))
    result = asyncio.run(run_load(upstream, READ, BOOK))
    ends = {(record.kind, record.outcome) for record in result.records}
    assert ends == {
        ("read", CallOutcome.FAILED),
        ("book", CallOutcome.ANSWERED),
    }


def test_noise_periods_follow_unix_time():
    noise = Noise(every_ms=1_000.0, lasts_ms=200.0, offset_ms=300.0)
    on = [at_ms for at_ms in range(0, 2_000, 100) if noise.is_on(at_ms)]
    assert on == [300, 400, 1_300, 1_400]
    assert not Noise().is_on(0)


def test_upstream_under_noise_fails_its_share_of_calls(stand_in):
    always = Noise(every_ms=1.0, lasts_ms=1.0, fail_share=1.0)
    upstream = stand_in(noise=always)
    counts = asyncio.run(run_load(upstream, READ)).counts()
    assert counts.failed == counts.sent > 0


def test_drain_finishes_calls_in_flight(stand_in):
    upstream = stand_in(service_time_ms=400.0)

    async def run():
        await upstream.wait_ready()
        loading = asyncio.ensure_future(upstream.load(READ, rate_per_s=100.0))
        while not upstream.records() or not count_kind(
            upstream.records(), RecordKind.RUN
        ):
            await asyncio.sleep(0.01)
        upstream.process.send_signal(signal.SIGTERM)
        return await loading

    result = asyncio.run(run())
    assert upstream.process.wait(10) == 0
    runs = count_kind(upstream.records(), RecordKind.RUN)
    assert result.counts().answered == runs > 0


def test_behaviour_changes_while_running(stand_in):
    upstream = stand_in()

    async def run():
        await upstream.wait_ready()
        slow = Behaviour(service_time_ms=50.0, cold_concurrency=0)
        await fetch(upstream.control, "POST", "/control", msgspec.json.encode(slow))
        return await upstream.load(READ)

    assert asyncio.run(run()).answered_ms(5) >= 49.0


def test_key_that_ran_twice_is_counted(tmp_path):
    writer = RecordWriter(tmp_path / "booking-1.record")
    for key in ("a", "b", "a", ""):
        run = Record(RecordKind.RUN, 1, "booking-1", "x", "booking", "1", "a", key=key)
        writer.append(run)
    writer.close()
    assert count_ran_twice(read_records(tmp_path)) == 1


@pytest.mark.parametrize(
    ("status", "digest", "expected"),
    [
        (200, "other", CallOutcome.WRONG),
        (409, "", CallOutcome.MAY_HAVE_RUN),
        (500, "", CallOutcome.FAILED),
    ],
)
def test_judge_maps_replies_to_outcomes(status, digest, expected):
    call = Call(BOOK, "t", block_of("t", "book"))
    assert judge(call, Reply(status, {}, 0, digest)) is expected


def test_shifting_arrivals_keep_their_mean_rate():
    arrivals = ShiftingArrivals(1_000.0)
    times = list(arrivals.times_ms(random.Random(3), 20_000.0))
    assert times == sorted(times)
    assert len(times) == pytest.approx(20_000, rel=0.05)


def test_reserved_port_cannot_be_bound_by_others_but_can_be_served():
    port = free_port()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(("127.0.0.1", port))

    async def serve():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", port)
        server.close()

    asyncio.run(serve())
