"""Tracks the backend's pace: its current processing time relative to the usual, from responses.

Instances share machines with other workloads, so processing times can multiply for fractions of a
second. Older observations do not predict the next call.
"""

from __future__ import annotations

import math

MAX_AGE_SECONDS = 0.5
"""Age from which a reported pace counts as unknown."""

MAX_PERMILLE = 10_000
"""Upper bound for reported values; a larger one indicates a fault of another kind."""


class PaceTracker:
    """The last reported pace in permille; times in monotonic seconds.

    1000 is normal, higher is slower.
    """

    def __init__(self) -> None:
        self._permille = 0
        self._observed_at = -math.inf

    def observe(self, permille: int, now: float) -> None:
        """Record the pace reported with a response; 0 means none."""
        if permille:
            self._permille = min(permille, MAX_PERMILLE)
            self._observed_at = now

    def current(self, now: float) -> int:
        """Return the pace, 0 if unknown."""
        return self._permille if now - self._observed_at < MAX_AGE_SECONDS else 0
