"""Calls of tenants that are not reported to other relays yet.

Few calls are held back and reported together later, to save messages.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from limelever.limits.reachable_proxies import KEEPALIVE_INTERVAL
from limelever.limits.rules import Limit, LimitRules
from limelever.protocol.limits_pb2 import TenantUse

_UNREPORTED_FRACTION = 0.02
"""Fraction of a limit's calls that all relays together may hold back. The part of
``LimitRules.excess`` above the target covers them."""

_UNREPORTED_SLACK_FRACTION = 0.25
"""Fraction of ``LimitRules.slack`` that they may hold back in addition, so that the calls of
tenants with low limits are batched too."""

MAX_REPORT_DELAY = 1.0
"""Seconds after which all calls are reported, however few."""


class _PendingCalls(Struct):
    admitted: int = 0
    refused: int = 0


class PendingUsage:
    """Call counts since the last report; times in seconds, monotonic."""

    def __init__(self) -> None:
        self._calls_by_tenant: dict[int, _PendingCalls] = {}
        self._all_reported_at = 0.0
        self._last_report_at = 0.0
        self._reported_proxies = 0

    def add(self, tenant: int, admitted: int, refused: int) -> None:
        """Add calls of a tenant."""
        calls = self._calls_by_tenant.setdefault(tenant, _PendingCalls())
        calls.admitted += admitted
        calls.refused += refused

    def take_report(
        self,
        rules: LimitRules,
        limits: Mapping[int, Limit],
        proxies: int,
        relays: int,
        now: float,
    ) -> TenantUse | None:
        """Remove and return the calls to report now, or ``None`` if no report is due.

        ``proxies`` is the number of reachable proxies that report here, ``relays`` that of all
        relays, which share the calls that may be held back.
        """
        report_all = now - self._all_reported_at >= MAX_REPORT_DELAY
        report = TenantUse(proxies=proxies)
        for tenant, calls in list(self._calls_by_tenant.items()):
            limit = limits.get(tenant)
            threshold = _report_threshold(rules, limit, relays) if limit is not None else 0.0
            if report_all or calls.admitted + calls.refused > threshold:
                del self._calls_by_tenant[tenant]
                report.tenants.append(tenant)
                report.admitted.append(calls.admitted)
                report.refused.append(calls.refused)
        if not any(report.refused):
            report.ClearField("refused")
        if report_all:
            self._all_reported_at = now
        has_changes = bool(report.tenants) or proxies != self._reported_proxies
        self._reported_proxies = proxies
        if not has_changes and now - self._last_report_at < KEEPALIVE_INTERVAL:
            return None
        self._last_report_at = now
        return report


def _report_threshold(rules: LimitRules, limit: Limit, relays: int) -> float:
    """Return the calls of a tenant that one relay may hold back."""
    return (
        _UNREPORTED_FRACTION * rules.nominal_calls(limit) + _UNREPORTED_SLACK_FRACTION * rules.slack
    ) / relays
