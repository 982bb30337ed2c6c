"""Usage of tenants' limits at the proxies of other relays.

Only reachable relays count. Proxies of an unreachable relay either report to another relay, or go
on serving with the share of each limit that is reserved for unreachable proxies.
"""

from __future__ import annotations

from msgspec import Struct, field

from limelever.limits.reachable_proxies import PEER_TIMEOUT
from limelever.limits.usage_window import UsageWindow


class _RelayUsage(Struct):
    proxies: int = 0
    last_report_at: float = 0.0
    reachable: bool = False
    windows: dict[int, UsageWindow] = field(default_factory=dict)


class RemoteUsage:
    """Usage by relay and tenant, and its totals over reachable relays; times in seconds."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._usage_by_relay: dict[str, _RelayUsage] = {}
        self._total_by_tenant: dict[int, UsageWindow] = {}
        self._last_cleanup_at = 0.0

    @property
    def proxies(self) -> int:
        """Return the number of proxies of the reachable relays."""
        return sum(relay.proxies for relay in self._usage_by_relay.values() if relay.reachable)

    def mark_reachable(self, address: str, proxies: int, now: float) -> None:
        """Mark a relay as reachable, and set the number of its proxies."""
        relay = self._usage_by_relay.setdefault(address, _RelayUsage())
        relay.proxies, relay.last_report_at = proxies, now
        if not relay.reachable:
            relay.reachable = True
            for tenant, window in relay.windows.items():
                self._total(tenant).merge(window)

    def add(self, address: str, tenant: int, at: float, admitted: int, refused: int) -> None:
        """Count calls at the proxies of a relay that is marked as reachable."""
        windows = self._usage_by_relay[address].windows
        window = windows.get(tenant)
        if window is None:
            window = windows[tenant] = UsageWindow(self._window)
        window.add(at, admitted, refused)
        self._total(tenant).add(at, admitted, refused)

    def remove(self, address: str) -> None:
        """Discard the usage of a relay; a new link starts with a report of the whole window."""
        self._mark_unreachable(address)
        self._usage_by_relay.pop(address, None)

    def _mark_unreachable(self, address: str) -> None:
        """Exclude a relay from the totals until it is reachable again."""
        relay = self._usage_by_relay.get(address)
        if relay is None or not relay.reachable:
            return
        relay.reachable = False
        for tenant, window in relay.windows.items():
            self._total(tenant).subtract(window)

    def expire(self, now: float) -> None:
        """Mark silent relays as unreachable, and discard usage that is out of the window."""
        for address, relay in list(self._usage_by_relay.items()):
            if now - relay.last_report_at > PEER_TIMEOUT:
                self._mark_unreachable(address)
            if now - relay.last_report_at > self._window:
                del self._usage_by_relay[address]
        if now >= self._last_cleanup_at + self._window:
            self._last_cleanup_at = now
            for relay in self._usage_by_relay.values():
                _drop_empty(relay.windows, now)
            _drop_empty(self._total_by_tenant, now)

    def with_local(self, tenant: int, local: UsageWindow | None) -> list[UsageWindow]:
        """Return the usage at this relay's proxies and the total of the reachable relays."""
        return [usage for usage in (local, self._total_by_tenant.get(tenant)) if usage is not None]

    def _total(self, tenant: int) -> UsageWindow:
        total = self._total_by_tenant.get(tenant)
        if total is None:
            total = self._total_by_tenant[tenant] = UsageWindow(self._window)
        return total


def _drop_empty(windows: dict[int, UsageWindow], now: float) -> None:
    for tenant in [tenant for tenant, usage in windows.items() if usage.is_empty(now)]:
        del windows[tenant]
