"""Whether one proxy lets a tenant's next call in, by its own counts and by what its relay told.

Told of a tenant near its limit, it lets in the part of what it is asked that it was told, and
little more than that part of what it was asked when it was told. Not told, it lets all in, up to
some times its equal part: a tenant whose calls multiply doesn't pass its limit before the news of
it are round. Out of touch, it keeps to its equal part of the limit, which nobody else hands out.
"""

from __future__ import annotations

import random

from limelever.limits.admission_plan import HORIZON
from limelever.limits.reachable_proxies import SILENT_AFTER
from limelever.limits.rules import Limit, LimitRules
from limelever.limits.usage_window import SLOT, UseWindow

_UNTOLD_GROWTH = 2.5
"""Times its equal part, or its use of late, that a proxy lets in untold: what callers of two zones
need that find the third one gone, with room to spare."""

_UNTOLD_CALLS = 3.0
_UNTOLD_PART = 0.07
"""Calls at once above that, and besides the part of what it lets in, or may, in a window."""

_TOLD_GROWTH = 1.25
_TOLD_CALLS = 2.0
"""The same for a tenant near its limit: less, since its relay tells of room as soon as there is."""

_FIRST_PART = 0.7
_FIRST_PART_NEAR = 0.5
"""Parts of its equal part to which a proxy keeps at first when it is out of touch: for a tenant of
which it was told that it is near its limit, less."""

_LATER_PART = 0.9
"""Part of what may never be passed that proxies out of touch use later, when all that was let in
before has left the window."""

_LATE_CAUTION = 0.3
"""Part of all that while news are later than they were planned for: they may not come at all."""

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
        self._alone = 0
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

    def is_short(self, silent: float) -> bool:
        """Return whether less may be let in than is asked, by news that still count.

        What is let in then are calls that can be answered in time: a call that comes back late
        takes the place of a fresh one, which would come back late in its turn.
        """
        return self._told and self._part < 1.0 and silent <= SILENT_AFTER

    def try_admit(self, silent: float, fleet: int, now: float) -> bool:
        """Count a call that is asked for, and return whether it is let in.

        ``silent`` are the seconds since the relay's last news, of a ``fleet`` of so many proxies.
        """
        equal = self._rules.aim(self.limit) / fleet
        if silent > SILENT_AFTER:
            admitted = self._out_of_touch(equal, fleet, silent, now)
            self._alone += int(admitted)
        else:
            self._alone = 0
            caution = 1.0 if silent <= HORIZON else _LATE_CAUTION
            admitted = self._in_touch(equal, caution, now)
        self.use.add(now, int(admitted), int(not admitted))
        return admitted

    def wait(self, silent: float, fleet: int) -> float:
        """Return after how many seconds there is room for a call that was refused."""
        window = self._rules.window
        equal = self._rules.aim(self.limit) / fleet
        rate = self._fill if self._told and silent <= SILENT_AFTER else equal / window
        return min(window, max(SHORTEST_WAIT, 1 / rate)) if rate > 0 else window

    def _out_of_touch(self, equal: float, fleet: int, silent: float, now: float) -> bool:
        """Return whether a call is within the own part, which nobody else hands out.

        For a window, what other proxies used beyond their parts still counts: it goes by what was
        told last, and by less than its part, or by its part of the slack, for small tenants.
        """
        if now - self._drawn_at > _DRAW_WINDOWS * self._rules.window:
            self._drawn_at = now
            self._fraction = self._random.random()
        used = self.use.admitted(now) + 1 - self._fraction
        if silent > SILENT_AFTER + self._rules.window:
            return used <= _LATER_PART * self._rules.most(self.limit) / fleet
        if self._told:
            return used <= _FIRST_PART_NEAR * equal and self._within_told_part()
        if used <= _FIRST_PART * equal:
            return True
        return self._alone + 1 - self._fraction <= self._rules.slack / fleet

    def _within_told_part(self, caution: float = 1.0) -> bool:
        self._credit = min(2.0, self._credit + min(1.0, caution * self._part))
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _in_touch(self, equal: float, caution: float, now: float) -> bool:
        """Return whether a call is within what was told, or within what may be let in untold."""
        if not self._told:
            usual = max(equal, self.use.admitted(now))
            fill = caution * _UNTOLD_GROWTH * usual / self._rules.window
            return self._take_token(fill, _UNTOLD_CALLS + _UNTOLD_PART * usual, now)
        if not self._within_told_part(caution):
            return False
        fill = caution * self._fill
        if self._part < 1.0:
            return self._take_token(fill, _TOLD_CALLS + fill * SLOT, now)
        fill = max(fill, equal / self._rules.window)
        return self._take_token(fill, _UNTOLD_CALLS + fill * SLOT, now)

    def _take_token(self, fill: float, most: float, now: float) -> bool:
        since = now if self._filled_at is None else self._filled_at
        self._filled_at = now
        self._tokens = min(most, self._tokens + fill * (now - since))
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
