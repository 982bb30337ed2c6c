"""Reserves slots for more urgent calls, based on how many they used recently.

Running calls are not preempted. If long, less urgent calls filled every slot, an urgent short call
would have to wait for one of them to end. Slots that more urgent calls recently held on average are
therefore kept free for them, but never all slots.
"""

from __future__ import annotations

import math

from msgspec import Struct

AVERAGING_SECONDS = 2.0
"""Time constant of the moving average of slots in use."""

ROUNDING_TOLERANCE = 0.1
"""Fraction of a slot by which an average may fall short of a whole slot."""

TIMER_MARGIN_SECONDS = 0.001
"""Added to the time a slot becomes available, so that a timer set to it never fires early."""


class _SlotUsage(Struct):
    """Slots in use by calls of one priority, and their average as of ``updated_at`` (seconds)."""

    in_use: int = 0
    average: float = 0.0
    updated_at: float = 0.0

    def average_at(self, now: float) -> float:
        decay = math.exp((self.updated_at - now) / AVERAGING_SECONDS)
        return self.in_use + (self.average - self.in_use) * decay

    def change(self, delta: int, now: float) -> None:
        self.average, self.updated_at = self.average_at(now), now
        self.in_use += delta


class SlotReservation:
    """Tracks slot usage by priority; a lower number is more urgent.

    Calls without a priority are not tracked.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._by_priority: dict[int, _SlotUsage] = {}

    def call_started(self, priority: int | None, now: float) -> None:
        """Record that a call took a slot."""
        if priority is not None:
            self._by_priority.setdefault(priority, _SlotUsage(updated_at=now)).change(1, now)

    def call_ended(self, priority: int | None, now: float) -> None:
        """Record that a call freed its slot."""
        if priority is not None:
            self._by_priority[priority].change(-1, now)

    def held_by_more_urgent(self, priority: int | None, now: float) -> float:
        """Return the average number of slots recently held by more urgent calls."""
        if priority is None:
            return 0.0
        return sum(
            usage.average_at(now) for other, usage in self._by_priority.items() if other < priority
        )

    def available_at(self, priority: int | None, free: int, now: float) -> float:
        """Return when a call may take one of ``free`` slots; ``now`` if immediately.

        A later time assumes that no more urgent calls arrive, so that their average decays.
        """
        if priority is None:
            return now
        urgent = [usage for other, usage in self._by_priority.items() if other < priority]
        urgent_in_use = sum(usage.in_use for usage in urgent)
        average = sum(usage.average_at(now) for usage in urgent)
        reserved = min(math.floor(average + ROUNDING_TOLERANCE), self._slots - 1) - urgent_in_use
        if free > reserved:
            return now
        return (
            now
            + AVERAGING_SECONDS * math.log((average - urgent_in_use) / (free - ROUNDING_TOLERANCE))
            + TIMER_MARGIN_SECONDS
        )
