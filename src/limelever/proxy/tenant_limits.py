"""Refuses calls of tenants beyond their limits over all proxies, and tells what was let in.

What is let in or refused goes to the relay in small sums, whose news say which part of what is
asked may be let in. A proxy that has just joined a relay tells it of the whole window.
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

REPORT_INTERVAL = 0.1
"""Seconds between two reports."""

_FEW_CALLS = 2
"""Calls that need no report before the quiet interval is over."""


class _Unsent(Struct):
    """Calls not yet told; more may have been given back than were let in since."""

    admitted: int = 0
    refused: int = 0


class TenantLimits:
    """The limits as one proxy holds them; times in seconds, monotonic.

    Without a tenant that has a limit it asks for no deadline and reports nothing.
    """

    def __init__(self, rules: LimitRules, random_source: random.Random) -> None:
        self._rules = rules
        self._random = random_source
        self._gates: dict[int, TenantLimiter] = {}
        self._hash_of: dict[str, int] = {}
        self._nodes = 0
        self._fleet = 0
        self._fleet_at = 0.0
        self._news_at: float | None = None
        self._told: frozenset[int] = frozenset()
        self._unsent: dict[int, _Unsent] = {}
        self._unsent_calls = 0
        self._report_at = 0.0
        self._quiet_at = 0.0

    def __bool__(self) -> bool:
        return bool(self._gates)

    def set_tenants(self, by_name: Mapping[str, TenantEntry]) -> None:
        """Take the tenants of the configuration now in force; what was used stays counted."""
        gates: dict[int, TenantLimiter] = {}
        self._hash_of = {}
        for name, tenant in by_name.items():
            if tenant.rate <= 0:
                continue
            number = self._hash_of[name] = tenant_hash(name)
            limit = Limit(tenant.rate, tenant.burst)
            held = self._gates.get(number)
            gates[number] = held or TenantLimiter(limit, self._rules, self._random)
            gates[number].limit = limit
        self._gates = gates
        self._unsent = {number: use for number, use in self._unsent.items() if number in gates}

    def nodes_known(self, nodes: int) -> None:
        """Take how many nodes there are, as far as a proxy knows without a relay's news."""
        self._nodes = nodes

    def admit(self, tenant: TenantEntry, now: float, *, is_late: bool = False) -> Failure | None:
        """Count a call of a tenant; return why it is refused, or nothing.

        One that ``is_late`` whatever happens is let in only where its tenant has room to spare.
        """
        number = self._hash_of.get(tenant.name)
        if number is None:
            return None
        gate = self._gates[number]
        if is_late and gate.is_throttled(self._silent(now)):
            return self._refusal(tenant, gate, now)
        admitted = gate.try_admit(self._silent(now), self._fleet_size(), now)
        self._note(number, admitted)
        return None if admitted else self._refusal(tenant, gate, now)

    def give_back(self, name: str, admitted_at: float, now: float) -> None:
        """Count a call that was let in no more, since it wasn't run.

        Otherwise the calls that a full fleet refuses, and that come again, would fill the limit of
        a tenant that keeps well below it.
        """
        number = self._hash_of.get(name)
        if number is not None and now - admitted_at < self._rules.window:
            self._gates[number].usage.add(admitted_at, -1, 0)
            self._unsent.setdefault(number, _Unsent()).admitted -= 1
            self._unsent_calls += 1

    def take_news(self, news: LimitNews, now: float) -> None:
        """Take what the relay tells; it replaces what was told before."""
        if news.proxies >= self._fleet or now - self._fleet_at > FLEET_SIZE_RETENTION:
            self._fleet, self._fleet_at = news.proxies, now
        self._news_at = now
        for number in self._told.difference(news.tenants):
            if number in self._gates:
                self._gates[number].clear_permille()
        self._told = frozenset(news.tenants)
        for number, permille in zip(news.tenants, news.permille, strict=False):
            if number in self._gates:
                self._gates[number].set_permille(permille, now)

    def joined(self, now: float) -> TenantUse | None:
        """Return the window's use, for a relay that is followed from now on."""
        if not self._gates:
            return None
        self._sent(now)
        self._unsent = {}
        use = TenantUse(fleet=self._fleet)
        for number, gate in self._gates.items():
            for age, slot in gate.usage.slots(now):
                use.tenants.append(number)
                use.admitted.append(max(0, slot.admitted))
                use.refused.append(slot.refused)
                use.ages_ms.append(int(age * 1000) + 1)
        return use

    def report(self, now: float) -> TenantUse | None:
        """Return what is to be told now, if anything."""
        deadline = self.next_deadline()
        if deadline is None or now < deadline:
            return None
        self._sent(now)
        use = TenantUse()
        for number, unsent in list(self._unsent.items()):
            if unsent.admitted < 0:
                continue
            del self._unsent[number]
            use.tenants.append(number)
            use.admitted.append(unsent.admitted)
            use.refused.append(unsent.refused)
        if not any(use.refused):
            use.ClearField("refused")
        return use

    def alone(self, now: float) -> bool:
        """Return whether the proxy keeps to its own part of each limit, hearing of no other."""
        return bool(self._gates) and PEER_TIMEOUT < self._silent(now) < math.inf

    def next_deadline(self) -> float | None:
        """Return when ``report`` is to be called, or ``None``."""
        if not self._gates:
            return None
        return self._report_at if self._unsent_calls >= _FEW_CALLS else self._quiet_at

    def _sent(self, now: float) -> None:
        self._unsent_calls = 0
        self._report_at = now + REPORT_INTERVAL
        self._quiet_at = now + KEEPALIVE_INTERVAL

    def _note(self, number: int, admitted: bool) -> None:
        unsent = self._unsent.setdefault(number, _Unsent())
        if admitted:
            unsent.admitted += 1
        else:
            unsent.refused += 1
        self._unsent_calls += 1

    def _silent(self, now: float) -> float:
        return now - self._news_at if self._news_at is not None else math.inf

    def _fleet_size(self) -> int:
        return max(1, self._fleet or self._nodes)

    def _refusal(self, tenant: TenantEntry, gate: TenantLimiter, now: float) -> Failure:
        silent = self._silent(now)
        known = f"news {silent:.1f} s old" if math.isfinite(silent) else "no news"
        reason = (
            f"tenant {tenant.name} is at its limit of {tenant.rate:g} calls a second and"
            f" {tenant.burst:g} more ({gate.usage.admitted(now)} calls here in the last"
            f" {self._rules.window:g} s, {known})"
        )
        wait = gate.retry_after(silent, self._fleet_size())
        about = (f"tenant/{tenant.name}",)
        return Failure(ErrorKind.RATE_LIMITED, reason, resources=about, retry_after=wait)
