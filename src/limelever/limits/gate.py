"""Whether one proxy lets a tenant's next call in, by its own counts and by what its relay told.

Told of a tenant near its limit, it lets in the part of what it is asked that it was told, and
little more than that part of what it was asked when it was told. Not told, it lets all in, up to
some times its equal part: a tenant whose calls multiply doesn't pass its limit before the news of
it are round. Out of touch, it keeps to its equal part of the limit, which nobody else hands out.
"""

from __future__ import annotations

import random

from limelever.limits.rules import Limit, LimitRules
from limelever.limits.use_window import SLOT, UseWindow

_UNTOLD_GROWTH = 3.0
"""Times its equal part, or its use of late, that a proxy lets in untold: what callers of two zones
need that find the third one gone, with room to spare."""

_UNTOLD_CALLS = 4.0
_UNTOLD_PART = 0.1
"""Calls at once above that, and besides the part of the proxy's equal part of a window."""

_TOLD_GROWTH = 1.25
_TOLD_CALLS = 2.0
"""The same for a tenant near its limit: less, since its relay tells of room as soon as there is."""

_DRAW_WINDOWS = 4
"""Windows between two draws of whether the fraction of a call is let in out of touch."""

SHORTEST_WAIT = 0.1
"""Seconds; sooner than the next news a caller needs not come back."""


class Gate:
    """One tenant's calls at one proxy; times in seconds, monotonic."""

    def __init__(self, limit: Limit, rules: LimitRules, random_source: random.Random) -> None:
        self.limit = limit
        self.use = UseWindow(rules.window)
        self._rules = rules
        self._random = random_source
        self._part = 1.0
        self._told = False
        self._fill = 0.0
        self._tokens = _UNTOLD_CALLS
        self._filled_at: float | None = None
        self._credit = random_source.random()
        self._fraction = random_source.random()
        self._drawn_at = 0.0

    def told(self, permille: int, now: float) -> None:
        """Take which part of what is asked may be let in until the next news."""
        asked = max(self.use.asked_rate(now), self.use.asked(now) / self._rules.window)
        self._part = permille / 1000
        self._fill = _TOLD_GROWTH * self._part * asked
        self._told = True

    def free(self) -> None:
        """Take that the tenant is not near its limit."""
        self._told = False

    def try_admit(self, in_touch: bool, fleet: int, now: float) -> bool:
        """Count a call that is asked for, and return whether it is let in."""
        equal = self._rules.aim(self.limit) / max(1, fleet)
        if not in_touch:
            admitted = self._within_equal_part(equal, now)
        elif self._told:
            admitted = self._within_told_part() and self._take_token(
                self._fill, _TOLD_CALLS + self._fill * SLOT, now
            )
        else:
            usual = max(equal, self.use.admitted(now)) / self._rules.window
            most = _UNTOLD_CALLS + _UNTOLD_PART * equal
            admitted = self._take_token(_UNTOLD_GROWTH * usual, most, now)
        self.use.add(now, int(admitted), int(not admitted))
        return admitted

    def wait(self, in_touch: bool, fleet: int, now: float) -> float:
        """Return after how many seconds there is room for a call that was refused."""
        window = self._rules.window
        equal = self._rules.aim(self.limit) / max(1, fleet)
        rate = self._fill if in_touch and self._told else equal / window
        return min(window, max(SHORTEST_WAIT, 1 / rate)) if rate > 0 else window

    def _within_equal_part(self, equal: float, now: float) -> bool:
        if now - self._drawn_at > _DRAW_WINDOWS * self._rules.window:
            self._drawn_at = now
            self._fraction = self._random.random()
        return self.use.admitted(now) + 1 <= equal + self._fraction

    def _within_told_part(self) -> bool:
        self._credit = min(2.0, self._credit + min(1.0, self._part))
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _take_token(self, fill: float, most: float, now: float) -> bool:
        since = now if self._filled_at is None else self._filled_at
        self._filled_at = now
        self._tokens = min(most, self._tokens + fill * (now - since))
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
