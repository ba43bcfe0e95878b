"""Which calls may be retried, and the retry budget of each service."""

import msgspec

from cicadawheel.ids import ServiceName
from cicadawheel.messages import RefusalReason, Refused

ATTEMPT_LIMIT = 4
# Maximum dispatches of one request to gates, including those that reach no upstream,
# but not those that a busy gate refused at once.
DISPATCH_LIMIT = 5
MIN_BUDGET_PER_S = 2.0
BUDGET_LIMIT = 50.0
MAY_HAVE_RUN_COST = 1.0
NOT_RUN_COST = 0.5
HEDGE_COST = 1.0
MS_PER_S = 1_000.0
NEVER_RETRIED = frozenset(
    (
        RefusalReason.DEADLINE,
        RefusalReason.QUARANTINED,
        RefusalReason.CANCELLED,
        RefusalReason.DEPTH,
    )
)
FREE_REASONS = frozenset(
    (
        RefusalReason.BUSY,
        RefusalReason.LEAVING,
        RefusalReason.DATA_CENTRE_OUT,
        RefusalReason.WITHDRAWN,
        RefusalReason.WRONG_SERVICE,
        RefusalReason.SUSPECTED,
    )
)


class RetryBudgetReport(msgspec.Struct, frozen=True):
    """The retry budget of a service, as shown to operators."""

    service: ServiceName
    left: float
    refused: int


class _Account(msgspec.Struct):
    left: float
    at_ms: float
    refused: int = 0


class RetryBudget:
    """The retry budget of each service: a share of its calls plus a small minimum."""

    def __init__(self):
        self._accounts: dict[ServiceName, _Account] = {}

    def call_ended(self, service: ServiceName, share: float, now_ms: float) -> None:
        """Add the share of a retry that a successful call allows."""
        account = self._account(service, now_ms)
        account.left = min(BUDGET_LIMIT, account.left + share)

    def take(self, service: ServiceName, cost: float, now_ms: float) -> bool:
        """Return whether the budget covers a retry, and spend it if so."""
        account = self._account(service, now_ms)
        if account.left < cost:
            account.refused += 1
            return False
        account.left -= cost
        return True

    def report(self) -> list[RetryBudgetReport]:
        """Return the budgets of all services."""
        return [
            RetryBudgetReport(service, account.left, account.refused)
            for service, account in self._accounts.items()
        ]

    def _account(self, service: ServiceName, now_ms: float) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            account = _Account(MIN_BUDGET_PER_S, now_ms)
            self._accounts[service] = account
        refill = (now_ms - account.at_ms) / MS_PER_S * MIN_BUDGET_PER_S
        account.at_ms = now_ms
        if account.left < MIN_BUDGET_PER_S:
            account.left = min(MIN_BUDGET_PER_S, account.left + refill)
        return account


def is_retriable(
    refused: Refused,
    repeatable: bool,
    replayable: bool,
    attempts: int,
    limit: int = ATTEMPT_LIMIT,
) -> bool:
    """Return whether a request may be retried, regardless of the budget."""
    if not (refused.not_run or repeatable):
        return False
    if not replayable or attempts >= limit:
        return False
    return refused.reason not in NEVER_RETRIED


def retry_cost(refused: Refused) -> float:
    """Return the cost of a retry to the budget."""
    if refused.not_run and refused.reason in FREE_REASONS:
        return 0.0
    return NOT_RUN_COST if refused.not_run else MAY_HAVE_RUN_COST
