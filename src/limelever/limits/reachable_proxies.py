"""Which part of each limit the proxies in touch may hand out: the others may use theirs unheard.

Answers a cut of the core, after which each side still serves: each hands out the part of its own
proxies among all that there were, so that all sides together keep the limit. A proxy that hears of
no relay keeps to the part of one.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

SILENT_AFTER = 0.9
"""Seconds without a word after which the other end counts as out of touch: words are at most 0.3 s
apart, and a lost packet is sent again within less than that."""

QUIET_INTERVAL = 0.3
"""Seconds after which a word is sent although nothing is new."""

MEMORY = 120.0
"""Seconds for which a proxy that is no longer heard of may still serve: longer than cuts last that
nobody mends by hand. Until then the others leave it its part."""

SETTLED_AFTER = 3.0
"""Seconds for which a number of proxies must be reached to count: one that changes its relay is
counted at both until the first notices."""


class _Reached(Struct, frozen=True):
    at: float
    proxies: int


class ProxiesInTouch:
    """How many proxies are reached, and how many there were; times in seconds, monotonic."""

    def __init__(self) -> None:
        self._fewest: deque[_Reached] = deque()
        self._most: deque[_Reached] = deque()
        self._reached = 0
        self._begun_at: float | None = None

    @property
    def fleet(self) -> int:
        """Return the most proxies that were reached for a while within the memory."""
        return self._most[0].proxies if self._most else 0

    @property
    def reached(self) -> int:
        """Return how many proxies are reached."""
        return self._reached

    @property
    def part(self) -> float:
        """Return the part of the fleet that is reached."""
        return min(1.0, self._reached / self.fleet) if self.fleet else 1.0

    def note(self, reached: int, now: float) -> None:
        """Take how many proxies' use is known from now on; to be called several times a second."""
        self._reached = reached
        if self._begun_at is None:
            self._begun_at = now
        while self._fewest and self._fewest[-1].proxies >= reached:
            self._fewest.pop()
        self._fewest.append(_Reached(now, reached))
        while self._fewest[0].at < now - SETTLED_AFTER:
            self._fewest.popleft()
        if now >= self._begun_at + SETTLED_AFTER:
            self.known(self._fewest[0].proxies, now)

    def known(self, fleet: int, now: float) -> None:
        """Take how many proxies there are, or were of late as others know."""
        while self._most and self._most[-1].proxies <= fleet:
            self._most.pop()
        self._most.append(_Reached(now, fleet))
        while self._most[0].at < now - MEMORY:
            self._most.popleft()
