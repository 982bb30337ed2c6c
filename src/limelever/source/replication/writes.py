"""Disk writes in flight: draws tokens and holds back what must wait for a sync."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from msgspec import Struct


class _Waiting(Struct, frozen=True):
    token: int
    action: Callable[[], None]


class _LogChange(Struct, frozen=True):
    token: int
    first_index: int


class PendingWrites:
    """Writes complete in the order of their tokens."""

    def __init__(self) -> None:
        self._last = 0
        self._synced = 0
        self._last_state = 0
        self._log_changes: deque[_LogChange] = deque()
        self._waiting: deque[_Waiting] = deque()

    def draw(self) -> int:
        """Return the token of the next write."""
        self._last += 1
        return self._last

    def draw_state(self) -> int:
        """Return the token of the next write, of the identity or of term and vote."""
        self._last_state = self.draw()
        return self._last_state

    def draw_log(self, first_index: int) -> int:
        """Return the token of the next write, which changes the log from ``first_index`` on."""
        token = self.draw()
        self._log_changes.append(_LogChange(token, first_index))
        return token

    @property
    def state_is_synced(self) -> bool:
        """Return whether identity, term and vote are synced."""
        return self._last_state <= self._synced

    def synced_index(self, last_index: int) -> int:
        """Return up to which index a log that ends at ``last_index`` is synced as it is now."""
        unsynced = (change.first_index for change in self._log_changes)
        return min(unsynced, default=last_index + 1) - 1

    def when_synced(self, action: Callable[[], None]) -> None:
        """Run ``action`` once every write drawn so far is synced, at once if all are."""
        if self._synced == self._last:
            action()
        else:
            self._waiting.append(_Waiting(self._last, action))

    def completed(self, token: int) -> None:
        """Note that the write ``token`` and all before it are synced; run what waited."""
        self._synced = max(self._synced, token)
        while self._log_changes and self._log_changes[0].token <= self._synced:
            self._log_changes.popleft()
        while self._waiting and self._waiting[0].token <= self._synced:
            self._waiting.popleft().action()
