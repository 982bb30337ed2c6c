"""Disk writes in flight: draws tokens and holds back what must wait for a sync."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from msgspec import Struct


class _Waiting(Struct, frozen=True):
    token: int
    action: Callable[[], None]


class PendingWrites:
    """Writes complete in the order of their tokens."""

    def __init__(self) -> None:
        self._last = 0
        self._synced = 0
        self._waiting: deque[_Waiting] = deque()

    def draw(self) -> int:
        """Return the token of the next write."""
        self._last += 1
        return self._last

    def when_synced(self, action: Callable[[], None]) -> None:
        """Run ``action`` once every write drawn so far is synced, at once if all are."""
        if self._synced == self._last:
            action()
        else:
            self._waiting.append(_Waiting(self._last, action))

    def completed(self, token: int) -> None:
        """Note that the write ``token`` and all before it are synced; run what waited."""
        self._synced = max(self._synced, token)
        while self._waiting and self._waiting[0].token <= self._synced:
            self._waiting.popleft().action()
