"""Slots that more urgent calls usually hold: those that less urgent ones leave free for them.

A call that has begun is never interrupted. Where long calls of little urgency fill every slot, an
urgent short one waits for one of them to end, however early it stands in the queue. So as many
slots as the more urgent calls have held of late are given to them alone, though never the last.
"""

from __future__ import annotations

import math

from msgspec import Struct

AVERAGING_SECONDS = 2.0
"""Time constant of the moving average of the slots held."""

TOLERANCE = 0.1
"""Part of a slot that an average may lack and still count as the whole slot."""

ROUNDING_SECONDS = 0.001
"""Added to the time at which there is room, so that it has come when it is looked at."""


class _Held(Struct):
    """Slots that the calls of one priority hold now, and their average until ``at`` (seconds)."""

    now: int = 0
    average: float = 0.0
    at: float = 0.0

    def average_at(self, now: float) -> float:
        decay = math.exp((self.at - now) / AVERAGING_SECONDS)
        return self.now + (self.average - self.now) * decay

    def change(self, by: int, now: float) -> None:
        self.average, self.at = self.average_at(now), now
        self.now += by


class SlotUse:
    """Slots held by priority; a lower number is more urgent. Calls without one aren't counted."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._by_priority: dict[int, _Held] = {}

    def started(self, priority: int | None, now: float) -> None:
        """Count a call that took a slot."""
        if priority is not None:
            self._by_priority.setdefault(priority, _Held(at=now)).change(1, now)

    def ended(self, priority: int | None, now: float) -> None:
        """Count a call that gave its slot back."""
        if priority is not None:
            self._by_priority[priority].change(-1, now)

    def held_by_more_urgent(self, priority: int | None, now: float) -> float:
        """Return how many slots more urgent calls have held of late, on average."""
        if priority is None:
            return 0.0
        return sum(h.average_at(now) for other, h in self._by_priority.items() if other < priority)

    def room_at(self, priority: int | None, free: int, now: float) -> float:
        """Return from when on a call may take one of ``free`` slots; ``now`` if it may at once.

        What more urgent calls usually hold and don't hold now must stay free. The later time is
        when their average has fallen far enough, if no more of them come.
        """
        if priority is None:
            return now
        urgent = [held for other, held in self._by_priority.items() if other < priority]
        held_now = sum(held.now for held in urgent)
        average = sum(held.average_at(now) for held in urgent)
        kept = min(math.floor(average + TOLERANCE), self._slots - 1) - held_now
        if free > kept:
            return now
        return (
            now
            + AVERAGING_SECONDS * math.log((average - held_now) / (free - TOLERANCE))
            + ROUNDING_SECONDS
        )
