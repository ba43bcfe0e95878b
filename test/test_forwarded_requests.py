"""Replies to requests that a replica has forwarded to the leader."""

import asyncio
from types import SimpleNamespace

from cicadawheel.control.replica.change_notifier import ChangeNotifier
from cicadawheel.control.replica.leader_requests import LeaderRequests
from cicadawheel.control.replica.message import Answer, AnswerState, ConfirmRead
from cicadawheel.control.replica.requests import PendingRequests
from cicadawheel.timer import make_timer_service

TIMEOUT_MS = 2_000.0


class FollowerRunner:
    """A follower whose first message to the leader is lost."""

    replica = "a"
    engine = SimpleNamespace(raft=SimpleNamespace(leader="b", applied_index=7))

    def __init__(self):
        self.changes = ChangeNotifier()
        self.sent = []
        self.requests = LeaderRequests(self, make_timer_service(), 10.0)

    def send(self, replica, message):
        self.sent.append(message)
        if len(self.sent) > 1:
            answer = Answer(message.number, AnswerState.DONE, 7)
            self.requests.receive_answer(answer)
        return True


def test_read_that_was_lost_with_its_connection_is_sent_again():
    async def main():
        runner = FollowerRunner()
        answer = await runner.requests.request(ConfirmRead(), TIMEOUT_MS)
        assert answer.index == 7

    asyncio.run(main())


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
