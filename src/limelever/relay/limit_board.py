"""What one relay knows of the use of limits: its proxies' calls, and what other relays tell.

Proxies tell their relay what they let in and refused, relays tell each other sums, and each relay
tells its proxies of the tenants near their limit. All of it is soft: counts leave with the window,
and whoever joins is told the window's. A proxy that has moved is counted at both relays for a
window, which errs to the safe side.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.limits.admission_plan import admission_permille, needs_updates
from limelever.limits.burst_bucket import BurstBucket
from limelever.limits.reachable_proxies import KEEPALIVE_INTERVAL, PEER_TIMEOUT, ReachableProxies
from limelever.limits.rules import Limit, LimitRules
from limelever.limits.usage_window import UsageWindow
from limelever.protocol.limits_pb2 import LimitNews, TenantUse
from limelever.relay import events
from limelever.relay.use_of_relays import UseOfRelays
from limelever.relay.use_to_tell import UseToTell

NEWS_INTERVAL = 0.1
"""Seconds between two batches of sums or news."""

_NEWS_STEP = 0.05
"""Change of a tenant's part that is told at once."""


class ToldUse(Struct, frozen=True):
    """Calls of a tenant at a time, as told by a proxy or a relay."""

    tenant: int
    admitted: int
    refused: int
    at: float


class LimitBoard:
    """Counts, plans and tells; times in seconds, monotonic. Without limits it does nothing."""

    def __init__(self, rules: LimitRules) -> None:
        self._rules = rules
        self._limits: Mapping[int, Limit] = {}
        self._own: dict[int, UsageWindow] = {}
        self._others = UseOfRelays(rules.window)
        self._proxies: dict[ConnectionId, str] = {}
        self._relays: dict[ConnectionId, None] = {}
        self._heard_at: dict[str, float] = {}
        self._levels: dict[int, BurstBucket] = {}
        self._in_touch = ReachableProxies()
        self._to_tell = UseToTell()
        self._news = LimitNews()
        self._news_at = 0.0
        self._parted = False
        self.next_at: float | None = None

    def set_limits(self, limits: Mapping[int, Limit], now: float) -> None:
        """Take the limits of all tenants that have one, by the tenants' hash."""
        self._limits = limits
        if not limits:
            self.next_at = None
        elif self.next_at is None:
            self.next_at = now + NEWS_INTERVAL
        for tenant in self._own.keys() - limits.keys():
            del self._own[tenant]

    def join(self, proxy: ConnectionId, name: str) -> None:
        """Tell a proxy news from now on, the first within a moment."""
        if self._proxies.get(proxy) != name:
            self._proxies[proxy] = name
            self._news_at = 0.0

    def join_relay(self, relay: ConnectionId, now: float) -> list[Output]:
        """Tell another relay the window's use of the proxies here, and what comes from now on."""
        self._relays[relay] = None
        return [SendMessage(relay, self._history(now))] if self._limits else []

    def leave(self, connection: ConnectionId) -> None:
        """Forget a proxy or relay whose link is gone; what was used stays counted."""
        self._proxies.pop(connection, None)
        self._relays.pop(connection, None)

    def from_proxy(self, connection: ConnectionId, use: TenantUse, now: float) -> None:
        """Take what a proxy here let in and refused."""
        name = self._proxies.get(connection)
        if name is None:
            return
        for told in self._news_in(f"proxy {name}", use, now):
            window = self._own.setdefault(told.tenant, UsageWindow(self._rules.window))
            window.add(told.at, told.admitted, told.refused)
            self._to_tell.add(told.tenant, told.admitted, told.refused)

    def from_relay(self, address: str, use: TenantUse, now: float) -> None:
        """Take what another relay's proxies let in and refused."""
        told = list(self._news_in(f"relay {address}", use, now))
        self._others.heard(address, use.proxies, now)
        for each in told:
            self._others.add(address, each.tenant, each.at, each.admitted, each.refused)

    def relay_lost(self, address: str) -> None:
        """Take that another relay is out of touch."""
        self._others.lost(address)
        self._heard_at.pop(f"relay {address}", None)

    def on_deadline(self, now: float) -> list[Output]:
        """Tell what is due."""
        if self.next_at is None or now < self.next_at:
            return []
        self.next_at = now + NEWS_INTERVAL
        self._forget_silent(now)
        own = self._own_reached(now)
        self._in_touch.update(own + self._others.proxies, now)
        return [*self._tell_relays(own, now), *self._tell_proxies(now), *self._logs()]

    def _logs(self) -> list[Output]:
        """Tell operators when part of each limit is held back, and when no longer."""
        parted = self._in_touch.fraction < 1.0
        if parted == self._parted:
            return []
        self._parted = parted
        fields: dict[str, object] = {"fleet": self._in_touch.fleet_size}
        if not parted:
            return [LogEvent(events.LIMITS_WHOLE, fields)]
        return [LogEvent(events.LIMITS_PARTED, {"proxies": self._in_touch.reachable, **fields})]

    def _own_reached(self, now: float) -> int:
        heard = (self._heard_at.get(f"proxy {name}") for name in self._proxies.values())
        return sum(1 for at in heard if at is not None and now - at <= PEER_TIMEOUT)

    def _forget_silent(self, now: float) -> None:
        self._others.expire(now)
        oldest = now - self._rules.window
        for sender in [sender for sender, at in self._heard_at.items() if at < oldest]:
            del self._heard_at[sender]

    def _tell_relays(self, proxies: int, now: float) -> list[Output]:
        relays = len(self._relays) + 1
        use = self._to_tell.take(self._rules, self._limits, proxies, relays, now)
        return [SendMessage(relay, use) for relay in self._relays] if use is not None else []

    def _tell_proxies(self, now: float) -> list[Output]:
        news = self._plan(now)
        if now - self._news_at < KEEPALIVE_INTERVAL and not _is_news(news, self._news):
            return []
        self._news, self._news_at = news, now
        return [SendMessage(proxy, news) for proxy in self._proxies]

    def _plan(self, now: float) -> LimitNews:
        news = LimitNews(proxies=self._in_touch.fleet_size)
        part = self._in_touch.fraction
        for tenant, limit in self._limits.items():
            parts = self._others.with_own(tenant, self._own.get(tenant))
            aim = self._rules.target_calls(limit) * part
            if needs_updates(parts, self._rules, limit, aim, now):
                news.tenants.append(tenant)
                news.permille.append(self._permille(tenant, limit, parts, now))
            else:
                self._levels.pop(tenant, None)
        return news

    def _permille(self, tenant: int, limit: Limit, parts: list[UsageWindow], now: float) -> int:
        use = UsageWindow(self._rules.window)
        for each in parts:
            use.merge(each)
        part = self._in_touch.fraction
        rate, most = limit.rate * part, self._rules.burst_capacity(limit) * part
        level = self._levels.setdefault(tenant, BurstBucket()).tokens(use, rate, most, now)
        return admission_permille(use, level, rate, self._rules.target_calls(limit) * part, now)

    def _news_in(self, sender: str, use: TenantUse, now: float) -> Iterable[ToldUse]:
        """Yield what the sender tells that is not counted yet."""
        known_until = self._heard_at.get(sender, 0.0)
        self._heard_at[sender] = now
        if use.fleet:
            self._in_touch.add_fleet_size(use.fleet, now)
        none = [0] * len(use.tenants)
        numbers = zip(
            use.tenants, use.admitted, use.refused or none, use.ages_ms or none, strict=False
        )
        oldest = now - self._rules.window
        for tenant, admitted, refused, age_ms in numbers:
            at = now - age_ms / 1000
            counted = age_ms and at <= known_until
            if tenant in self._limits and at >= oldest and not counted:
                yield ToldUse(tenant, admitted, refused, at)

    def _history(self, now: float) -> TenantUse:
        use = TenantUse(proxies=self._own_reached(now), fleet=self._in_touch.fleet_size)
        for tenant, window in self._own.items():
            for age, slot in window.slots(now):
                use.tenants.append(tenant)
                use.admitted.append(slot.admitted)
                use.refused.append(slot.refused)
                use.ages_ms.append(int(age * 1000) + 1)
        return use


def _is_news(news: LimitNews, told: LimitNews) -> bool:
    if news.proxies != told.proxies or list(news.tenants) != list(told.tenants):
        return True
    parts = zip(news.permille, told.permille, strict=True)
    return any(abs(now - before) > _NEWS_STEP * before for now, before in parts)
