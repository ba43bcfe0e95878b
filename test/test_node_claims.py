"""Tests of claims on a node whose lease expires and is renewed."""

import asyncio

import pytest

from cicadawheel.control.command import ClaimState, Outcome, OutcomeState
from cicadawheel.control.messages import ClaimAnswer, ClaimFinish, ClaimOpen
from cicadawheel.entry.answer import Answer
from cicadawheel.entry.claim import ClaimRequest, may_run
from cicadawheel.errors import NoQuorumError
from cicadawheel.node.claims import NodeClaims

REQUEST = ClaimRequest("booking", "key", "digest")
FENCED = Outcome(OutcomeState.REFUSED, 1, "old epoch", fenced=True)
CLAIMED = Outcome(OutcomeState.DONE, 1)


class FencingLink:
    """A fake control stream that accepts claims under one epoch only."""

    node = "n1"
    replica = "c1"

    def __init__(self, epoch, current_epoch):
        self.epoch = epoch
        self.current_epoch = current_epoch
        self.sent = []
        self.claims = None

    async def ready(self):
        pass

    def send(self, message):
        self.sent.append(message)
        outcome = CLAIMED
        if isinstance(message, ClaimOpen) and message.epoch != self.current_epoch:
            outcome = FENCED
            self.registered()
        answer = ClaimAnswer(message.number, outcome)
        asyncio.get_running_loop().call_soon(self.claims.handle_answer, answer)
        return True

    def registered(self):
        self.epoch = self.current_epoch


class UnregisteredLink(FencingLink):
    """A fake control stream that never registers the node again."""

    def registered(self):
        pass


def make_claims(link):
    link.claims = NodeClaims(link)
    return link.claims


def test_fenced_claim_is_retried_under_new_epoch():
    link = FencingLink(epoch=1, current_epoch=2)
    claims = make_claims(link)

    async def work():
        outcome = await claims.open(REQUEST, 2_000.0)
        assert may_run(outcome)
        claims.finish(REQUEST, Answer(201, (), b"booked"))
        await claims.wait_settled()

    asyncio.run(work())
    assert [message.epoch for message in link.sent] == [1, 2, 2]
    assert isinstance(link.sent[-1], ClaimFinish)


def test_claim_without_lease_is_refused_before_timeout():
    """The caller must learn within the time-out that the request was not run."""
    claims = make_claims(UnregisteredLink(epoch=1, current_epoch=2))

    async def work():
        with pytest.raises(NoQuorumError):
            await claims.open(REQUEST, 250.0)

    asyncio.run(work())


def test_may_have_run_claim_state_is_returned():
    link = FencingLink(epoch=1, current_epoch=1)
    claims = make_claims(link)
    outcome_sent = Outcome(OutcomeState.DONE, 1, claim=ClaimState.MAY_HAVE_RUN)

    def send(message):
        answer = ClaimAnswer(message.number, outcome_sent)
        asyncio.get_running_loop().call_soon(claims.handle_answer, answer)
        return True

    link.send = send
    outcome = asyncio.run(claims.open(REQUEST, 1_000.0))
    assert outcome.claim is ClaimState.MAY_HAVE_RUN
