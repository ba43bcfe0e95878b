"""Whether a call is sent once more: where it has room, and within the budget.

Where all gates of a service share a budget, they keep it; an entry only spares them
what they are known to refuse. Elsewhere each entry keeps a budget of its own.
"""

from cicadawheel.entry.plan import CallPlan
from cicadawheel.entry.retry import (
    HEDGE_COST,
    RetryBudget,
    RetryBudgetReport,
    retry_cost,
)
from cicadawheel.entry.router import Router
from cicadawheel.ids import NodeId, ServiceName
from cicadawheel.messages import Refused
from cicadawheel.settings import EntrySettings
from cicadawheel.timer import Clock

FIRST_SERVER_ERROR = 500
DEADLINE_STATUS = 504


class Repeats:
    """Decides on the repeats of an entry's calls.

    Parameters
    ----------
    settings : EntrySettings
        The budget; without a share or slack each success earns a part of a retry.
    router : Router
        Knows which upstreams have room, and which gates may send repeats.
    clock : Clock
        Where the time comes from.
    """

    def __init__(self, settings: EntrySettings, router: Router, clock: Clock):
        self.router = router
        self.clock = clock
        self.shared = settings.has_retry_budget
        self._budget = RetryBudget()

    def call_ended(self, service: ServiceName, share: float, now_ms: float) -> None:
        """Take note of a good answer; ``share`` is the part of a retry it earns."""
        self._budget.call_ended(service, share, now_ms)

    def is_retriable_answer(self, plan: CallPlan, status: int) -> bool:
        """Return whether an upstream's answer is a failure that others may not give."""
        if not self.shared or not plan.repeatable:
            return False
        return status >= FIRST_SERVER_ERROR and status != DEADLINE_STATUS

    def may_retry_answer(self, node: NodeId) -> bool:
        """Return whether another try after a failure has room and is in the budget."""
        return self.router.has_room(node) and self._may_repeat(node)

    def may_retry(self, plan: CallPlan, refused: Refused) -> bool:
        """Return whether the service's retry budget allows one more attempt."""
        if self.shared:
            return True
        cost = retry_cost(refused)
        return self._spend(plan, cost) if cost else True

    def may_hedge(self, plan: CallPlan, node: NodeId) -> bool:
        """Return whether the service's retry budget allows a second attempt."""
        if self.shared:
            return self._may_repeat(node)
        return self._spend(plan, HEDGE_COST)

    def spent(self, service: ServiceName) -> set[NodeId]:
        """Return the nodes of a service that are known to send no repeat for now."""
        return self.router.spent(service, self.clock.now_ms())

    def is_spent(self, service: ServiceName) -> bool:
        """Return whether no node of a service is known to send a repeat."""
        return self.router.is_spent(service, self.clock.now_ms())

    def report(self) -> list[RetryBudgetReport]:
        """Return the budgets for operators."""
        return self._budget.report()

    def _may_repeat(self, node: NodeId) -> bool:
        return self.router.may_repeat(node, self.clock.now_ms())

    def _spend(self, plan: CallPlan, cost: float) -> bool:
        return self._budget.take(plan.service, cost, self.clock.now_ms())
