"""Decides which calls a stopping process still takes: those that end before its last answers."""

from __future__ import annotations

import math

from limelever.common.sansio import Event

PERIOD_SECONDS = 60.0
"""The longest times of one to two periods count: long enough for a rare slow call, and short enough
to forget a back end that was slow once."""


class StopBegan(Event, frozen=True):
    """A planned stop has begun: new calls that may outlast it are refused.

    The last answers are given at ``answers_until``, and calls are accepted until
    ``listens_until`` (seconds, monotonic).
    """

    answers_until: float
    listens_until: float


class StopRule:
    """Rule for the calls that come during a planned stop.

    A call that is still running when the process gives its last answers is cut off, and its caller
    can't tell whether it ran. So a call is taken only if its deadline comes before, or if calls of
    its kind recently ended in less time. The latter counts only while the process listens: later
    calls are too rare to correct a wrong estimate.
    """

    def __init__(self) -> None:
        self._stop = StopBegan(math.inf, math.inf)
        self._recent: dict[str, float] = {}
        self._former: dict[str, float] = {}
        self._next_period_at = -math.inf

    def begin(self, stop: StopBegan) -> None:
        """Apply the rule from now on."""
        self._stop = stop

    def record(self, kind: str, duration: float, now: float) -> None:
        """Record how long a call of a kind took, in seconds."""
        if now >= self._next_period_at:
            self._former, self._recent = self._recent, {}
            self._next_period_at = now + PERIOD_SECONDS
        if duration > self._recent.get(kind, 0.0):
            self._recent[kind] = duration

    def refuses(self, kind: str, deadline: float, now: float) -> bool:
        """Return whether a call with this deadline may outlast the stop."""
        if deadline <= self._stop.answers_until:
            return False
        if now >= self._stop.listens_until:
            return True
        longest = max(self._recent.get(kind, 0.0), self._former.get(kind, 0.0))
        return not longest or now + longest > self._stop.answers_until
