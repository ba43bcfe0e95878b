"""Calls with misbehaving callers, upstreams or connections, over real sockets."""

import asyncio

from msgspec.structs import replace
from site_in_loop import call, until

from cicadawheel.entry.peers import PeerLink
from cicadawheel.gate.decision import Decision, Verdict
from cicadawheel.messages import Body, RefusalReason
from cicadawheel.node.daemon import LEAVE_NOTICE_MS
from cicadawheel.timer import MS_PER_S

STEADY_S = 0.2


class Caller:
    """A raw connection of a caller."""

    def __init__(self, node, limit=2**20):
        self.address = node.settings.node.caller_address
        self.limit = limit

    async def __aenter__(self):
        address = self.address
        self.reader, self.writer = await asyncio.open_connection(
            address.host, address.port, limit=self.limit
        )
        return self

    async def __aexit__(self, *error):
        self.writer.close()

    def send(self, method, target, body=b"", *fields):
        lines = [f"{method} {target} HTTP/1.1", "Host: shop", *fields]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def head(self):
        data = await self.reader.readuntil(b"\r\n\r\n")
        return data.decode("latin-1").lower()

    async def answer(self):
        head = await self.head()
        length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
        return int(head.split(" ")[1]), await self.reader.readexactly(length)


def total(site, name):
    return sum(len(getattr(upstream, name)) for upstream in site.upstreams)


def test_answers_without_body_keep_the_connection_open(on_site):
    async def work(site):
        async with Caller(site.nodes[0]) as caller:
            for _ in range(4):
                caller.send("HEAD", "/list")
                assert "200" in (await caller.head()).split("\r\n")[0]
                caller.send("GET", "/raw/204")
                assert "204" in (await caller.head()).split("\r\n")[0]
                caller.send("GET", "/raw/304")
                assert "304" in (await caller.head()).split("\r\n")[0]
            caller.send("GET", "/list")
            assert (await caller.answer())[0] == 200

    on_site(work)


def test_connection_is_kept_after_an_answer_of_the_entry(on_site):
    async def work(site):
        async with Caller(site.nodes[0]) as caller:
            caller.send("GET", "/", b"", "Cicadawheel-Depth: 8")
            assert (await caller.answer())[0] == 508
            caller.send("GET", "/list")
            assert (await caller.answer())[0] == 200

    on_site(work)


def test_pipelined_requests_are_answered_in_order(on_site):
    async def work(site):
        async with Caller(site.nodes[0]) as caller:
            for number in range(5):
                caller.send("POST", "/list", b"%d" % number)
            answers = [await caller.answer() for _ in range(5)]
        assert [body.split()[1] for _, body in answers] == [
            b"%d" % number for number in range(5)
        ]

    on_site(work)


def test_caller_that_sends_on_without_end_is_read_only_to_a_limit(on_site):
    # All that came after a request was kept in memory until its answer.
    async def work(site):
        async with Caller(site.nodes[0]) as caller:
            caller.send("GET", "/hold")
            await until(lambda: total(site, "held") == 1)
            caller.writer.write(bytes(40_000_000))
            transport = caller.writer.transport
            await until_steady(transport.get_write_buffer_size)
            assert transport.get_write_buffer_size() > 20_000_000
            for upstream in site.upstreams:
                upstream.release()
            assert (await caller.answer())[0] == 200

    on_site(work)


def test_expect_continue_is_answered_before_the_body(on_site):
    async def work(site):
        async with Caller(site.nodes[0]) as caller:
            caller.send(
                "POST", "/list", b"", "Expect: 100-continue", "Content-Length: 5"
            )
            assert "100" in await caller.head()
            caller.writer.write(b"hello")
            status, body = await caller.answer()
            assert (status, body.split()[1]) == (200, b"hello")

    on_site(work)


def test_answer_before_the_end_of_the_body_is_complete(on_site):
    async def work(site):
        for node in site.nodes * 2:
            async with Caller(node) as caller:
                caller.send("POST", "/early", bytes(8_000_000))
                status, body = await caller.answer()
                assert (status, body.split()[1]) == (200, b"early")

    on_site(work)


def test_truncated_answer_never_appears_complete(on_site):
    async def work(site):
        for node in site.nodes * 2:
            async with Caller(node) as caller:
                caller.send("GET", "/half")
                received = await caller.reader.read()
                assert b"half" not in received or len(received) < 100_000

    on_site(work)


def test_disconnect_of_the_caller_cancels_the_upstream_work(on_site):
    async def work(site):
        for node in site.nodes:
            async with Caller(node) as caller:
                caller.send("GET", "/hold")
                await until(lambda: total(site, "held") > 0)
            await until(lambda: all(n.gate.load().in_flight == 0 for n in site.nodes))
            await until(lambda: all(not n.entry.calls for n in site.nodes))
            for upstream in site.upstreams:
                upstream.held.clear()

    on_site(work)


def test_deadline_answer_says_that_the_request_may_have_run(on_site):
    async def work(site):
        for node in site.nodes:
            answer = await call(node, "GET", "/hold", cicadawheel_deadline_ms="200")
            assert answer.status == 504
            assert answer.headers["cicadawheel-not-run"] == "0"
        assert all(node.gate.load().in_flight == 0 for node in site.nodes)

    on_site(work)


def test_not_run_is_not_claimed_after_an_attempt_that_may_have_run(on_site):
    async def work(site):
        answer = await call(site.nodes[0], "GET", "/reset")
        assert answer.status == 502
        assert answer.headers["cicadawheel-not-run"] == "0"

    on_site(work)


def test_planned_stop_of_a_node_interrupts_no_call(on_site):
    async def work(site):
        await site.warm_up()
        calls = [
            asyncio.ensure_future(call(site.nodes[i % 2], "GET", f"/hold/{i}"))
            for i in range(4)
        ]
        await until(lambda: total(site, "held") == 4)
        site.stops[1].set()
        await until(lambda: site.nodes[0].entry.draining)
        later = [await call(site.nodes[1], "GET", "/list") for _ in range(5)]
        assert {answer.status for answer in later} == {200}
        for upstream in site.upstreams:
            upstream.release()
        answers = await asyncio.gather(*calls)
        assert {answer.status for answer in answers} == {200}

    # All four calls may be held at one upstream, which needs slots for further ones.
    on_site(work, slots=16)


def test_leaving_upstream_gets_no_new_work(on_site):
    async def work(site):
        first = asyncio.ensure_future(call(site.nodes[0], "GET", "/hold"))
        await until(lambda: total(site, "held") == 1)
        leaving = next(u for u in site.upstreams if u.held)
        await site.leave(leaving)
        before = len(leaving.runs)
        answers = [await call(site.nodes[i % 2], "GET", "/list") for i in range(10)]
        assert {answer.status for answer in answers} == {200}
        assert len(leaving.runs) == before
        leaving.release()
        assert (await first).status == 200

    on_site(work)


def test_dump_and_metrics_show_the_calls(on_site):
    async def work(site):
        for _ in range(3):
            await call(site.nodes[0], "GET", "/list")
        dump = site.nodes[0].dump()
        assert dump.gate.admission.slots == 4
        assert len(dump.entry.router.candidates) == 2
        registry = site.nodes[0].metrics.registry
        labels = {"service": "shop", "end": "answered"}
        assert registry.get_sample_value("cicadawheel_calls_total", labels) == 3.0
        site.nodes[0].update_gauges()
        assert registry.get_sample_value("cicadawheel_gate_limit") >= 1.0

    on_site(work)


def test_hedge_answers_and_the_first_attempt_is_cancelled(on_site):
    async def work(site):
        await site.warm_up()
        site.nodes[0].entry.hedge_delay_ms = lambda plan: 20.0
        hedged = asyncio.ensure_future(call(site.nodes[0], "GET", "/hold"))
        await until(lambda: all(upstream.held for upstream in site.upstreams))
        site.upstreams[1].release()
        answer = await hedged
        assert (answer.status, answer.body.split()[0]) == (200, b"u-n2")
        await until(lambda: all(n.gate.load().in_flight == 0 for n in site.nodes))
        assert not site.nodes[0].entry.calls

    on_site(work)


def test_request_with_a_body_is_never_hedged(on_site):
    async def work(site):
        await site.warm_up()
        site.nodes[0].entry.hedge_delay_ms = lambda plan: 1.0
        ran = asyncio.ensure_future(call(site.nodes[0], "POST", "/hold", b"body"))
        await until(lambda: total(site, "held") == 1)
        await asyncio.sleep(0.05)
        assert total(site, "held") == 1
        for upstream in site.upstreams:
            upstream.release()
        assert (await ran).status == 200

    on_site(work)


def test_planned_stop_under_load_loses_no_call(on_site):
    async def work(site):
        await site.warm_up()
        statuses = []

        async def send(worker):
            number = 0
            while not site.tasks[2].done():
                number += 1
                key = f"key-{worker}-{number}"
                answer = await call(
                    site.nodes[0], "POST", "/book", b"1", idempotency_key=key
                )
                statuses.append((answer.status, answer.body))

        workers = [asyncio.ensure_future(send(worker)) for worker in range(16)]
        await until(lambda: len(statuses) > 100)
        site.stops[2].set()
        await asyncio.gather(*workers)
        assert {status for status, _ in statuses} == {200}

    on_site(work)


def test_request_late_in_a_planned_stop_is_answered_or_never_passed_on(on_site):
    async def work(site):
        await site.warm_up()
        node = site.nodes[0]
        node.settings = replace(
            node.settings,
            node=replace(node.settings.node, drain_notice_ms=600.0),
        )
        answered, closed = 0, 0
        loop = asyncio.get_running_loop()
        site.stops[1].set()
        ends_at_s = loop.time() + 1.0
        while loop.time() < ends_at_s:
            before = total(site, "runs")
            try:
                async with Caller(node) as caller:
                    await asyncio.sleep(0.02)
                    caller.send("POST", "/book", b"1", f"Idempotency-Key: {before}")
                    status, _ = await caller.answer()
            except (OSError, asyncio.IncompleteReadError):
                closed += 1
                await asyncio.sleep(STEADY_S / 4)
                assert total(site, "runs") == before
            else:
                answered += 1
                assert status in (200, 503)
        assert answered > 5
        assert closed > 2

    on_site(work)


def test_idle_node_stops_only_after_its_peers_know_that_it_leaves(on_site):
    async def work(site):
        loop = asyncio.get_running_loop()
        stopped_at_s = loop.time()
        site.stops[2].set()
        await until(lambda: site.nodes[0].control.view.members["n2"].leaving)
        assert not site.tasks[2].done()
        await site.tasks[2]
        assert (loop.time() - stopped_at_s) * MS_PER_S >= LEAVE_NOTICE_MS

    on_site(work)


def test_slow_caller_exerts_back_pressure_on_the_upstream(on_site):
    async def work(site):
        size = 40_000_000
        for node in site.nodes * 2:
            async with Caller(node, limit=65_536) as caller:
                caller.send("GET", f"/big/{size}")
                await caller.head()
                await until_steady(lambda: unsent_bytes(site))
                assert unsent_bytes(site) > size / 2
                body = await caller.reader.readexactly(size)
                assert len(body) == size

    on_site(work)


def unsent_bytes(site):
    return sum(
        transport.get_write_buffer_size()
        for upstream in site.upstreams
        for transport in upstream.transports
    )


async def until_steady(measure):
    last = None
    while measure() != last:
        last = measure()
        await asyncio.sleep(STEADY_S)


def test_big_body_is_sent_only_to_a_gate_that_accepts_the_call(on_site, monkeypatch):
    sent = []
    original_send = PeerLink.send

    def send(link, message):
        sent.append(message)
        original_send(link, message)

    def refuse(ticket, *rest):
        return Decision(ticket, Verdict.REFUSE, RefusalReason.OVERLOAD)

    async def work(site):
        await site.warm_up()
        far = site.nodes[1]
        body = b"x" * 60_000
        site.nodes[0].gate.drain()
        monkeypatch.setattr(far.gate.admission, "offer", refuse)
        monkeypatch.setattr(PeerLink, "send", send)
        refused = await call(site.nodes[0], "POST", "/any", body)
        assert refused.status == 503
        assert not any(isinstance(message, Body) for message in sent)
        monkeypatch.undo()
        monkeypatch.setattr(PeerLink, "send", send)
        answer = await call(site.nodes[0], "POST", "/any", body)
        assert (answer.status, len(answer.body)) == (200, len(body) + 5)
        chunks = [message for message in sent if isinstance(message, Body)]
        assert sum(len(chunk.data) for chunk in chunks) == len(body)

    on_site(work)


def test_big_body_reaches_the_own_upstream_too(on_site):
    async def work(site):
        await site.warm_up()
        answer = await call(site.nodes[0], "POST", "/any", b"x" * 60_000)
        assert answer.status == 200

    on_site(work, node_count=1)
