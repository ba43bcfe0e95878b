"""Decides on the next attempt of a call: a first one, a retry, a hedge or a refusal."""

from cicadawheel.entry.attempts import Attempt, Attempts
from cicadawheel.entry.body import RequestBody
from cicadawheel.entry.moves import may_move_on
from cicadawheel.entry.owner import CallOwner
from cicadawheel.entry.plan import CallPlan
from cicadawheel.entry.retry import DISPATCH_LIMIT, is_retriable
from cicadawheel.entry.versions import Pick
from cicadawheel.ids import NodeId
from cicadawheel.messages import RefusalReason, Refused, Repeat


class NextAttempt:
    """The decisions on one call's attempts, from what became of the earlier ones.

    Parameters
    ----------
    entry : CallOwner
        The entry that serves the call.
    plan : CallPlan
        How the call is to be served.
    attempts : Attempts
        The attempts so far.
    body : RequestBody
        The body of the request.
    within_repeat : bool
        Whether this node's upstream makes the call while it runs a repeated request.
    """

    def __init__(
        self,
        entry: CallOwner,
        plan: CallPlan,
        attempts: Attempts,
        body: RequestBody,
        within_repeat: bool,
    ):
        self.entry = entry
        self.plan = plan
        self.attempts = attempts
        self.body = body
        self.within_repeat = within_repeat
        self.started_at_ms = entry.clock.now_ms()
        self.may_have_run = False
        self.only_at = NodeId("")
        """The only node that may run the request, if it is set."""

    def choose(self, left_ms: float) -> Pick | RefusalReason | None:
        """Return the upstream for the next attempt, or the reason to refuse the call.

        Returns None if there is no upstream. ``left_ms`` is the time until the
        deadline.
        """
        if self._is_over_budget():
            self.entry.count_unsent_repeat(self.plan, self.repeat_kind())
            return RefusalReason.RETRY_BUDGET
        pick = self.pick()
        if pick is None or self.only_at or self.may_have_run:
            return pick
        node = pick.member.node
        refusal = self.entry.reason_without_room(self.plan, node, left_ms)
        return pick if refusal is None else refusal

    def choose_hedge(self) -> Pick | None:
        """Return another upstream for an attempt beside the one in progress, if any."""
        if len(self.attempts.live) != 1 or self.only_at or not self.is_within_limits():
            return None
        return self._pick_untried()

    def choose_after_failure(self) -> Pick | None:
        """Return another upstream with a free slot after a server error, if any."""
        pick = self._pick_untried() if self.is_within_limits() else None
        if pick is None or not self.entry.repeats.may_retry_answer(pick.member.node):
            return None
        return pick

    def pick(self) -> Pick | None:
        """Select the upstream for the next attempt, or None."""
        avoided = self.attempts.tried
        if self.repeat_kind() is not Repeat.FIRST:
            avoided = avoided | self.entry.repeats.nodes_over_budget(self.plan.service)
        # To queue at a gate that was busy may be better than any other gate.
        avoided = avoided - self.attempts.busy
        size_bytes, left_ms = len(self.body.beginning), self.target_left_ms()
        first = not self.attempts.count
        return self.entry.pick(
            self.plan, avoided, self.only_at, size_bytes, left_ms, first
        )

    def target_left_ms(self) -> float:
        """Return the time left until the target, negative if it has passed, or 0."""
        if not self.plan.target_ms:
            return 0.0
        passed_ms = self.entry.clock.now_ms() - self.started_at_ms
        return (self.plan.target_ms - passed_ms) or -1.0

    def is_immediate(self, node: NodeId) -> bool:
        """Return whether a gate is asked to start the call at once or refuse it."""
        if self.only_at or not may_move_on(node, self.attempts.busy, self.body):
            return False
        return self.entry.has_free_slot(node)

    def repeat_kind(self) -> Repeat:
        """Return what kind of repeat the next attempt is, if any."""
        if self.within_repeat:
            return Repeat.WITHIN
        if not self.attempts.reached:
            return Repeat.FIRST
        if self.attempts.live:
            return Repeat.SPARE
        return Repeat.FAILED if self.may_have_run else Repeat.REFUSED

    def is_within_limits(self) -> bool:
        """Return whether the attempt limits allow one more attempt."""
        if self.attempts.dispatches >= DISPATCH_LIMIT:
            return False
        return self.attempts.reached < self.plan.attempts

    def may_retry(self, attempt: Attempt, refused: Refused) -> bool:
        """Return whether the call may be sent again after a refusal."""
        if self.only_at and attempt.node == self.only_at:
            return False
        repeatable, replayable = self.plan.repeatable, self.body.replayable
        reached, limit = self.attempts.reached, self.plan.attempts
        if not is_retriable(refused, repeatable, replayable, reached, limit):
            return False
        if self.attempts.dispatches >= DISPATCH_LIMIT:
            return False
        if not self.entry.repeats.may_retry(self.plan, refused):
            return False
        return self.entry.may_try_elsewhere(self.plan, refused)

    def _pick_untried(self) -> Pick | None:
        pick = self.pick()
        if pick is None or pick.member.node in self.attempts.tried:
            return None
        return pick

    def _is_over_budget(self) -> bool:
        """Return whether the next attempt is a repeat which every gate would refuse."""
        if self.only_at or self.repeat_kind() is Repeat.FIRST:
            return False
        return self.entry.repeats.is_over_budget(self.plan.service)
