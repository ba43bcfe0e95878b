"""Decides whether a call is retried or hedged, within the retry budget.

Where all gates of a service share a budget, the gates enforce it, and the entry merely
avoids repeats that they would refuse. Otherwise each entry enforces its own budget.
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
        The budget; without a shared one, each success adds a fraction of a retry.
    router : Router
        Knows which upstreams have free slots, and which gates have repeat budget left.
    clock : Clock
        The time source.
    """

    def __init__(self, settings: EntrySettings, router: Router, clock: Clock):
        self.router = router
        self.clock = clock
        self.shared = settings.has_retry_budget
        self._budget = RetryBudget()

    def call_ended(self, service: ServiceName, share: float, now_ms: float) -> None:
        """Add the fraction of a retry, ``share``, that a successful call allows."""
        self._budget.call_ended(service, share, now_ms)

    def is_retriable_answer(self, plan: CallPlan, status: int) -> bool:
        """Return whether an answer is a failure that a retry elsewhere may avoid."""
        if not self.shared or not plan.repeatable:
            return False
        return status >= FIRST_SERVER_ERROR and status != DEADLINE_STATUS

    def may_retry_answer(self, node: NodeId) -> bool:
        """Return whether a node has a free slot and repeat budget for a retry."""
        return self.router.has_free_slot(node) and self._may_repeat(node)

    def may_retry(self, plan: CallPlan, refused: Refused) -> bool:
        """Return whether the service's retry budget allows another attempt."""
        if self.shared:
            return True
        cost = retry_cost(refused)
        return self._spend(plan, cost) if cost else True

    def may_hedge(self, plan: CallPlan, node: NodeId) -> bool:
        """Return whether the service's retry budget allows a hedge."""
        if self.shared:
            return self._may_repeat(node)
        return self._spend(plan, HEDGE_COST)

    def nodes_over_budget(self, service: ServiceName) -> set[NodeId]:
        """Return the nodes of a service that have no repeat budget left."""
        return self.router.nodes_over_budget(service, self.clock.now_ms())

    def is_over_budget(self, service: ServiceName) -> bool:
        """Return whether no node of a service has repeat budget left."""
        return self.router.is_over_budget(service, self.clock.now_ms())

    def report(self) -> list[RetryBudgetReport]:
        """Return the budgets of all services."""
        return self._budget.report()

    def _may_repeat(self, node: NodeId) -> bool:
        return self.router.may_repeat(node, self.clock.now_ms())

    def _spend(self, plan: CallPlan, cost: float) -> bool:
        return self._budget.take(plan.service, cost, self.clock.now_ms())
