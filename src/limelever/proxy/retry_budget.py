"""Retry budgets, which keep retries below a percentage of the calls.

Only first attempts earn budget, so that retries cannot amplify an overload. A limited number of
retries can be saved up for a burst; a fleet-wide limit is divided by the number of nodes.
"""

from __future__ import annotations

from msgspec import Struct

DEFAULT_PERCENT = 10
"""Retries in percent of the calls, if the route does not specify it."""

_RETRY_COST = 100
_DEFAULT_SAVED_RETRIES = 20


class RetryBudget(Struct):
    """Token bucket in hundredths of a retry; holds at most ``saved_retries_limit`` retries."""

    percent: int = DEFAULT_PERCENT
    saved_retries_limit: int = _DEFAULT_SAVED_RETRIES
    _balance: int = 0

    def record_first_attempt(self) -> None:
        """Earn the fraction of a retry that one first attempt allows."""
        limit = self.saved_retries_limit * _RETRY_COST
        self._balance = min(limit, self._balance + self.percent)

    def try_take(self) -> bool:
        """Spend one retry; return ``False`` if the budget does not cover it."""
        if self._balance < _RETRY_COST:
            return False
        self._balance -= _RETRY_COST
        return True


class RetryBudgets:
    """Retry budgets by service, kept across configuration changes.

    ``fleet_saved_retries`` is how many retries all proxies together may save up; with 0 each proxy
    has its own default.
    """

    def __init__(self, fleet_saved_retries: int = 0) -> None:
        self._fleet_saved_retries = fleet_saved_retries
        self._saved_retries_limit = _DEFAULT_SAVED_RETRIES
        self._by_service: dict[str, RetryBudget] = {}

    def set_node_count(self, nodes: int) -> None:
        """Set the number of nodes that share the fleet's saved retries."""
        if self._fleet_saved_retries:
            self._saved_retries_limit = max(1, self._fleet_saved_retries // max(1, nodes))

    def of(self, service: str, percent: int) -> RetryBudget:
        """Return the budget of ``service``; 0 percent stands for the default."""
        effective_percent = percent or DEFAULT_PERCENT
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = RetryBudget(effective_percent)
        budget.percent = effective_percent
        budget.saved_retries_limit = self._saved_retries_limit
        return budget

    def keep_only(self, services: frozenset[str]) -> None:
        """Drop the budgets of all services but these."""
        for name in self._by_service.keys() - services:
            del self._by_service[name]
