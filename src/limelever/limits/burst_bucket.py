"""A token bucket per tenant that spreads its calls over the window of its limit.

The window alone would let a tenant use all of its calls at once and be refused for the rest of the
window.
"""

from __future__ import annotations

from limelever.limits.usage_window import SLOT_SECONDS, UsageWindow

_MAX_DEBT_SECONDS = 1.0
"""Largest debt of the bucket, in seconds of the refill rate; the window bounds further excess."""


class BurstBucket:
    """The token bucket of one tenant, replayed slot by slot so that late reports are counted.

    A slot without a stored level is taken to start from a full bucket.
    """

    def __init__(self) -> None:
        self._level_by_slot: dict[int, float] = {}

    def tokens(self, usage: UsageWindow, rate: float, capacity: float, now: float) -> float:
        """Return the tokens left, with ``rate`` tokens a second; negative for a debt."""
        current = int(now // SLOT_SECONDS)
        first = current - usage.slot_count + 1
        level = self._level_by_slot.get(first - 1, capacity)
        levels: dict[int, float] = {}
        for slot in range(first, current):
            level = _next_level(level, rate * SLOT_SECONDS, usage.admitted_in(slot), rate, capacity)
            levels[slot] = level
        self._level_by_slot = levels
        return _next_level(
            level,
            rate * (now - current * SLOT_SECONDS),
            usage.admitted_in(current),
            rate,
            capacity,
        )


def _next_level(level: float, refill: float, used: int, rate: float, capacity: float) -> float:
    return max(min(capacity, level + refill) - used, -_MAX_DEBT_SECONDS * rate)
