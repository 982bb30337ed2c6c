"""How long work takes at a back end now, as its answers tell it.

Load: instances share their machines with others, so that work takes twice or thrice its usual time
there for some tenths of a second; what is older says nothing of the next call.
"""

from __future__ import annotations

import math

FRESH_SECONDS = 0.5
"""Age from which a pace counts as not known: some calls' time."""

LARGEST_PERMILLE = 10_000
"""Largest pace that is believed: more than that is a fault of another kind."""


class Pace:
    """The pace told last; times in monotonic seconds, paces in thousandths of the usual time."""

    def __init__(self) -> None:
        self._permille = 0
        self._told_at = -math.inf

    def observe(self, permille: int, now: float) -> None:
        """Take the pace that came with an answer; 0 stands for none."""
        if permille:
            self._permille = min(permille, LARGEST_PERMILLE)
            self._told_at = now

    def now(self, now: float) -> int:
        """Return the pace, 0 where it isn't known."""
        return self._permille if now - self._told_at < FRESH_SECONDS else 0
