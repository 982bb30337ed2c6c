"""Use of limits that other relays have not been told yet: telling bit by bit is dear."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from limelever.limits.reachable_proxies import KEEPALIVE_INTERVAL
from limelever.limits.rules import Limit, LimitRules
from limelever.protocol.limits_pb2 import TenantUse

_UNTOLD_PART = 0.02
"""Part of a limit's calls that all relays together may keep to themselves for as long: a fifth of
the usual margin by which a limit may be passed."""


_UNTOLD_SLACK = 0.25
"""The same part of the slack, on which small tenants live."""

LONGEST = 1.0
"""Seconds after which whatever is left is told."""


class _Untold(Struct):
    admitted: int = 0
    refused: int = 0


class UseToTell:
    """What came since it was last told; times in seconds."""

    def __init__(self) -> None:
        self._untold: dict[int, _Untold] = {}
        self._all_at = 0.0
        self._told_at = 0.0
        self._proxies = 0

    def add(self, tenant: int, admitted: int, refused: int) -> None:
        """Take calls of a tenant."""
        untold = self._untold.setdefault(tenant, _Untold())
        untold.admitted += admitted
        untold.refused += refused

    def take(
        self,
        rules: LimitRules,
        limits: Mapping[int, Limit],
        proxies: int,
        relays: int,
        now: float,
    ) -> TenantUse | None:
        """Return what is to be told now, with the number of proxies that it stands for.

        ``relays`` are all that share what may stay untold.
        """
        everything = now - self._all_at >= LONGEST
        use = TenantUse(proxies=proxies)
        for tenant, untold in list(self._untold.items()):
            limit = limits.get(tenant)
            least = _least(rules, limit, relays) if limit is not None else 0.0
            if everything or untold.admitted + untold.refused > least:
                del self._untold[tenant]
                use.tenants.append(tenant)
                use.admitted.append(untold.admitted)
                use.refused.append(untold.refused)
        if not any(use.refused):
            use.ClearField("refused")
        if everything:
            self._all_at = now
        is_news = bool(use.tenants) or proxies != self._proxies
        self._proxies = proxies
        if not is_news and now - self._told_at < KEEPALIVE_INTERVAL:
            return None
        self._told_at = now
        return use


def _least(rules: LimitRules, limit: Limit, relays: int) -> float:
    """Return the calls that one relay may keep to itself."""
    return (_UNTOLD_PART * rules.nominal_calls(limit) + _UNTOLD_SLACK * rules.slack) / relays
