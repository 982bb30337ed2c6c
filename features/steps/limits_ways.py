"""Other ways to keep limits over a fleet, to compare on the same load and seeds.

``FractionBoard`` plans by what is asked alone, without a window. ``LeaseBoard`` leases rates to
proxies, which sum to no more than the limit whatever is lost.
"""

from __future__ import annotations

import random

from limits_fleet import LimitsFleet

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import SendMessage
from limelever.limits.gate import Gate
from limelever.limits.rules import Limit, LimitRules
from limelever.limits.use_window import UseWindow
from limelever.protocol.limits_pb2 import LimitNews, TenantUse
from limelever.proxy.tenant_limits import TenantLimits
from limelever.relay.limit_board import LimitBoard


class FractionGate(Gate):
    def try_admit(self, silent: float, fleet: int, now: float) -> bool:
        admitted = not self._told or self._within_told_part()
        self.use.add(now, int(admitted), int(not admitted))
        return admitted


class FractionLimits(TenantLimits):
    def set_tenants(self, by_name) -> None:
        super().set_tenants(by_name)
        for number, gate in self._gates.items():
            if not isinstance(gate, FractionGate):
                self._gates[number] = FractionGate(gate.limit, self._rules, self._random)


class FractionBoard(LimitBoard):
    def _plan(self, now: float) -> LimitNews:
        news = LimitNews(proxies=self._in_touch.fleet)
        for tenant, limit in self._limits.items():
            parts = self._others.with_own(tenant, self._own.get(tenant))
            asked = sum(use.asked_rate(now) for use in parts)
            allowed = self._rules.aim(limit) / self._rules.window
            if asked > allowed:
                news.tenants.append(tenant)
                news.permille.append(int(1000 * allowed / asked))
        return news


LEASE = 2.0
RENEWAL = 0.25
_HEADROOM = 1.3


class LeaseLimits(TenantLimits):
    """Lets calls in by leased rates; ``permille`` of the news is a rate in calls per 1000 s."""

    def __init__(self, rules: LimitRules, random_source: random.Random) -> None:
        super().__init__(rules, random_source)
        self._rates: dict[int, tuple[float, float]] = {}
        self._tokens: dict[int, tuple[float, float]] = {}

    def admit(self, tenant, now):
        number = self._hash_of.get(tenant.name)
        if number is None:
            return None
        limit = Limit(tenant.rate, tenant.burst)
        rate, until = self._rates.get(number, (0.0, 0.0))
        equal = self._rules.aim(limit) / max(1, self._node_count)
        if now > until:
            rate = equal / self._rules.window
        most = 1.0 + self._rules.slack / max(1, self._node_count) + rate
        tokens, at = self._tokens.get(number, (min(1.0, most), now))
        tokens = min(most, tokens + rate * (now - at))
        self._tokens[number] = (tokens - 1 if tokens >= 1 else tokens, now)
        self._record_decision(number, tokens >= 1)
        self._gates[number].use.add(now, int(tokens >= 1), int(tokens < 1))
        return None if tokens >= 1 else Failure(ErrorKind.RATE_LIMITED, "no lease")

    def apply_news(self, news, now):
        for number, rate in zip(news.tenants, news.permille, strict=True):
            self._rates[number] = (rate / 1000, now + LEASE)


class LeaseBoard(LimitBoard):
    """Leases out each limit's rate by what proxies ask for; a lease that was told counts until it
    has run out."""

    def __init__(self, rules: LimitRules) -> None:
        super().__init__(rules)
        self._asked: dict[int, dict[str, UseWindow]] = {}
        self._leases: dict[int, dict[str, list[tuple[float, float]]]] = {}
        self._begun_at: float | None = None

    def join_relay(self, relay, now):
        return []

    def from_proxy(self, connection, use: TenantUse, now: float) -> None:
        name = self._proxies.get(connection)
        if name is None:
            return
        for told in self._news_in(f"proxy {name}", use, now):
            by_name = self._asked.setdefault(told.tenant, {})
            window = by_name.setdefault(name, UseWindow(self._rules.window))
            window.add(told.at, told.admitted, told.refused)

    def on_deadline(self, now: float):
        if self.next_at is None or now < self.next_at:
            return []
        self.next_at = now + RENEWAL
        self._begun_at = now if self._begun_at is None else self._begun_at
        if now - self._begun_at < LEASE:
            return []
        news = {name: LimitNews() for name in self._proxies.values()}
        for tenant, limit in self._limits.items():
            self._lease(tenant, limit, news, now)
        return [SendMessage(each, news[name]) for each, name in self._proxies.items()]

    def _lease(self, tenant: int, limit: Limit, news: dict[str, LimitNews], now: float) -> None:
        most = self._rules.aim(limit) / self._rules.window
        asked = self._asked.get(tenant, {})
        wants = {name: _HEADROOM * use.asked_rate(now) for name, use in asked.items()}
        scale = min(1.0, most / sum(wants.values())) if any(wants.values()) else 0.0
        held = self._leases.setdefault(tenant, {})
        for name in list(held):
            held[name] = [lease for lease in held[name] if lease[1] > now]
        out = {name: max((rate for rate, _ in each), default=0.0) for name, each in held.items()}
        free = most - sum(out.values())
        for name, want in wants.items():
            if name not in news or want <= 0:
                continue
            rate = min(want * scale, out.get(name, 0.0) + max(0.0, free))
            free -= max(0.0, rate - out.get(name, 0.0))
            held.setdefault(name, []).append((rate, now + LEASE + 0.1))
            news[name].tenants.append(tenant)
            news[name].permille.append(int(1000 * rate))


class LeaseFleet(LimitsFleet):
    """All proxies follow the first relay that is up."""

    def _near(self, proxy, usable):
        return usable[:1]
