"""One call at its entry, from the request's head to the end of its answer."""

import asyncio
import logging
from enum import Enum

from cicadawheel.control.command import Outcome
from cicadawheel.entry.answer import Answer
from cicadawheel.entry.attempts import Attempt, Attempts
from cicadawheel.entry.body import RequestBody
from cicadawheel.entry.claim import (
    ClaimRequest,
    answer_resend,
    may_run,
    settle_claim,
)
from cicadawheel.entry.next_attempt import NextAttempt
from cicadawheel.entry.owner import CallEnd, CallOwner
from cicadawheel.entry.plan import CallPlan, make_fingerprint
from cicadawheel.entry.reply import ReplyRelay
from cicadawheel.entry.versions import Pick
from cicadawheel.errors import CicadawheelError
from cicadawheel.http.caller_request import CallerRequest
from cicadawheel.http.fields import RequestHead, has_body
from cicadawheel.ids import NodeId, StreamId, VersionName
from cicadawheel.logs import log_event
from cicadawheel.messages import (
    Body,
    CallOpen,
    Credit,
    End,
    RefusalReason,
    Refused,
    ReplyHead,
    ReplyMessage,
)
from cicadawheel.timer import MS_PER_S

log = logging.getLogger(__name__)

GATE_MARGIN_MS = 10.0
GATE_MARGIN_SHARE = 0.05
# A hedge costs an upstream work, so it must be expected to save at least this.
HEDGE_GAIN_MS = 60.0


class CallState(Enum):
    """The stage of a call at its entry."""

    READING = "reading"
    CLAIMING = "claiming"
    TRYING = "trying"
    REPLYING = "replying"
    ENDED = "ended"


class EntryCall:
    """One call of a caller.

    Parameters
    ----------
    entry : CallOwner
        The entry that serves the call.
    connection : CallerRequest
        The request on the caller's connection, to which the answer is sent.
    request : RequestHead
        The head of the request.
    plan : CallPlan
        How the call is to be served.
    within_repeat : bool
        Whether this node's upstream makes the call while it runs a repeated request.
    """

    def __init__(
        self,
        entry: CallOwner,
        connection: CallerRequest,
        request: RequestHead,
        plan: CallPlan,
        within_repeat: bool = False,
    ):
        self.entry = entry
        self.connection = connection
        self.plan = plan
        self.state = CallState.READING
        self.started_at_ms = entry.clock.now_ms()
        self.deadline_at_ms = self.started_at_ms + plan.deadline_ms
        self.node: NodeId | None = None
        self.status = 0
        self._headers = entry.headers_to_upstream(request.headers)
        self._body = RequestBody(
            connection, entry.body_buffer_bytes, complete=not has_body(request.headers)
        )
        self._fingerprint = None
        self._attempts = Attempts(entry, plan)
        self._next = NextAttempt(entry, plan, self._attempts, self._body, within_repeat)
        self._last_reason: RefusalReason | None = None
        self._failed_head: ReplyHead | None = None
        self._claim: ClaimRequest | None = None
        self._claiming: asyncio.Task | None = None
        self._reply = ReplyRelay(
            connection, plan.request, self._attempts.give_credit, entry.dialect
        )
        delay_s = plan.deadline_ms / MS_PER_S
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._handle_deadline
        )

    def begin(self) -> None:
        """Dispatch the call if enough of its body has been received."""
        if self._body.ready:
            self._dispatch()

    def body_received(self, data: bytes) -> None:
        """Take a chunk of the request's body from the caller."""
        self._body.receive(data)
        if self.state is CallState.READING and self._body.ready:
            self._dispatch()

    def body_ended(self) -> None:
        """Mark the request's body as complete."""
        if self._body.complete:
            return
        self._body.receive_end()
        if self.state is CallState.READING:
            self._dispatch()

    def caller_lost(self) -> None:
        """Cancel the call after its caller has disconnected.

        A claimed call in progress continues, as a resend may ask for its answer.
        """
        if self.state is CallState.ENDED:
            return
        if self._continues_without_caller():
            return
        self._cancel_attempts("caller left", late=False)
        self._release_claim(self._was_not_run())
        self._end(CallEnd.CALLER_LEFT)

    def end_early(self) -> None:
        """End the call as the node stops; a caller without an answer gets one."""
        if self.state is CallState.ENDED:
            return
        self._cancel_attempts("node stops", late=False)
        if self.state is CallState.REPLYING:
            self._abort_answer(RefusalReason.CANCELLED)
        else:
            self._refuse(RefusalReason.LEAVING)

    @property
    def relayed_bytes(self) -> int:
        """The bytes of the upstream's answer that were sent to the caller."""
        return self._reply.relayed_bytes

    def caller_writable(self) -> None:
        """Grant the gate credit for more of the answer."""
        self._reply.caller_writable()

    def _dispatch(self) -> None:
        if not self.connection.may_start(self.plan.repeatable):
            return
        beginning = bytes(self._body.beginning)
        self._fingerprint = make_fingerprint(self.plan, beginning)
        if self._fingerprint in self.entry.quarantined:
            self._refuse(RefusalReason.QUARANTINED)
            return
        if not self.plan.claimed:
            self._start_attempt()
            return
        self.state = CallState.CLAIMING
        claim = ClaimRequest(self.plan.service, self.plan.key, self._fingerprint)
        self._claiming = asyncio.ensure_future(self._settle_claim(claim))

    async def _settle_claim(self, claim: ClaimRequest) -> None:
        claims, clock = self.entry.claims, self.entry.clock
        try:
            outcome = await settle_claim(claims, claim, self.deadline_at_ms, clock)
        except CicadawheelError as error:
            log_event(log, "claim_failed", request=self.plan.request, reason=error)
            self._refuse(RefusalReason.NO_CLAIM)
            return
        self._claiming = None
        if may_run(outcome):
            self._claim = claim
            self._start_attempt()
        else:
            self._answer_resend(outcome)

    def _answer_resend(self, outcome: Outcome) -> None:
        if outcome.answer is None:
            log_event(
                log,
                "call_conflict",
                request=self.plan.request,
                service=self.plan.service,
                claim=outcome.claim or "refused",
                reason=outcome.message,
            )
        self._respond(answer_resend(outcome, self.plan.request), CallEnd.RESENT)

    def _start_attempt(self) -> None:
        self.state = CallState.TRYING
        choice = self._next.choose(self.deadline_at_ms - self.entry.clock.now_ms())
        if choice is None:
            self._refuse(self._last_reason or RefusalReason.NO_UPSTREAM)
        elif isinstance(choice, RefusalReason):
            self._refuse(choice)
        else:
            self._start_attempt_at(choice)

    def _start_attempt_at(self, pick: Pick) -> None:
        self._body.prepare()
        attempt = self._open_attempt(pick)
        if attempt.live:
            self._body.attach(attempt.handle)
            if self._body.empty and self.plan.repeatable:
                self._attempts.schedule_hedge(self._hedge)

    def consider_hedge(self) -> None:
        """Hedge the call if another upstream is expected to answer much sooner."""
        live = self._attempts.live
        if self.state is not CallState.TRYING or not self.plan.repeatable:
            return
        pick = self._next.choose_hedge() if self._body.empty else None
        if pick is None:
            return
        gain_ms = self.entry.hedge_gain_ms(self.plan, live[0].pick, pick, 0)
        other = pick.member.node
        if gain_ms > HEDGE_GAIN_MS and self.entry.may_hedge(self.plan, other):
            log_event(
                log,
                "call_hedged",
                request=self.plan.request,
                node=live[0].node,
                other=other,
                gain_ms=gain_ms,
            )
            self._open_attempt(pick)

    def _open_attempt(self, pick: Pick) -> Attempt:
        self.node = pick.member.node
        self.entry.log_placement(self.plan, pick, self._attempts.count)
        call = self._make_open(pick.member.version, self._next.is_immediate(self.node))
        return self._attempts.open(pick, call, self._receive)

    def _hedge(self) -> None:
        pick = self._next.choose_hedge() if self.state is CallState.TRYING else None
        if pick is not None and self.entry.may_hedge(self.plan, pick.member.node):
            self._open_attempt(pick)

    def _make_open(self, version: VersionName, immediate: bool) -> CallOpen:
        left_ms = self.deadline_at_ms - self.entry.clock.now_ms()
        margin_ms = min(GATE_MARGIN_MS, left_ms * GATE_MARGIN_SHARE)
        return CallOpen(
            stream=StreamId(0),
            request=self.plan.request,
            service=self.plan.service,
            version=version,
            method=self.plan.method,
            target=self.plan.target,
            headers=self._headers,
            body=b"" if self._body.is_deferred else bytes(self._body.beginning),
            more=self._body.more or self._body.is_deferred,
            deadline_ms=max(1.0, left_ms - margin_ms),
            depth=self.plan.depth,
            repeatable=self.plan.repeatable,
            fingerprint=self._fingerprint,
            target_ms=self._next.target_left_ms(),
            priority=self.plan.priority,
            work_ms=self.entry.work_times.usual_ms(self.plan.route),
            repeat=self._next.repeat_kind(),
            immediate=immediate,
            spent_ms=self.plan.spent_ms,
        )

    def _receive(self, attempt: Attempt, message: ReplyMessage) -> None:
        if isinstance(message, ReplyHead):
            self._handle_head(attempt, message)
        elif isinstance(message, Body):
            self._reply.send(message.data, keep=self._claim is not None)
        elif isinstance(message, End):
            self._handle_reply_end(attempt)
        elif isinstance(message, Credit):
            self._body.add_credit(message.size_bytes)
        elif isinstance(message, Refused):
            self._handle_refusal(attempt, message)

    def _handle_head(self, attempt: Attempt, head: ReplyHead) -> None:
        if self._retry_failed_answer(attempt, head):
            return
        self.node = attempt.node
        self.status = head.status
        self._attempts.cancel_others(attempt)
        self.entry.attempt_answered(self.plan, attempt.pick, head)
        if not head.more:
            self._attempts.remove(attempt)
            self._store_answer(Answer(head.status, head.headers, head.body))
            self._reply.send_complete(head)
            self._end(CallEnd.ANSWERED)
            return
        self.state = CallState.REPLYING
        self._reply.start(head)
        if head.body:
            self._reply.send(head.body, keep=self._claim is not None)

    def _retry_failed_answer(self, attempt: Attempt, head: ReplyHead) -> bool:
        """Retry at another upstream after a server error, if that is allowed.

        Returns whether the failed answer is held back from the caller.
        """
        if head.more or self._next.only_at or not self._body.replayable:
            return False
        if not self.entry.repeats.is_retriable_answer(self.plan, head.status):
            return False
        pick = None
        if len(self._attempts.live) == 1:
            pick = self._next.choose_after_failure()
            if pick is None:
                return False
        self._attempts.remove(attempt)
        self.entry.attempt_answered(self.plan, attempt.pick, head)
        self._next.may_have_run = True
        self._failed_head = head
        if pick is not None:
            self._body.detach()
            self._attempts.cancel_hedge()
            self._start_attempt_at(pick)
        return True

    def _handle_reply_end(self, attempt: Attempt) -> None:
        self._attempts.remove(attempt)
        self._store_answer(self._reply.answer())
        self._reply.end()
        self._end(CallEnd.ANSWERED)

    def _handle_refusal(self, attempt: Attempt, refused: Refused) -> None:
        self._attempts.remove(attempt)
        if refused.not_run and not refused.reached:
            self._attempts.mark_unreached()
        if refused.reason is RefusalReason.BUSY:
            self._attempts.busy.add(attempt.node)
        self.entry.attempt_refused(self.plan, attempt.pick, refused)
        self._next.may_have_run |= not refused.not_run
        self._last_reason = refused.reason
        if self.state is CallState.REPLYING:
            self._abort_answer(refused.reason)
            return
        if self._attempts.live:
            return
        self._body.detach()
        self._attempts.cancel_hedge()
        if self._next.may_retry(attempt, refused):
            self._next.only_at = refused.only_at or self._next.only_at
            self._start_attempt()
        else:
            self._refuse(refused.reason)

    def _store_answer(self, answer: Answer) -> None:
        if self._claim is not None:
            self.entry.claims.finish(self._claim, answer)
            self._claim = None

    def _was_not_run(self) -> bool:
        """Return whether it is certain that no upstream has run the request."""
        if self._next.may_have_run or self._attempts.live:
            return False
        # Until its claim is settled, a request that must run at most once may
        # already be running elsewhere, sent earlier with the same key.
        return not self.plan.claimed or self._claim is not None

    def _continues_without_caller(self) -> bool:
        """Return whether the call continues without its caller.

        The answer to a claimed request is stored, so that a resend can get it.
        """
        return (
            self._claim is not None
            and bool(self._attempts.live)
            and self._body.complete
        )

    def _refuse(self, reason: RefusalReason) -> None:
        if self.state is CallState.ENDED:
            return
        if self._failed_head is not None:
            # An upstream's error answer tells the caller more than a refusal would.
            self.status = self._failed_head.status
            self._reply.send_complete(self._failed_head)
            self._end(CallEnd.ANSWERED)
            return
        not_run = self._was_not_run()
        log_event(
            log,
            "call_refused",
            request=self.plan.request,
            service=self.plan.service,
            node=self.node,
            reason=reason.value,
            not_run=not_run,
            attempts=self._attempts.count,
        )
        self._release_claim(not_run)
        end = CallEnd.NOT_RUN if not_run else CallEnd.LOST
        left_ms = self.deadline_at_ms - self.entry.clock.now_ms()
        answer = self.entry.answer_refusal(self.plan, reason, not_run, left_ms)
        self._respond(answer, end)

    def _release_claim(self, not_run: bool) -> None:
        claim, self._claim = self._claim, None
        if claim is None:
            return
        if not_run:
            self.entry.claims.release(claim)
        else:
            self.entry.claims.finish(claim, None)

    def _respond(self, answer: Answer, end: CallEnd) -> None:
        if self.state is CallState.ENDED:
            return
        self.status = answer.status
        self.connection.respond(answer.status, answer.headers, answer.body)
        self._end(end)

    def _abort_answer(self, reason: RefusalReason) -> None:
        log_event(
            log,
            "answer_cut",
            request=self.plan.request,
            node=self.node,
            reason=reason.value,
        )
        self.connection.abort()
        self._release_claim(not_run=False)
        self._end(CallEnd.CUT)

    def _handle_deadline(self) -> None:
        self._cancel_attempts("deadline", late=True)
        if self.state is CallState.REPLYING:
            self._abort_answer(RefusalReason.DEADLINE)
        elif self.state is CallState.CLAIMING:
            # A busy loop may run this timer before that of the claim.
            self._refuse(RefusalReason.NO_CLAIM)
        else:
            self._refuse(RefusalReason.DEADLINE)

    def _cancel_attempts(self, reason: str, late: bool) -> None:
        self._next.may_have_run |= bool(self._attempts.live)
        self._attempts.cancel_all(reason, late)

    def _end(self, end: CallEnd) -> None:
        self.state = CallState.ENDED
        log_event(
            log,
            "call_ended",
            request=self.plan.request,
            route=self.plan.route,
            service=self.plan.service,
            end=end.value,
            status=self.status,
            node=self.node,
            attempts=self._attempts.count,
            reached=self._attempts.reached,
            took_ms=self.entry.clock.now_ms() - self.started_at_ms,
        )
        self._timer.cancel()
        self._attempts.cancel_hedge()
        self._body.detach()
        if self._claiming is not None and self._claiming is not asyncio.current_task():
            self._claiming.cancel()
        self.entry.call_ended(self, end)
