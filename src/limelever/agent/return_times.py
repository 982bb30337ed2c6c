"""When refused callers may come back: spread over the time in which slots become free.

Each refused caller is promised a time of its own, later than those promised before. Returning
callers get a part of the slots only: fresh ones come meanwhile, and can still be answered in time.
"""

from __future__ import annotations

RETURNING_PART = 0.25
"""Part of the slots on which returning callers are counted; a choice, others were not measured."""

LONGEST_ADVICE = 2.0
"""Most seconds that a caller is told to stay away; an overload that lasts longer isn't foreseen."""

LEAST_ADVICE = 0.1
"""Fewest seconds: what is refused now finds no room at once."""


class ReturnTimes:
    """The times promised to the refused callers of one back end, in monotonic seconds."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._next_at = 0.0

    def book(self, wait: float, service_time: float, now: float) -> float:
        """Return after how many seconds a caller that is refused now may find room.

        ``wait`` is how long it would have had to wait for a slot, ``service_time`` how long a call
        of its kind holds one.
        """
        earliest = now + max(wait, LEAST_ADVICE)
        latest = max(earliest, now + LONGEST_ADVICE)
        at = min(max(earliest, self._next_at), latest)
        self._next_at = at + service_time / (self._slots * RETURNING_PART)
        return at - now
