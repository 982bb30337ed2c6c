"""Limits the calls started at a back end: while it warms up, and to the limit that it states.

Made for a back end that has just started, turned cold at full rate or states that it takes fewer
calls, while its callers send several times what it can handle. Callers need the answers that the
back end can give, and an early refusal for the rest: another endpoint or a later retry can serve
them. Both limits are exact, see ``start_rate``, and may apply at once.

The limit of a warming back end is ``calls_per_s * over_percent / 100 + slack`` calls in a second. A
token bucket refills at the steady rate ``calls_per_s * over_percent / 100``, since a back end that
is sent the limit in each second fails. Its burst leaves room for two seconds of refill, so that
calls which take up to a second to reach the back end arrive within the limit. Starts are counted in
every state, so that the calls of the last second are known when the back end turns cold.

A stated limit is kept at its rate, with a burst of ``STATED_BURST_SECONDS``: calls that arrive
together need not wait while the back end has been idle.
"""

from __future__ import annotations

import math

from msgspec import Struct

from limelever.agent.start_rate import (
    TIMER_MARGIN_SECONDS,
    TOKEN_TOLERANCE,
    RateLimit,
    StartRate,
)
from limelever.agent.warm_up_state import StartLimit, WarmUpState

SPAN_SECONDS = 1.05
"""Span in which calls are counted: a second, and the jitter of the way to the back end."""

BURST_RATIO = 2 / 3
"""Largest part of the limit that the bucket lets through in a second."""

STATED_BURST_SECONDS = 0.25
"""Time whose calls may be started at once under a limit that the back end states."""

MAX_DELAY_SECONDS = 3600.0
"""Longest delay sent to callers, for rates of less than a call an hour."""


class StartLimits(Struct, frozen=True):
    """How far a warming back end's rate may be exceeded; ``report_interval`` is in seconds."""

    over_percent: int = 150
    slack: int = 8
    report_interval: float = 1.5

    def steady_rate(self, calls_per_s: float) -> float:
        """Return the rate in calls per second at which the bucket refills."""
        return calls_per_s * self.over_percent / 100

    def calls_in_span(self, calls_per_s: float) -> int:
        """Return the largest number of calls in a second, at least 1."""
        return max(1, math.floor(self.steady_rate(calls_per_s) + self.slack + TOKEN_TOLERANCE))

    def rate_limit(self, calls_per_s: float) -> RateLimit:
        """Return the limit of a warming back end; none for a rate of 0."""
        if not calls_per_s:
            return RateLimit()
        return RateLimit(
            self.steady_rate(calls_per_s),
            self.burst(calls_per_s),
            SPAN_SECONDS,
            self.calls_in_span(calls_per_s),
        )

    def burst(self, calls_per_s: float) -> float:
        """Return the bucket's size in calls, at least 1."""
        steady = self.steady_rate(calls_per_s)
        limit = steady + self.slack
        return max(1.0, min(limit * BURST_RATIO - steady, limit - 2 * steady))


class LimitedCalls(Struct):
    """Calls that a limit has affected since they were last taken."""

    delayed: int = 0
    refused: int = 0


class _AffectedCalls:
    """Counts the calls that one limit holds back; ``blocked_at`` is when it last did."""

    def __init__(self) -> None:
        self.blocked_at = -math.inf
        self._counts = LimitedCalls()

    def call_left(self, arrived_at: float, *, started: bool) -> None:
        if arrived_at > self.blocked_at:
            return
        if started:
            self._counts.delayed += 1
        else:
            self._counts.refused += 1

    def call_rejected(self) -> None:
        self._counts.refused += 1

    def take(self) -> LimitedCalls | None:
        counts = self._counts
        if not counts.delayed and not counts.refused:
            return None
        self._counts = LimitedCalls()
        return counts


class StartLimiter:
    """Decides when the next call may be started; times are monotonic seconds.

    With ``held`` no call is started before :meth:`configure`, as the limit of a warming back end
    is not known until then.
    """

    def __init__(self, limits: StartLimits, state: WarmUpState, *, held: bool = False) -> None:
        self._limits = limits
        self._state = state
        self._held = held
        self._warming, self._stated = StartRate(), StartRate()
        self._by_warm_up, self._by_statement = _AffectedCalls(), _AffectedCalls()
        self.stated_limit = 0.0
        """Calls per second that the back end takes by its own statement, 0 for no limit."""

    @classmethod
    def without_limit(cls) -> StartLimiter:
        """Return a limiter that allows every start."""
        limits = StartLimits()
        return cls(limits, WarmUpState(limits.report_interval))

    @property
    def limits_warm_up(self) -> bool:
        """Return whether the service has a limit for warming back ends."""
        return self._warming.enabled

    @property
    def enabled(self) -> bool:
        """Return whether any limit may apply."""
        return self._warming.enabled or self._stated.enabled

    def configure(self, calls_per_s: float, now: float) -> bool:
        """Set the service's limit, 0 for none; return whether more calls may start now.

        The bucket is empty when the limit comes into force.
        """
        was_held, self._held = self._held, False
        return self._warming.set_limit(self._limits.rate_limit(calls_per_s), now) or was_held

    def set_stated(self, calls_per_s: float, now: float) -> None:
        """Set the limit that the back end states, 0 for none."""
        self.stated_limit = calls_per_s
        burst = max(1.0, calls_per_s * STATED_BURST_SECONDS)
        self._stated.set_limit(RateLimit(calls_per_s, burst) if calls_per_s else RateLimit(), now)

    def started(self, now: float) -> None:
        """Count a call that is started now."""
        self._state.call_started(now)
        self._warming.started(now)
        self._stated.started(now)

    def blocked(self, now: float) -> None:
        """Record that limits alone keep a waiting call from being started."""
        if self._stated.start_of(1, now) > now:
            self._by_statement.blocked_at = now
        if self._warming_start(1, now) > now:
            self._by_warm_up.blocked_at = now

    def call_left(self, arrived_at: float, *, started: bool) -> None:
        """Count a call that leaves the queue, if a limit has held it back since its arrival."""
        self._by_warm_up.call_left(arrived_at, started=started)
        self._by_statement.call_left(arrived_at, started=started)

    def call_rejected(self, now: float) -> None:
        """Count a call that is rejected at its arrival, if the back end warms up."""
        if self._warming_interval(now):
            self._by_warm_up.call_rejected()

    def call_over_stated_limit(self) -> None:
        """Count a call that is rejected because of the limit that the back end states."""
        self._by_statement.call_rejected()

    def take_warm_up_counts(self) -> LimitedCalls | None:
        """Return the calls that the warm-up has affected since the last time, if any."""
        return self._by_warm_up.take()

    def take_stated_counts(self) -> LimitedCalls | None:
        """Return the calls that the stated limit has affected since the last time, if any."""
        return self._by_statement.take()

    def available_at(self, now: float) -> float:
        """Return when the next call may start; ``now`` if immediately.

        A later time holds if the state doesn't change until then.
        """
        if self._held:
            return math.inf
        return max(self._warming_start(1, now), self._stated.start_of(1, now))

    def delay(self, ahead: int, now: float) -> float:
        """Return how long a call waits for the limits, in seconds, after ``ahead`` other calls."""
        return max(self.warm_up_delay(ahead, now), self.stated_delay(ahead, now))

    def warm_up_delay(self, ahead: int, now: float) -> float:
        """Return how long a call waits because the back end may be warming up."""
        return min(self._warming_start(ahead + 1, now) - now, MAX_DELAY_SECONDS)

    def stated_delay(self, ahead: int, now: float) -> float:
        """Return how long a call waits because of the limit that the back end states."""
        return min(self._stated.start_of(ahead + 1, now) - now, MAX_DELAY_SECONDS)

    def retry_interval(self, now: float) -> float:
        """Return the seconds between two starts; 0 while no limit applies."""
        return max(self._warming_interval(now), self._stated.interval)

    def _warming_interval(self, now: float) -> float:
        cold = self._warming.enabled and self._state.at(now).limit is StartLimit.BUCKET
        return self._warming.interval if cold else 0.0

    def _warming_start(self, number: int, now: float) -> float:
        """Return when the ``number``-th call from now on may start by the warm-up."""
        if not self._warming.enabled:
            return now
        state = self._state.at(now)
        if state.limit is StartLimit.NONE:
            return now
        start = self._warming.span_start(number, now)
        if state.limit is StartLimit.SPAN:
            return start
        start = max(start, self._warming.bucket_start(number, now))
        return min(start, now + state.left + TIMER_MARGIN_SECONDS) if state.known else start
