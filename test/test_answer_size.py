"""The size of answers is learnt by route, and counts in placing calls."""

from site_in_loop import call
from test_placement import SLOTS, WORK_MS, make_load, make_member, make_router

from cicadawheel.entry.answer_size import INITIAL_ANSWER_BYTES, AnswerSizes
from cicadawheel.entry.placement import CallProfile

BIG_BYTES = 200_000


def test_average_follows_the_answers_of_a_route():
    sizes = AnswerSizes()
    assert sizes.usual_bytes("r") == INITIAL_ANSWER_BYTES
    sizes.add("r", 90_000)
    sizes.add("r", 80_000)
    assert 80_000 < sizes.usual_bytes("r") < 90_000
    assert sizes.usual_bytes("other") == INITIAL_ANSWER_BYTES


def test_entry_learns_all_bytes_of_whole_and_of_chunked_answers(on_site):
    async def work(site):
        node = site.nodes[0]
        await call(node, "GET", f"/big/{BIG_BYTES}")
        assert node.dump().entry.answer_bytes["any"] >= BIG_BYTES

    on_site(work)


def test_large_answer_stays_in_its_data_centre_where_a_small_one_leaves_it():
    router = make_router([make_member("near"), make_member("far", "d1")])
    router.observe("near", make_load(SLOTS, queued=2), 0.0)
    router.observe("far", make_load(0), 0.0)
    small = CallProfile(WORK_MS, answer_bytes=500.0)
    large = CallProfile(WORK_MS, answer_bytes=90_000.0)
    assert router.pick("s", "", set(), 0.0, small).node == "far"
    assert router.pick("s", "", set(), 0.0, large).node == "near"
