"""End-to-end tests in one event loop: caller, entry, gate and upstream over sockets."""

from site_in_loop import call, until

from cicadawheel.configuration import DataCentreState
from cicadawheel.control.command import SetDataCentre


def test_every_entry_balances_over_all_upstreams(on_site):
    async def work(site):
        answers = [await call(site.nodes[i % 2], "GET", "/list") for i in range(20)]
        assert {answer.status for answer in answers} == {200}
        served = {answer.body.split()[0] for answer in answers}
        assert served == {b"u-n1", b"u-n2"}

    on_site(work)


def test_large_body_is_streamed_completely(on_site):
    async def work(site):
        body = bytes(range(256)) * 8_000
        for node in site.nodes * 3:
            answer = await call(node, "POST", "/upload", body)
            assert answer.status == 200
            assert answer.body.endswith(body)

    on_site(work)


def test_never_repeat_request_runs_once(on_site):
    async def work(site):
        fields = {"idempotency_key": "booking-7"}
        first = await call(site.nodes[0], "POST", "/book", b"slot 7", **fields)
        again = await call(site.nodes[1], "POST", "/book", b"slot 7", **fields)
        assert (first.status, first.body) == (again.status, again.body)
        assert sum(len(upstream.bodies) for upstream in site.upstreams) == 1
        other = await call(site.nodes[1], "POST", "/book", b"slot 8", **fields)
        assert other.status == 409
        without_key = await call(site.nodes[1], "POST", "/book", b"slot 7")
        assert without_key.status == 400

    on_site(work)


def test_data_centre_taken_out_gets_no_new_calls(on_site):
    async def work(site):
        command = SetDataCentre(
            now_ms=2,
            operation="op-2",
            expected_revision=site.control.state.configuration.revision,
            data_centre="dc-n1",
            state=DataCentreState.OUT,
            force=True,
        )
        outcome = await site.control.server.log.propose(command)
        await until(
            lambda: all(
                node.control.view.configuration.revision == outcome.revision
                for node in site.nodes
            )
        )
        answers = [await call(site.nodes[i % 2], "GET", "/list") for i in range(10)]
        assert {answer.body.split()[0] for answer in answers} == {b"u-n2"}

    on_site(work)


def test_invalid_calls_are_rejected_with_status(on_site):
    async def work(site):
        node = site.nodes[0]
        unknown = await call(node, "GET", "/", cicadawheel_service="nobody")
        too_deep = await call(node, "GET", "/", cicadawheel_depth="8")
        bad_deadline = await call(node, "GET", "/", cicadawheel_deadline_ms="x")
        assert [unknown.status, too_deep.status, bad_deadline.status] == [404, 508, 400]
        assert unknown.headers["cicadawheel-not-run"] == "1"

    on_site(work)
