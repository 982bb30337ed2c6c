"""Slots of a back end: a fixed number run at once, a short queue, the rest is shed."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio


class ShedError(Exception):
    """The queue is full; nothing was run."""


class SlotPool:
    """Hands out slots in order of arrival, with a bounded queue."""

    def __init__(self, slots: int, queue: int) -> None:
        self._limiter = trio.CapacityLimiter(slots)
        self._slots = slots
        self._queue = queue

    @property
    def in_flight(self) -> int:
        """Return how many slots are taken."""
        return int(self._limiter.borrowed_tokens)

    @property
    def queued(self) -> int:
        """Return how many calls wait for a slot."""
        return int(self._limiter.statistics().tasks_waiting)

    @asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Hold a slot; raise :class:`ShedError` when slots and queue are full."""
        full = self.in_flight >= self._slots
        if full and self.queued >= self._queue:
            raise ShedError
        async with self._limiter:
            yield
