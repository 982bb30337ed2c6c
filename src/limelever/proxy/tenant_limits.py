"""Enforces the tenants' rate limits, which apply to all proxies together.

The proxy reports admitted and refused calls to its relay at short intervals; the relay answers with
the fraction of calls to admit for each tenant near its limit. A proxy that connects to a relay
reports its use of the whole window.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.limits.reachable_proxies import (
    FLEET_SIZE_RETENTION,
    KEEPALIVE_INTERVAL,
    PEER_TIMEOUT,
)
from limelever.limits.rules import Limit, LimitRules
from limelever.limits.tenant_hash import tenant_hash
from limelever.limits.tenant_limiter import TenantLimiter
from limelever.protocol.limits_pb2 import LimitNews, TenantUse
from limelever.proxy.tenants import TenantEntry

REPORT_INTERVAL_SECONDS = 0.1
"""Shortest time between two reports."""

_MIN_CALLS_FOR_REPORT = 2
"""With fewer unreported calls, the next report waits for ``KEEPALIVE_INTERVAL``."""


class _Unreported(Struct):
    """Calls not reported yet; ``admitted`` is negative if refunds outnumber admissions."""

    admitted: int = 0
    refused: int = 0


class TenantLimits:
    """Rate limits of all tenants at one proxy; times in seconds, monotonic.

    Without a limited tenant it needs no deadline and sends no reports.
    """

    def __init__(self, rules: LimitRules, random_source: random.Random) -> None:
        self._rules = rules
        self._random = random_source
        self._limiters: dict[int, TenantLimiter] = {}
        self._hash_of: dict[str, int] = {}
        self._node_count = 0
        self._proxy_count = 0
        self._proxy_count_at = 0.0
        self._news_at: float | None = None
        self._limited: frozenset[int] = frozenset()
        self._unreported: dict[int, _Unreported] = {}
        self._unreported_calls = 0
        self._report_at = 0.0
        self._idle_report_at = 0.0

    def __bool__(self) -> bool:
        return bool(self._limiters)

    def set_tenants(self, by_name: Mapping[str, TenantEntry]) -> None:
        """Apply the tenants of the current configuration; recorded use is kept."""
        limiters: dict[int, TenantLimiter] = {}
        self._hash_of = {}
        for name, tenant in by_name.items():
            if tenant.rate <= 0:
                continue
            hashed = self._hash_of[name] = tenant_hash(name)
            limit = Limit(tenant.rate, tenant.burst)
            existing = self._limiters.get(hashed)
            limiters[hashed] = existing or TenantLimiter(limit, self._rules, self._random)
            limiters[hashed].limit = limit
        self._limiters = limiters
        self._unreported = {
            hashed: use for hashed, use in self._unreported.items() if hashed in limiters
        }

    def set_node_count(self, node_count: int) -> None:
        """Set the number of nodes, used as the number of proxies until a relay reports it."""
        self._node_count = node_count

    def admit(self, tenant: TenantEntry, now: float, *, is_late: bool = False) -> Failure | None:
        """Count a call of a tenant; return why it is refused, or ``None``.

        ``is_late`` marks a call that has already missed its latency target. It is admitted only if
        the tenant is not being throttled.
        """
        hashed = self._hash_of.get(tenant.name)
        if hashed is None:
            return None
        limiter = self._limiters[hashed]
        if is_late and limiter.is_throttled(self._news_age(now)):
            return self._refusal(tenant, limiter, now)
        admitted = limiter.try_admit(self._news_age(now), self._fleet_size(), now)
        self._record_decision(hashed, admitted)
        return None if admitted else self._refusal(tenant, limiter, now)

    def refund(self, name: str, admitted_at: float, now: float) -> None:
        """Take back the admission of a call that was not run.

        Otherwise retries of calls that an overloaded fleet refuses would exhaust the limit of a
        tenant that stays well below it.
        """
        hashed = self._hash_of.get(name)
        if hashed is not None and now - admitted_at < self._rules.window:
            self._limiters[hashed].usage.add(admitted_at, -1, 0)
            self._unreported.setdefault(hashed, _Unreported()).admitted -= 1
            self._unreported_calls += 1

    def apply_news(self, news: LimitNews, now: float) -> None:
        """Apply an update from the relay, which replaces the previous one."""
        if news.proxies >= self._proxy_count or now - self._proxy_count_at > FLEET_SIZE_RETENTION:
            self._proxy_count, self._proxy_count_at = news.proxies, now
        self._news_at = now
        for hashed in self._limited.difference(news.tenants):
            if hashed in self._limiters:
                self._limiters[hashed].clear_permille()
        self._limited = frozenset(news.tenants)
        for hashed, permille in zip(news.tenants, news.permille, strict=False):
            if hashed in self._limiters:
                self._limiters[hashed].set_permille(permille, now)

    def full_report(self, now: float) -> TenantUse | None:
        """Return the use of the whole window, for a newly connected relay."""
        if not self._limiters:
            return None
        self._schedule_report(now)
        self._unreported = {}
        use = TenantUse(fleet=self._proxy_count)
        for hashed, limiter in self._limiters.items():
            for age, slot in limiter.usage.slots(now):
                use.tenants.append(hashed)
                use.admitted.append(max(0, slot.admitted))
                use.refused.append(slot.refused)
                use.ages_ms.append(int(age * 1000) + 1)
        return use

    def report(self, now: float) -> TenantUse | None:
        """Return the report that is due now, if any."""
        deadline = self.next_deadline()
        if deadline is None or now < deadline:
            return None
        self._schedule_report(now)
        use = TenantUse()
        for hashed, unreported in list(self._unreported.items()):
            if unreported.admitted < 0:
                continue
            del self._unreported[hashed]
            use.tenants.append(hashed)
            use.admitted.append(unreported.admitted)
            use.refused.append(unreported.refused)
        if not any(use.refused):
            use.ClearField("refused")
        return use

    def is_isolated(self, now: float) -> bool:
        """Return whether relay updates have stopped arriving.

        This proxy then admits calls only within its own part of each limit.
        """
        return bool(self._limiters) and PEER_TIMEOUT < self._news_age(now) < math.inf

    def next_deadline(self) -> float | None:
        """Return when ``report`` must be called next, or ``None``."""
        if not self._limiters:
            return None
        return (
            self._report_at
            if self._unreported_calls >= _MIN_CALLS_FOR_REPORT
            else self._idle_report_at
        )

    def _schedule_report(self, now: float) -> None:
        self._unreported_calls = 0
        self._report_at = now + REPORT_INTERVAL_SECONDS
        self._idle_report_at = now + KEEPALIVE_INTERVAL

    def _record_decision(self, hashed: int, admitted: bool) -> None:
        unreported = self._unreported.setdefault(hashed, _Unreported())
        if admitted:
            unreported.admitted += 1
        else:
            unreported.refused += 1
        self._unreported_calls += 1

    def _news_age(self, now: float) -> float:
        return now - self._news_at if self._news_at is not None else math.inf

    def _fleet_size(self) -> int:
        return max(1, self._proxy_count or self._node_count)

    def _refusal(self, tenant: TenantEntry, limiter: TenantLimiter, now: float) -> Failure:
        news_age = self._news_age(now)
        freshness = (
            f"relay update {news_age:.1f} s old"
            if math.isfinite(news_age)
            else "no relay update yet"
        )
        reason = (
            f"tenant {tenant.name} is at its limit of {tenant.rate:g} calls/s plus a burst of"
            f" {tenant.burst:g} ({limiter.usage.admitted(now)} admitted by this proxy in the last"
            f" {self._rules.window:g} s, {freshness})"
        )
        wait = limiter.retry_after(news_age, self._fleet_size())
        resources = (f"tenant/{tenant.name}",)
        return Failure(ErrorKind.RATE_LIMITED, reason, resources=resources, retry_after=wait)
