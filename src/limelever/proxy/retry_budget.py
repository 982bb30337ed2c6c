"""A budget that keeps retries under a fraction of the fresh calls.

Under overload every retry adds load, so the budget is earned by fresh calls alone: at any time
the retries taken are at most ``percent`` of the fresh calls seen, and a few that were saved up.
Where the fleet shares what may be saved up, each proxy saves its part by the number of nodes.
"""

from __future__ import annotations

from msgspec import Struct

DEFAULT_PERCENT = 10
"""Retries as a part of fresh calls, in percent, where the route names none."""

_RETRY_COST = 100
_SAVED_RETRIES_LIMIT = 20


class RetryBudget(Struct):
    """Tokens in hundredths of a retry; at most a few retries are saved up for a burst."""

    percent: int = DEFAULT_PERCENT
    saved_limit: int = _SAVED_RETRIES_LIMIT
    _balance: int = 0

    def record_fresh_call(self) -> None:
        """Earn the part of a retry that one fresh call allows."""
        limit = self.saved_limit * _RETRY_COST
        self._balance = min(limit, self._balance + self.percent)

    def try_take(self) -> bool:
        """Spend one retry; return ``False`` when the budget does not hold it."""
        if self._balance < _RETRY_COST:
            return False
        self._balance -= _RETRY_COST
        return True


class RetryBudgets:
    """One budget a service, kept over changes of the configuration.

    ``fleet_saved`` is what all proxies together may save up; 0 leaves each its own.
    """

    def __init__(self, fleet_saved: int = 0) -> None:
        self._fleet_saved = fleet_saved
        self._saved_limit = _SAVED_RETRIES_LIMIT
        self._by_service: dict[str, RetryBudget] = {}

    def share_between(self, nodes: int) -> None:
        """Take the number of nodes that share what the fleet may save up."""
        if self._fleet_saved:
            self._saved_limit = max(1, self._fleet_saved // max(1, nodes))

    def of(self, service: str, percent: int) -> RetryBudget:
        """Return the budget of ``service``; 0 percent stands for the default."""
        wanted = percent or DEFAULT_PERCENT
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = RetryBudget(wanted)
        budget.percent = wanted
        budget.saved_limit = self._saved_limit
        return budget

    def keep_only(self, services: frozenset[str]) -> None:
        """Drop the budgets of services that are gone."""
        for name in self._by_service.keys() - services:
            del self._by_service[name]
