"""Expiry of table entries: a heap with at most one item for each endpoint."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from limelever.relay.endpoint_entry import EndpointName

SWEEP_INTERVAL = 0.1
"""Seconds between sweeps, so that many leases that end together cost one wake-up."""


class Expiry:
    """Knows which endpoints are due; renewals do not touch the heap."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, EndpointName]] = []
        self._scheduled: dict[EndpointName, float] = {}
        self._swept_at = float("-inf")

    def schedule(self, name: EndpointName, at: float) -> None:
        """Look at ``name`` at time ``at`` or before."""
        scheduled = self._scheduled.get(name)
        if scheduled is not None and scheduled <= at:
            return
        self._scheduled[name] = at
        heapq.heappush(self._heap, (at, name))

    def due(
        self, now: float, expires_at: Callable[[EndpointName], float | None]
    ) -> list[EndpointName]:
        """Return the endpoints whose time has come; others are scheduled again."""
        self._swept_at = now
        due: list[EndpointName] = []
        while self._heap and self._heap[0][0] <= now:
            at, name = heapq.heappop(self._heap)
            if self._scheduled.get(name) != at:
                continue
            del self._scheduled[name]
            actual = expires_at(name)
            if actual is None:
                continue
            if actual <= now:
                due.append(name)
            else:
                self.schedule(name, actual)
        return due

    def next_deadline(self) -> float | None:
        """Return when to sweep next, or ``None``."""
        if not self._heap:
            return None
        return max(self._heap[0][0], self._swept_at + SWEEP_INTERVAL)
