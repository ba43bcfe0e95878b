"""What an entry may spend on second sends, where all entries share one budget.

The budget of a service is a part of its requests in a window, and a slack besides.
Each entry keeps to the part of its own requests, and to its share of the slack, so
that together they keep the budget without a message.
"""

from collections import deque

import msgspec

from cicadawheel.entry.retry import RetryBudgetReport
from cicadawheel.ids import ServiceName

SPENT_PART = 0.5
"""The part of the budget that is used: windows slide, entries come and go, and calls
that a repeated call makes count as repeats at the service that they go to."""


class _Account(msgspec.Struct):
    requests: deque[float]
    repeats: deque[float]
    refused: int = 0


class WindowBudget:
    """The repeats of each service that one entry may send.

    Parameters
    ----------
    share : float
        The part of a service's requests that may be repeated.
    slack : float
        Repeats of a service that all entries may send besides.
    window_ms : float
        The window in which both are counted.
    """

    def __init__(self, share: float, slack: float, window_ms: float):
        self.share = share
        self.slack = slack
        self.window_ms = window_ms
        self.entries = 1
        self._accounts: dict[ServiceName, _Account] = {}

    def call_began(self, service: ServiceName, now_ms: float) -> None:
        """Count a request of a caller."""
        self._account(service, now_ms).requests.append(now_ms)

    def call_ended(self, service: ServiceName, share: float, now_ms: float) -> None:
        """Do nothing: requests count whether they succeed or not."""

    def take(
        self, service: ServiceName, cost: float, now_ms: float, part: float = 1.0
    ) -> bool:
        """Spend on one repeat, and return whether the budget allows it.

        Only a ``part`` of the budget may be spent on what can be done without.
        """
        account = self._account(service, now_ms)
        if len(account.repeats) + cost > self._limit(account) * part:
            account.refused += 1
            return False
        account.repeats.append(now_ms)
        return True

    def report(self) -> list[RetryBudgetReport]:
        """Return the budgets for operators."""
        return [
            RetryBudgetReport(
                service, self._limit(account) - len(account.repeats), account.refused
            )
            for service, account in self._accounts.items()
        ]

    def _limit(self, account: _Account) -> float:
        own = self.share * len(account.requests)
        return SPENT_PART * (own + self.slack / max(1, self.entries))

    def _account(self, service: ServiceName, now_ms: float) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(deque(), deque())
        since_ms = now_ms - self.window_ms
        for times in (account.requests, account.repeats):
            while times and times[0] <= since_ms:
                times.popleft()
        return account
