"""The use of limits at other relays' proxies, with those apart that are out of touch.

What a relay out of touch told counts no more: its proxies may have gone to other relays, which they
tell, or go on serving unheard, for which their part of each limit is left to them.
"""

from __future__ import annotations

from msgspec import Struct, field

from limelever.limits.reachable_proxies import PEER_TIMEOUT
from limelever.limits.usage_window import UsageWindow


class _Told(Struct):
    proxies: int = 0
    at: float = 0.0
    in_touch: bool = False
    windows: dict[int, UsageWindow] = field(default_factory=dict)


class UseOfRelays:
    """Windows by relay and tenant, and their sums over those in touch; times in seconds."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._told: dict[str, _Told] = {}
        self._sums: dict[int, UsageWindow] = {}
        self._cleaned_at = 0.0

    @property
    def proxies(self) -> int:
        """Return the proxies of the relays in touch."""
        return sum(each.proxies for each in self._told.values() if each.in_touch)

    def heard(self, address: str, proxies: int, now: float) -> None:
        """Take that a relay is in touch, and of how many proxies it tells."""
        told = self._told.setdefault(address, _Told())
        told.proxies, told.at = proxies, now
        if not told.in_touch:
            told.in_touch = True
            for tenant, window in told.windows.items():
                self._sum(tenant).merge(window)

    def add(self, address: str, tenant: int, at: float, admitted: int, refused: int) -> None:
        """Count calls at the proxies of a relay that was just heard."""
        windows = self._told[address].windows
        window = windows.get(tenant)
        if window is None:
            window = windows[tenant] = UsageWindow(self._window)
        window.add(at, admitted, refused)
        self._sum(tenant).add(at, admitted, refused)

    def lost(self, address: str) -> None:
        """Forget what a relay told: a new link begins with all that still counts."""
        self._silent(address)
        self._told.pop(address, None)

    def _silent(self, address: str) -> None:
        """Count the use at a relay's proxies no more, until it is heard again."""
        told = self._told.get(address)
        if told is None or not told.in_touch:
            return
        told.in_touch = False
        for tenant, window in told.windows.items():
            self._sum(tenant).subtract(window)

    def expire(self, now: float) -> None:
        """Lose the relays that have been silent, and forget what is out of the window."""
        for address, told in list(self._told.items()):
            if now - told.at > PEER_TIMEOUT:
                self._silent(address)
            if now - told.at > self._window:
                del self._told[address]
        if now >= self._cleaned_at + self._window:
            self._cleaned_at = now
            for told in self._told.values():
                _drop_empty(told.windows, now)
            _drop_empty(self._sums, now)

    def with_own(self, tenant: int, own: UsageWindow | None) -> list[UsageWindow]:
        """Return the use at the proxies of this relay, and that at all others in touch."""
        return [use for use in (own, self._sums.get(tenant)) if use is not None]

    def _sum(self, tenant: int) -> UsageWindow:
        held = self._sums.get(tenant)
        if held is None:
            held = self._sums[tenant] = UsageWindow(self._window)
        return held


def _drop_empty(windows: dict[int, UsageWindow], now: float) -> None:
    for tenant in [tenant for tenant, use in windows.items() if use.is_empty(now)]:
        del windows[tenant]
