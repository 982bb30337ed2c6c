"""Limits how many calls are started, by a token bucket and by a count over a span of time.

In any time ``t`` no more than ``rate * t + burst`` calls are started, and in any span no more than
``calls_in_span``. The bucket begins empty, so that the calls of a former process and of this one
together are no more than those of one bucket.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

TIMER_MARGIN_SECONDS = 0.001
"""Added to the time of the next start, so that a timer set to it never fires early."""

TOKEN_TOLERANCE = 1e-6
_MIN_STARTS_KEPT = 64
"""Start times kept while there is no limit yet, or a low one that may be raised."""


class RateLimit(Struct, frozen=True):
    """``rate`` in calls per second, ``burst`` in calls, ``span`` in seconds.

    A ``rate`` of 0 is no limit; a ``calls_in_span`` of 0 leaves the calls in a span unlimited.
    """

    rate: float = 0.0
    burst: float = 1.0
    span: float = 1.0
    calls_in_span: int = 0


class StartRate:
    """Counts starts and tells when the next one is allowed; times are monotonic seconds.

    Start times are kept without a limit too, so that they are known when one comes into force.
    """

    def __init__(self) -> None:
        self._limit = RateLimit()
        self._tokens = 0.0
        self._filled_at = 0.0
        self._starts: deque[float] = deque(maxlen=_MIN_STARTS_KEPT)

    @property
    def enabled(self) -> bool:
        """Return whether there is a limit."""
        return self._limit.rate > 0

    @property
    def interval(self) -> float:
        """Return the seconds between two starts at the steady rate; 0 without a limit."""
        return 1 / self._limit.rate if self.enabled else 0.0

    def set_limit(self, limit: RateLimit, now: float) -> bool:
        """Replace the limit; return whether it has changed."""
        if limit == self._limit:
            return False
        self._fill(now)
        self._tokens = min(self._tokens, limit.burst) if limit.rate else 0.0
        self._limit = limit
        self._starts = deque(self._starts, maxlen=max(limit.calls_in_span, _MIN_STARTS_KEPT))
        return True

    def started(self, now: float) -> None:
        """Count a call that is started now."""
        self._starts.append(now)
        if self.enabled:
            self._fill(now)
            self._tokens = max(0.0, self._tokens - 1)

    def start_of(self, number: int, now: float) -> float:
        """Return when the ``number``-th call from now on may start; ``now`` without a limit."""
        if not self.enabled:
            return now
        return max(self.span_start(number, now), self.bucket_start(number, now))

    def bucket_start(self, number: int, now: float) -> float:
        """Return when the ``number``-th call may start by the bucket alone."""
        self._fill(now)
        missing = number - self._tokens
        if missing <= TOKEN_TOLERANCE:
            return now
        return now + missing / self._limit.rate + TIMER_MARGIN_SECONDS

    def span_start(self, number: int, now: float) -> float:
        """Return when the ``number``-th call may start by the calls in a span alone."""
        most, span = self._limit.calls_in_span, self._limit.span
        if not most:
            return now
        spans, position = divmod(number - 1, most)
        index = len(self._starts) - most + position
        free_at = self._starts[index] + span if index >= 0 else now
        return max(now, free_at) + spans * span

    def _fill(self, now: float) -> None:
        added = max(0.0, now - self._filled_at) * self._limit.rate
        self._tokens = min(self._limit.burst, self._tokens + added)
        self._filled_at = now
