"""Coordinates tenants' rate limits over all proxies: aggregates usage and plans admission.

Proxies report admitted and refused calls to their relay, relays exchange sums of these, and each
relay sends its proxies the fraction of calls to admit for tenants near their limit. All of it is
soft state: counts expire with the window, and a relay that connects receives those of the window.
The usage of a proxy that changes relays is counted at both for a window, which overestimates it.
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
from limelever.relay.pending_usage import PendingUsage
from limelever.relay.remote_usage import RemoteUsage

UPDATE_INTERVAL = 0.1
"""Seconds between two batches of reports to relays and updates to proxies."""

_UPDATE_THRESHOLD = 0.05
"""Relative change of an admission fraction that is sent without waiting for the keepalive."""


class ReportedCalls(Struct, frozen=True):
    """Calls of a tenant as reported by a proxy or relay; ``at`` in seconds, monotonic."""

    tenant: int
    admitted: int
    refused: int
    at: float


class LimitCoordinator:
    """Aggregates usage and sends updates while there are limits; times in seconds, monotonic."""

    def __init__(self, rules: LimitRules) -> None:
        self._rules = rules
        self._limits: Mapping[int, Limit] = {}
        self._local_usage: dict[int, UsageWindow] = {}
        self._remote_usage = RemoteUsage(rules.window)
        self._proxies: dict[ConnectionId, str] = {}
        self._relays: dict[ConnectionId, None] = {}
        self._last_report_at: dict[str, float] = {}
        self._buckets: dict[int, BurstBucket] = {}
        self._reachable_proxies = ReachableProxies()
        self._pending = PendingUsage()
        self._last_update = LimitNews()
        self._last_update_at = 0.0
        self._partitioned = False
        self.next_at: float | None = None

    def set_limits(self, limits: Mapping[int, Limit], now: float) -> None:
        """Set the limits of all tenants that have one, by tenant hash."""
        self._limits = limits
        if not limits:
            self.next_at = None
        elif self.next_at is None:
            self.next_at = now + UPDATE_INTERVAL
        for tenant in self._local_usage.keys() - limits.keys():
            del self._local_usage[tenant]

    def add_proxy(self, proxy: ConnectionId, name: str) -> None:
        """Send a proxy updates from now on, the first with the next batch."""
        if self._proxies.get(proxy) != name:
            self._proxies[proxy] = name
            self._last_update_at = 0.0

    def add_relay(self, relay: ConnectionId, now: float) -> list[Output]:
        """Send another relay the usage in the window, and reports from now on."""
        self._relays[relay] = None
        return [SendMessage(relay, self._window_report(now))] if self._limits else []

    def remove(self, connection: ConnectionId) -> None:
        """Remove a proxy or relay whose link was closed; its usage stays counted."""
        self._proxies.pop(connection, None)
        self._relays.pop(connection, None)

    def handle_proxy_report(self, connection: ConnectionId, report: TenantUse, now: float) -> None:
        """Count the calls that a proxy of this relay admitted and refused."""
        name = self._proxies.get(connection)
        if name is None:
            return
        for calls in self._uncounted_calls(f"proxy {name}", report, now):
            window = self._local_usage.setdefault(calls.tenant, UsageWindow(self._rules.window))
            window.add(calls.at, calls.admitted, calls.refused)
            self._pending.add(calls.tenant, calls.admitted, calls.refused)

    def handle_relay_report(self, address: str, report: TenantUse, now: float) -> None:
        """Count the calls that the proxies of another relay admitted and refused."""
        reported = list(self._uncounted_calls(f"relay {address}", report, now))
        self._remote_usage.mark_reachable(address, report.proxies, now)
        for calls in reported:
            self._remote_usage.add(address, calls.tenant, calls.at, calls.admitted, calls.refused)

    def relay_disconnected(self, address: str) -> None:
        """Discard the usage of a relay whose link was lost."""
        self._remote_usage.remove(address)
        self._last_report_at.pop(f"relay {address}", None)

    def on_deadline(self, now: float) -> list[Output]:
        """Send the reports and updates that are due."""
        if self.next_at is None or now < self.next_at:
            return []
        self.next_at = now + UPDATE_INTERVAL
        self._expire_silent(now)
        local_proxies = self._count_reachable_proxies(now)
        self._reachable_proxies.update(local_proxies + self._remote_usage.proxies, now)
        return [
            *self._report_to_relays(local_proxies, now),
            *self._update_proxies(now),
            *self._log_partition(),
        ]

    def _log_partition(self) -> list[Output]:
        """Log when a share of the limits starts or stops being reserved for unreachable proxies."""
        partitioned = self._reachable_proxies.fraction < 1.0
        if partitioned == self._partitioned:
            return []
        self._partitioned = partitioned
        fields: dict[str, object] = {"fleet": self._reachable_proxies.fleet_size}
        if not partitioned:
            return [LogEvent(events.LIMITS_WHOLE, fields)]
        return [
            LogEvent(events.LIMITS_PARTED, {"proxies": self._reachable_proxies.reachable, **fields})
        ]

    def _count_reachable_proxies(self, now: float) -> int:
        report_times = (
            self._last_report_at.get(f"proxy {name}") for name in self._proxies.values()
        )
        return sum(1 for at in report_times if at is not None and now - at <= PEER_TIMEOUT)

    def _expire_silent(self, now: float) -> None:
        self._remote_usage.expire(now)
        oldest = now - self._rules.window
        for sender in [sender for sender, at in self._last_report_at.items() if at < oldest]:
            del self._last_report_at[sender]

    def _report_to_relays(self, proxies: int, now: float) -> list[Output]:
        relays = len(self._relays) + 1
        report = self._pending.take_report(self._rules, self._limits, proxies, relays, now)
        return [SendMessage(relay, report) for relay in self._relays] if report is not None else []

    def _update_proxies(self, now: float) -> list[Output]:
        update = self._plan_update(now)
        if now - self._last_update_at < KEEPALIVE_INTERVAL and not _differs(
            update, self._last_update
        ):
            return []
        self._last_update, self._last_update_at = update, now
        return [SendMessage(proxy, update) for proxy in self._proxies]

    def _plan_update(self, now: float) -> LimitNews:
        update = LimitNews(proxies=self._reachable_proxies.fleet_size)
        fraction = self._reachable_proxies.fraction
        for tenant, limit in self._limits.items():
            usages = self._remote_usage.with_local(tenant, self._local_usage.get(tenant))
            target = self._rules.target_calls(limit) * fraction
            if needs_updates(usages, self._rules, limit, target, now):
                update.tenants.append(tenant)
                update.permille.append(self._admission_permille(tenant, limit, usages, now))
            else:
                self._buckets.pop(tenant, None)
        return update

    def _admission_permille(
        self, tenant: int, limit: Limit, usages: list[UsageWindow], now: float
    ) -> int:
        total = UsageWindow(self._rules.window)
        for usage in usages:
            total.merge(usage)
        fraction = self._reachable_proxies.fraction
        rate, capacity = limit.rate * fraction, self._rules.burst_capacity(limit) * fraction
        tokens = self._buckets.setdefault(tenant, BurstBucket()).tokens(total, rate, capacity, now)
        return admission_permille(
            total, tokens, rate, self._rules.target_calls(limit) * fraction, now
        )

    def _uncounted_calls(
        self, sender: str, report: TenantUse, now: float
    ) -> Iterable[ReportedCalls]:
        """Yield the reported calls that are within the window and not counted yet.

        Also records the time of the report, and the fleet size that it holds.
        """
        last_report_at = self._last_report_at.get(sender, 0.0)
        self._last_report_at[sender] = now
        if report.fleet:
            self._reachable_proxies.add_fleet_size(report.fleet, now)
        zeros = [0] * len(report.tenants)
        rows = zip(
            report.tenants,
            report.admitted,
            report.refused or zeros,
            report.ages_ms or zeros,
            strict=False,
        )
        oldest = now - self._rules.window
        for tenant, admitted, refused, age_ms in rows:
            at = now - age_ms / 1000
            is_counted = age_ms and at <= last_report_at
            if tenant in self._limits and at >= oldest and not is_counted:
                yield ReportedCalls(tenant, admitted, refused, at)

    def _window_report(self, now: float) -> TenantUse:
        report = TenantUse(
            proxies=self._count_reachable_proxies(now), fleet=self._reachable_proxies.fleet_size
        )
        for tenant, window in self._local_usage.items():
            for age, slot in window.slots(now):
                report.tenants.append(tenant)
                report.admitted.append(slot.admitted)
                report.refused.append(slot.refused)
                # Above 0, which marks calls since the last report: receivers always count those.
                report.ages_ms.append(int(age * 1000) + 1)
        return report


def _differs(update: LimitNews, previous: LimitNews) -> bool:
    if update.proxies != previous.proxies or list(update.tenants) != list(previous.tenants):
        return True
    permilles = zip(update.permille, previous.permille, strict=True)
    return any(abs(new - old) > _UPDATE_THRESHOLD * old for new, old in permilles)
