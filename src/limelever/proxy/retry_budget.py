"""A budget that keeps retries under a fraction of the fresh calls.

Under overload every retry adds load, so the budget is earned by fresh calls alone: at any time
the retries taken are at most ``percent`` of the fresh calls seen.
"""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_PERCENT = 10
"""Retries as a part of fresh calls, in percent, where the route names none."""

_RETRY_COST = 100
_SAVED_RETRIES_LIMIT = 20


@dataclass(slots=True)
class RetryBudget:
    """Tokens in hundredths of a retry; at most a few retries are saved up for a burst."""

    percent: int = DEFAULT_PERCENT
    _balance: int = 0

    def record_fresh_call(self) -> None:
        """Earn the part of a retry that one fresh call allows."""
        limit = _SAVED_RETRIES_LIMIT * _RETRY_COST
        self._balance = min(limit, self._balance + self.percent)

    def try_take(self) -> bool:
        """Spend one retry; return ``False`` when the budget does not hold it."""
        if self._balance < _RETRY_COST:
            return False
        self._balance -= _RETRY_COST
        return True


class RetryBudgets:
    """One budget a route, kept over changes of the configuration."""

    def __init__(self) -> None:
        self._by_route: dict[str, RetryBudget] = {}

    def of(self, route: str, percent: int) -> RetryBudget:
        """Return the budget of ``route``; 0 percent stands for the default."""
        wanted = percent or DEFAULT_PERCENT
        budget = self._by_route.get(route)
        if budget is None:
            budget = self._by_route[route] = RetryBudget(wanted)
        budget.percent = wanted
        return budget

    def keep_only(self, routes: frozenset[str]) -> None:
        """Drop the budgets of routes that are gone."""
        for name in self._by_route.keys() - routes:
            del self._by_route[name]
