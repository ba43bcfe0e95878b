"""Repeats are charged to the budgets of the gates that send them, on real nodes."""

import asyncio

from site_in_loop import call

from cicadawheel.gate.repeat_budget import RepeatBudget

LONG_MS = 1_000_000.0
SLACK = 6.0
CALLS = 20


class CallingUpstreams:
    """Makes the upstreams of a site fail the first run of each request.

    Any later run makes a nested call to the service through the upstream's own node.
    """

    def __init__(self, site):
        self.site = site
        self.runs = {}
        self.inner = []
        self.tasks = []
        for upstream in site.upstreams:
            upstream.serve = self.serve_at(upstream, upstream.serve)

    def serve_at(self, upstream, serve_others):
        def serve(transport, method, target, body):
            if target.startswith("/outer/"):
                self.runs[target] = self.runs.get(target, 0) + 1
                work = self.answer(upstream, transport, target)
                self.tasks.append(asyncio.ensure_future(work))
                return
            if target.startswith("/inner/"):
                self.inner.append(target)
            serve_others(transport, method, target, body)

        return serve

    async def answer(self, upstream, transport, target):
        status = 500
        if self.runs[target] > 1:
            node = self.site.nodes[self.site.upstreams.index(upstream)]
            name = target.removeprefix("/outer/")
            inner = await call(node, "GET", f"/inner/{name}", X_Request_Id=f"{name}.1")
            status = inner.status
        head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
        transport.write(head.encode())


def share_budget(site):
    for node in site.nodes:
        now_ms = node.clock.now_ms()
        budget = RepeatBudget(0.0, SLACK, LONG_MS, now_ms - 2 * LONG_MS)
        node.gate.repeats.budget = budget
        node.entry.repeats.shared = True
        node.gate.repeats.share_with("shop", len(site.nodes))


def count_sent(site, cause):
    labels = {"service": "shop", "cause": cause, "outcome": "sent"}
    name = "cicadawheel_repeats_total"
    found = [
        node.metrics.registry.get_sample_value(name, labels) for node in site.nodes
    ]
    return sum(value or 0.0 for value in found)


def test_nested_call_of_a_repeated_run_is_charged_to_its_gate(on_site):
    async def work(site):
        await site.warm_up()
        share_budget(site)
        upstreams = CallingUpstreams(site)
        answer = await call(site.nodes[0], "GET", "/outer/a", X_Request_Id="a")
        assert answer.status == 200
        assert (count_sent(site, "failed"), count_sent(site, "within")) == (1, 1)
        spent = sum(node.gate.repeats.report().spent for node in site.nodes)
        assert spent == 2
        assert upstreams.inner == ["/inner/a"]

    on_site(work, node_count=3)


def test_repeats_and_their_nested_calls_stay_within_the_budget_of_a_site(on_site):
    async def work(site):
        await site.warm_up()
        share_budget(site)
        upstreams = CallingUpstreams(site)
        for number in range(CALLS):
            node = site.nodes[number % 3]
            name = f"b{number}"
            answer = await call(node, "GET", f"/outer/{name}", X_Request_Id=name)
            assert answer.status in (200, 500, 503)
        assert len(upstreams.runs) == CALLS
        repeats = sum(count - 1 for count in upstreams.runs.values())
        assert 0 < repeats + len(upstreams.inner) <= SLACK

    on_site(work, node_count=3)
