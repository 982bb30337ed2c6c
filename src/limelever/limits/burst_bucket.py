"""How many calls of a tenant may come at once: its burst, less what came beyond its rate.

The window alone would let a tenant that begins to send too much have all its calls in the first
second, and refuse it for the rest of the window what its rate allows.
"""

from __future__ import annotations

from limelever.limits.usage_window import SLOT, UseWindow

_LONGEST_DEBT = 1.0
"""Seconds of its rate: what came beyond that is left to the window's bound."""


class BurstLevel:
    """One tenant's level, kept by slots, so that sums that come late are counted where they belong.

    Levels of slots that are not known count as full.
    """

    def __init__(self) -> None:
        self._by_slot: dict[int, float] = {}

    def now(self, use: UseWindow, rate: float, most: float, now: float) -> float:
        """Return the calls that may come at once, for ``rate`` a second and ``most`` at once."""
        current = int(now // SLOT)
        first = current - use.length + 1
        level = self._by_slot.get(first - 1, most)
        kept: dict[int, float] = {}
        for slot in range(first, current):
            level = _after(level, rate * SLOT, use.admitted_in(slot), rate, most)
            kept[slot] = level
        self._by_slot = kept
        return _after(level, rate * (now - current * SLOT), use.admitted_in(current), rate, most)


def _after(level: float, earned: float, used: int, rate: float, most: float) -> float:
    return max(min(most, level + earned) - used, -_LONGEST_DEBT * rate)
