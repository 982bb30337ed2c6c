"""Expiry queue of the endpoint table: a heap with one valid item per endpoint."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from limelever.relay.endpoint_entry import EndpointName

SWEEP_INTERVAL = 0.1
"""Minimum seconds between sweeps, so that leases that end together cause a single wake-up."""


class ExpiryQueue:
    """Schedules expiry checks lazily: a renewal leaves its item in the heap until it is due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, EndpointName]] = []
        self._scheduled_at: dict[EndpointName, float] = {}
        self._last_sweep_at = float("-inf")

    def schedule(self, name: EndpointName, expires_at: float) -> None:
        """Check ``name`` at ``expires_at`` (seconds, monotonic) at the latest."""
        scheduled = self._scheduled_at.get(name)
        if scheduled is not None and scheduled <= expires_at:
            return
        self._scheduled_at[name] = expires_at
        heapq.heappush(self._heap, (expires_at, name))

    def pop_due(
        self, now: float, current_expiry: Callable[[EndpointName], float | None]
    ) -> list[EndpointName]:
        """Remove and return the expired endpoints; reschedule those that were renewed."""
        self._last_sweep_at = now
        due: list[EndpointName] = []
        while self._heap and self._heap[0][0] <= now:
            expires_at, name = heapq.heappop(self._heap)
            if self._scheduled_at.get(name) != expires_at:
                continue
            del self._scheduled_at[name]
            current = current_expiry(name)
            if current is None:
                continue
            if current <= now:
                due.append(name)
            else:
                self.schedule(name, current)
        return due

    def next_deadline(self) -> float | None:
        """Return when the next sweep is due, or ``None``."""
        if not self._heap:
            return None
        return max(self._heap[0][0], self._last_sweep_at + SWEEP_INTERVAL)
