"""Computes the fraction of each limit that the reachable proxies may use.

After a network partition each side admits calls in proportion to the proxies that it reaches, so
that all sides together stay within the limit. The fleet size is the highest number of proxies seen
recently, so that the share of unreachable proxies stays reserved for them.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

PEER_TIMEOUT = 0.9
"""Seconds without a message after which a peer counts as unreachable. Allows for a keepalive and
the retransmission of a lost packet."""

KEEPALIVE_INTERVAL = 0.3
"""Seconds after which a message is sent although nothing has changed."""

FLEET_SIZE_RETENTION = 120.0
"""Seconds for which unreachable proxies still count towards the fleet size, as they may go on
serving calls. Longer than partitions that heal by themselves."""

SETTLING_TIME = 3.0
"""Seconds for which a number of proxies must be reached to count towards the fleet size: a proxy
that changes relays is briefly counted at both."""


class _ProxyCount(Struct, frozen=True):
    at: float
    proxies: int


class ReachableProxies:
    """Tracks the number of reachable proxies and the fleet size; times in seconds, monotonic."""

    def __init__(self) -> None:
        # Monotonic queues: the first entry is the minimum or maximum of its period.
        self._minima: deque[_ProxyCount] = deque()
        self._maxima: deque[_ProxyCount] = deque()
        self._reachable = 0
        self._started_at: float | None = None

    @property
    def fleet_size(self) -> int:
        """Return the highest settled number of proxies within ``FLEET_SIZE_RETENTION``."""
        return self._maxima[0].proxies if self._maxima else 0

    @property
    def reachable(self) -> int:
        """Return the number of reachable proxies."""
        return self._reachable

    @property
    def fraction(self) -> float:
        """Return the reachable fraction of the fleet."""
        return min(1.0, self._reachable / self.fleet_size) if self.fleet_size else 1.0

    def update(self, reachable: int, now: float) -> None:
        """Set the number of reachable proxies; to be called several times a second."""
        self._reachable = reachable
        if self._started_at is None:
            self._started_at = now
        while self._minima and self._minima[-1].proxies >= reachable:
            self._minima.pop()
        self._minima.append(_ProxyCount(now, reachable))
        while self._minima[0].at < now - SETTLING_TIME:
            self._minima.popleft()
        if now >= self._started_at + SETTLING_TIME:
            self.add_fleet_size(self._minima[0].proxies, now)

    def add_fleet_size(self, fleet_size: int, now: float) -> None:
        """Record a fleet size that was observed here or reported by a peer."""
        while self._maxima and self._maxima[-1].proxies <= fleet_size:
            self._maxima.pop()
        self._maxima.append(_ProxyCount(now, fleet_size))
        while self._maxima[0].at < now - FLEET_SIZE_RETENTION:
            self._maxima.popleft()
