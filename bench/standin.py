"""The request handling of a stand-in upstream, without its sockets."""

import asyncio
import os
import random
import secrets
import time

import msgspec

from bench.behaviour import (
    Behaviour,
    ColdStart,
    Fault,
    LoadHistory,
    Report,
    ServiceTime,
    fault_of,
)
from bench.content import (
    CRASH_PATH,
    HEADER_ANSWER_BYTES,
    HEADER_ATTEMPT,
    HEADER_CHECKSUM,
    HEADER_CRASH,
    HEADER_DATA_CENTRE,
    HEADER_TOKEN,
    HEADER_UPSTREAM,
    HEADER_VERSION,
    block_of,
    checksum,
    chunks,
)
from bench.record import Record, RecordKind, RecordWriter
from bench.upstream_server import UpstreamAnswer, UpstreamRequest
from cicadawheel.announcement import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
    UpstreamLoad,
)
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

CRASH_EXIT_CODE = 70
DEFAULT_ANSWER_BYTES = 200


class UpstreamOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The options of a stand-in upstream, read from a JSON file.

    Without ``node_admin`` it sends no announcements. ``announced_port`` is the port of
    a proxy in front of it, or 0 for none.
    """

    upstream: str
    service: str
    version: str
    data_centre: str
    port: int
    control_port: int
    slots: int = 10
    connections: int = 200
    seed: int = 1
    node_admin: Address | None = None
    announced_port: int = 0
    behaviour: Behaviour = Behaviour()


class Counters(msgspec.Struct):
    """The counters of a stand-in upstream since its start."""

    runs: int = 0
    shed: int = 0
    cancelled: int = 0
    overloads: int = 0
    in_flight: int = 0
    in_flight_max: int = 0
    cold: bool = True


def now_ms() -> float:
    """Return milliseconds on the monotonic clock."""
    return time.monotonic() * MS_PER_S


class Upstream:
    """The request handling of a stand-in upstream, without its sockets.

    Parameters
    ----------
    options : UpstreamOptions
        Its identity and initial behaviour.
    record : RecordWriter
        Receives a record of each execution before it starts.
    """

    def __init__(self, options: UpstreamOptions, record: RecordWriter):
        self.options = options
        self.behaviour = options.behaviour
        self.boot = secrets.token_hex(6)
        self.leaving = False
        self.counters = Counters()
        self._rng = random.Random(options.seed)
        self._service_time = ServiceTime(self._rng)
        self._started_ms = now_ms()
        self._cold = ColdStart(options.slots, self._started_ms)
        self._history = LoadHistory()
        self._slots = asyncio.Semaphore(options.slots)
        self._waiting = 0
        self._record = record
        self._write(RecordKind.STARTED, None)

    @property
    def in_flight(self) -> int:
        """The number of requests that run or wait for a slot."""
        return self.counters.in_flight

    def fall_back(self) -> None:
        """Return to cold start without an announcement."""
        self._cold.restart(now_ms())
        self._write(RecordKind.FELL_BACK, None)

    def read_counters(self) -> Counters:
        """Return the counters, with overloads and cold start brought up to date."""
        self.counters.overloads = self._cold.overloads
        self.counters.cold = self._cold.is_cold(self.behaviour, now_ms())
        return self.counters

    async def handle(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Answer one request of the data port."""
        if request.path == "/health":
            return self._health()
        if request.path == "/load":
            return self._load()
        if self.behaviour.shed_waiting and self._waiting >= self.behaviour.shed_waiting:
            self.counters.shed += 1
            self._write(RecordKind.SHED, request)
            return _text_answer(503, b"shed\n", [(HEADER_NOT_RUN, b"1")])
        self._count(1)
        try:
            return await self._wait_and_run(request)
        except asyncio.CancelledError:
            self.counters.cancelled += 1
            self._write(RecordKind.CANCELLED, request)
            raise
        finally:
            self._count(-1)

    async def _wait_and_run(self, request: UpstreamRequest) -> UpstreamAnswer:
        deadline_ms = float(request.text(HEADER_DEADLINE_MS) or "inf")
        ends_ms = now_ms() + deadline_ms
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if now_ms() > ends_ms:
                self._write(RecordKind.EXPIRED, request)
                return _text_answer(504, b"expired\n", [(HEADER_NOT_RUN, b"1")])
            return await self._run(request, ends_ms)
        finally:
            self._slots.release()

    async def _run(self, request: UpstreamRequest, ends_ms: float) -> UpstreamAnswer:
        self.counters.runs += 1
        self._write(RecordKind.RUN, request)
        if request.path.startswith(CRASH_PATH) or HEADER_CRASH in request.headers:
            self._write(RecordKind.CRASH, request)
            os._exit(CRASH_EXIT_CODE)
        at_ms = now_ms()
        bad = self.behaviour.bad
        age_ms = at_ms - self._started_ms
        fault = fault_of(bad, request.path, self.in_flight, age_ms, self._rng)
        disturbed = self.behaviour.noise.is_on(time.time() * MS_PER_S)
        fallen = self._cold.is_fallen(at_ms)
        service_ms = self._service_ms(fault, disturbed, at_ms)
        left_ms = ends_ms - at_ms
        if service_ms > 0:
            await asyncio.sleep(min(service_ms, left_ms) / MS_PER_S)
        if service_ms > left_ms:
            return _text_answer(504, b"deadline\n", [])
        if fallen:
            return _text_answer(503, b"overloaded\n", [])
        if fault is Fault.FAIL:
            return _text_answer(500, b"bad version\n", [])
        if disturbed and self._rng.random() < self.behaviour.noise.fail_share:
            return _text_answer(500, b"disturbed\n", [])
        return self._answer(request)

    def _service_ms(self, fault: Fault, disturbed: bool, at_ms: float) -> float:
        service_ms = self._service_time.draw_ms(self.behaviour)
        if fault is Fault.SLOW:
            service_ms *= self.behaviour.bad.slow_factor
        if disturbed:
            service_ms *= self.behaviour.noise.slow_factor
        return service_ms * self._cold.slow_factor(self.behaviour, at_ms)

    def _answer(self, request: UpstreamRequest) -> UpstreamAnswer:
        wanted = request.text(HEADER_ANSWER_BYTES)
        size_bytes = int(wanted) if wanted.isdigit() else DEFAULT_ANSWER_BYTES
        block = block_of(request.text(HEADER_TOKEN), request.body_digest)
        headers = [
            (b"content-type", b"application/octet-stream"),
            (HEADER_TOKEN, request.headers.get(HEADER_TOKEN, b"")),
            (HEADER_CHECKSUM, checksum(block, size_bytes).encode()),
            (HEADER_UPSTREAM, self.options.upstream.encode()),
            (HEADER_VERSION, self.options.version.encode()),
            (HEADER_DATA_CENTRE, self.options.data_centre.encode()),
        ]
        return UpstreamAnswer(200, headers, size_bytes, chunks(block, size_bytes))

    def _health(self) -> UpstreamAnswer:
        report = self.behaviour.report
        if report is Report.FAILING:
            return _text_answer(503, b"failing\n", [])
        if report is Report.TRUE and self._cold.is_fallen(now_ms()):
            return _text_answer(503, b"overloaded\n", [])
        return _text_answer(200, b"ok\n", [])

    def _load(self) -> UpstreamAnswer:
        in_flight = self._history.report(self.behaviour, self._rng, now_ms())
        load = UpstreamLoad(in_flight, self.options.slots)
        return _text_answer(200, msgspec.json.encode(load), [])

    def _count(self, change: int) -> None:
        counters = self.counters
        counters.in_flight += change
        counters.in_flight_max = max(counters.in_flight_max, counters.in_flight)
        at_ms = now_ms()
        self._history.note(counters.in_flight, at_ms)
        if self._cold.note(self.behaviour, counters.in_flight, at_ms):
            self._write(RecordKind.OVERLOAD, None)

    def _write(self, kind: RecordKind, request: UpstreamRequest | None) -> None:
        options = self.options
        record = Record(
            kind=kind,
            at_ms=int(time.time() * MS_PER_S),
            upstream=options.upstream,
            boot=self.boot,
            service=options.service,
            version=options.version,
            data_centre=options.data_centre,
            in_flight=self.counters.in_flight,
            leaving=self.leaving,
        )
        if request is not None:
            record = msgspec.structs.replace(
                record,
                token=request.text(HEADER_TOKEN),
                attempt=request.text(HEADER_ATTEMPT),
                key=request.text(HEADER_IDEMPOTENCY_KEY),
                request=request.text(HEADER_REQUEST_ID),
                method=request.method,
                path=request.path,
            )
        self._record.append(record)

    def leave(self) -> None:
        """Record that the upstream leaves."""
        self.leaving = True
        self._write(RecordKind.LEFT, None)


def _text_answer(
    status: int, body: bytes, headers: list[tuple[bytes, bytes]]
) -> UpstreamAnswer:
    fields = [(b"content-type", b"text/plain"), *headers]
    return UpstreamAnswer(status, fields, len(body), [body])
