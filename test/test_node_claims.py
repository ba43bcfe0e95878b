"""A node's claims while its lease runs out and is renewed."""

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
FRESH = Outcome(OutcomeState.DONE, 1)


class FencingLink:
    """A stream to control that knows the node under one epoch only."""

    node = "n1"
    replica = "c1"

    def __init__(self, epoch, current):
        self.epoch = epoch
        self.current = current
        self.sent = []
        self.claims = None

    async def ready(self):
        pass

    def send(self, message):
        self.sent.append(message)
        outcome = FRESH
        if isinstance(message, ClaimOpen) and message.epoch != self.current:
            outcome = FENCED
            self.registered()
        answer = ClaimAnswer(message.number, outcome)
        asyncio.get_running_loop().call_soon(self.claims.handle_answer, answer)
        return True

    def registered(self):
        self.epoch = self.current


class LeaselessLink(FencingLink):
    """A stream to control that never registers the node anew."""

    def registered(self):
        pass


def make_claims(link):
    link.claims = NodeClaims(link)
    return link.claims


def test_claim_is_asked_for_again_under_the_new_epoch():
    link = FencingLink(epoch=1, current=2)
    claims = make_claims(link)

    async def work():
        outcome = await claims.open(REQUEST, 2_000.0)
        assert may_run(outcome)
        claims.finish(REQUEST, Answer(201, (), b"booked"))
        await claims.wait_settled()

    asyncio.run(work())
    assert [message.epoch for message in link.sent] == [1, 2, 2]
    assert isinstance(link.sent[-1], ClaimFinish)


def test_claim_of_a_node_without_a_lease_is_refused_in_time():
    """The request has not run, and its caller is told so."""
    claims = make_claims(LeaselessLink(epoch=1, current=2))

    async def work():
        with pytest.raises(NoQuorumError):
            await claims.open(REQUEST, 250.0)

    asyncio.run(work())


def test_claim_that_may_have_run_stays_so():
    link = FencingLink(epoch=1, current=1)
    claims = make_claims(link)
    known = Outcome(OutcomeState.DONE, 1, claim=ClaimState.MAY_HAVE_RUN)

    def send(message):
        answer = ClaimAnswer(message.number, known)
        asyncio.get_running_loop().call_soon(claims.handle_answer, answer)
        return True

    link.send = send
    outcome = asyncio.run(claims.open(REQUEST, 1_000.0))
    assert outcome.claim is ClaimState.MAY_HAVE_RUN
