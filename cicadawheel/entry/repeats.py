"""Whether a call is sent once more: within the budget, and where it has room."""

from cicadawheel.entry.plan import CallPlan
from cicadawheel.entry.retry import (
    HEDGE_COST,
    MAY_HAVE_RUN_COST,
    RetryBudget,
    RetryBudgetReport,
    retry_cost,
)
from cicadawheel.entry.router import Router
from cicadawheel.entry.window_budget import WindowBudget
from cicadawheel.ids import NodeId, ServiceName
from cicadawheel.messages import Refused
from cicadawheel.settings import EntrySettings
from cicadawheel.timer import Clock

FIRST_SERVER_ERROR = 500
DEADLINE_STATUS = 504
# The part of the budget that may go into sends beside one that still runs; the rest
# is kept for calls that have failed.
HEDGED_PART = 0.75


class Repeats:
    """Spends the retry budgets of an entry's services.

    Parameters
    ----------
    settings : EntrySettings
        The budget; without a share or slack each success earns a part of a retry.
    router : Router
        Knows which upstreams have room.
    clock : Clock
        Where the time comes from.
    """

    def __init__(self, settings: EntrySettings, router: Router, clock: Clock):
        self.router = router
        self.clock = clock
        self._budget: RetryBudget | WindowBudget = RetryBudget()
        self.shared = bool(settings.retry_share or settings.retry_slack)
        if self.shared:
            self._budget = WindowBudget(
                settings.retry_share, settings.retry_slack, settings.retry_window_ms
            )

    def share_with(self, entries: int) -> None:
        """Take how many entries share a budget."""
        if isinstance(self._budget, WindowBudget):
            self._budget.entries = entries

    def call_began(self, service: ServiceName, now_ms: float) -> None:
        """Take note of a caller's request."""
        self._budget.call_began(service, now_ms)

    def call_ended(self, service: ServiceName, share: float, now_ms: float) -> None:
        """Take note of a good answer; ``share`` is the part of a retry it earns."""
        self._budget.call_ended(service, share, now_ms)

    def is_retriable_answer(self, plan: CallPlan, status: int) -> bool:
        """Return whether an upstream's answer is a failure that others may not give."""
        if not self.shared or not plan.repeatable:
            return False
        return status >= FIRST_SERVER_ERROR and status != DEADLINE_STATUS

    def may_retry_answer(self, plan: CallPlan, node: NodeId) -> bool:
        """Return whether another try after a failure has room and is in the budget."""
        if not self.router.has_room(node):
            return False
        return self._spend(plan, MAY_HAVE_RUN_COST)

    def may_retry(self, plan: CallPlan, refused: Refused, reached: int) -> bool:
        """Return whether the service's retry budget allows one more attempt.

        ``reached`` is how many upstreams the call has reached so far.
        """
        if self.shared:
            return self._spend(plan, HEDGE_COST) if reached else True
        cost = retry_cost(refused)
        return self._spend(plan, cost) if cost else True

    def may_hedge(self, plan: CallPlan) -> bool:
        """Return whether the service's retry budget allows a second attempt."""
        if isinstance(self._budget, WindowBudget):
            now_ms = self.clock.now_ms()
            return self._budget.take(plan.service, HEDGE_COST, now_ms, HEDGED_PART)
        return self._spend(plan, HEDGE_COST)

    def report(self) -> list[RetryBudgetReport]:
        """Return the budgets for operators."""
        return self._budget.report()

    def _spend(self, plan: CallPlan, cost: float) -> bool:
        return self._budget.take(plan.service, cost, self.clock.now_ms())
