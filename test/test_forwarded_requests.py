"""Replies to requests that a replica has forwarded to the leader."""

import asyncio

from cicadawheel.control.replica.message import Answer, AnswerState
from cicadawheel.control.replica.requests import PendingRequests


def test_reply_to_an_earlier_run_of_a_process_does_not_answer_a_new_request():
    async def main():
        earlier, _ = PendingRequests().open()
        pending = PendingRequests()
        number, future = pending.open()
        pending.answer(Answer(earlier, AnswerState.DONE))
        assert not future.done()
        pending.answer(Answer(number, AnswerState.DONE))
        assert future.done()

    asyncio.run(main())
