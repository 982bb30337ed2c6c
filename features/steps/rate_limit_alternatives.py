"""Alternative rate limiting schemes, compared with the product's on the same load and seeds.

``FractionCoordinator`` plans by current demand alone, without a window of past use.
``LeaseCoordinator`` leases rates to proxies, whose sum never exceeds the limit whatever messages
are lost.
"""

from __future__ import annotations

import random

from rate_limit_fleet import RateLimitFleet

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import SendMessage
from limelever.limits.rules import Limit, LimitRules
from limelever.limits.tenant_limiter import TenantLimiter
from limelever.limits.usage_window import UsageWindow
from limelever.protocol.limits_pb2 import LimitNews, TenantUse
from limelever.proxy.tenant_limits import TenantLimits
from limelever.relay.limit_coordinator import LimitCoordinator


class FractionLimiter(TenantLimiter):
    def try_admit(self, update_age: float, fleet_size: int, now: float) -> bool:
        admitted = not self._has_fraction or self._admits_fraction()
        self.usage.add(now, int(admitted), int(not admitted))
        return admitted


class FractionLimits(TenantLimits):
    def set_tenants(self, by_name) -> None:
        super().set_tenants(by_name)
        for hashed, limiter in self._limiters.items():
            if not isinstance(limiter, FractionLimiter):
                self._limiters[hashed] = FractionLimiter(limiter.limit, self._rules, self._random)


class FractionCoordinator(LimitCoordinator):
    def _plan_update(self, now: float) -> LimitNews:
        news = LimitNews(proxies=self._reachable_proxies.fleet_size)
        for tenant, limit in self._limits.items():
            uses = self._remote_usage.with_local(tenant, self._local_usage.get(tenant))
            demand = sum(use.request_rate(now) for use in uses)
            allowed = self._rules.target_calls(limit) / self._rules.window
            if demand > allowed:
                news.tenants.append(tenant)
                news.permille.append(int(1000 * allowed / demand))
        return news


LEASE_SECONDS = 2.0
RENEWAL_SECONDS = 0.25
_HEADROOM = 1.3


class LeaseLimits(TenantLimits):
    """Admits calls by leased rates; ``permille`` in an update is a rate in calls per 1000 s."""

    def __init__(self, rules: LimitRules, random_source: random.Random) -> None:
        super().__init__(rules, random_source)
        self._rates: dict[int, tuple[float, float]] = {}
        self._tokens: dict[int, tuple[float, float]] = {}

    def admit(self, tenant, now):
        hashed = self._hash_of.get(tenant.name)
        if hashed is None:
            return None
        limit = Limit(tenant.rate, tenant.burst)
        rate, expires_at = self._rates.get(hashed, (0.0, 0.0))
        equal_share = self._rules.target_calls(limit) / max(1, self._node_count)
        if now > expires_at:
            rate = equal_share / self._rules.window
        capacity = 1.0 + self._rules.slack / max(1, self._node_count) + rate
        tokens, at = self._tokens.get(hashed, (min(1.0, capacity), now))
        tokens = min(capacity, tokens + rate * (now - at))
        self._tokens[hashed] = (tokens - 1 if tokens >= 1 else tokens, now)
        self._record_decision(hashed, tokens >= 1)
        self._limiters[hashed].usage.add(now, int(tokens >= 1), int(tokens < 1))
        return None if tokens >= 1 else Failure(ErrorKind.RATE_LIMITED, "no lease")

    def apply_news(self, news, now):
        for hashed, rate in zip(news.tenants, news.permille, strict=True):
            self._rates[hashed] = (rate / 1000, now + LEASE_SECONDS)


class LeaseCoordinator(LimitCoordinator):
    """Leases each limit's rate to proxies in proportion to their demand.

    A lease that was sent counts until it expires.
    """

    def __init__(self, rules: LimitRules) -> None:
        super().__init__(rules)
        self._demand: dict[int, dict[str, UsageWindow]] = {}
        self._leases: dict[int, dict[str, list[tuple[float, float]]]] = {}
        self._started_at: float | None = None

    def add_relay(self, relay, now):
        return []

    def handle_proxy_report(self, connection, use: TenantUse, now: float) -> None:
        name = self._proxies.get(connection)
        if name is None:
            return
        for reported in self._uncounted_calls(f"proxy {name}", use, now):
            by_name = self._demand.setdefault(reported.tenant, {})
            window = by_name.setdefault(name, UsageWindow(self._rules.window))
            window.add(reported.at, reported.admitted, reported.refused)

    def on_deadline(self, now: float):
        if self.next_at is None or now < self.next_at:
            return []
        self.next_at = now + RENEWAL_SECONDS
        self._started_at = now if self._started_at is None else self._started_at
        if now - self._started_at < LEASE_SECONDS:
            return []
        news = {name: LimitNews() for name in self._proxies.values()}
        for tenant, limit in self._limits.items():
            self._lease(tenant, limit, news, now)
        return [SendMessage(each, news[name]) for each, name in self._proxies.items()]

    def _lease(self, tenant: int, limit: Limit, news: dict[str, LimitNews], now: float) -> None:
        max_rate = self._rules.target_calls(limit) / self._rules.window
        windows = self._demand.get(tenant, {})
        demands = {name: _HEADROOM * use.request_rate(now) for name, use in windows.items()}
        scale = min(1.0, max_rate / sum(demands.values())) if any(demands.values()) else 0.0
        leases = self._leases.setdefault(tenant, {})
        for name in list(leases):
            leases[name] = [lease for lease in leases[name] if lease[1] > now]
        leased = {
            name: max((rate for rate, _ in each), default=0.0) for name, each in leases.items()
        }
        available = max_rate - sum(leased.values())
        for name, demand in demands.items():
            if name not in news or demand <= 0:
                continue
            rate = min(demand * scale, leased.get(name, 0.0) + max(0.0, available))
            available -= max(0.0, rate - leased.get(name, 0.0))
            leases.setdefault(name, []).append((rate, now + LEASE_SECONDS + 0.1))
            news[name].tenants.append(tenant)
            news[name].permille.append(int(1000 * rate))


class LeaseFleet(RateLimitFleet):
    """A fleet whose proxies all follow the first running relay."""

    def _candidates(self, proxy, usable):
        return usable[:1]
