"""Graceful shutdown: decides when queued calls are refused and when the agent may stop."""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct


class DrainLimits(Struct, frozen=True):
    """Time limits of a drain, in seconds.

    ``limit`` and ``queue`` count from the start of the drain: running calls may finish within the
    former, queued calls may be started within the latter. ``linger`` is how long the agent stays
    after it last refused a call, so that calls on their way are refused as DRAINING (NOT RUN)
    instead of losing their connection.
    """

    limit: float = 25.0
    queue: float = 2.0
    linger: float = 1.0


class DrainStep(Enum):
    """The next action of a drain."""

    WAIT = auto()
    REFUSE_QUEUED = auto()
    FINISH = auto()


class Drain:
    """A drain that started at ``now`` (monotonic seconds)."""

    def __init__(self, limits: DrainLimits, now: float) -> None:
        self._limit_at = now + limits.limit
        self._refuse_queued_at = min(now + limits.queue, self._limit_at)
        self._linger = limits.linger
        self._last_refusal_at = now
        self._queued_refused = False

    def call_refused(self, now: float) -> None:
        """Record that a call was refused, so that the agent lingers."""
        self._last_refusal_at = now

    def end_by(self, limit_at: float) -> None:
        """Shorten the drain to ``limit_at``, if that is earlier."""
        self._limit_at = min(self._limit_at, limit_at)
        self._refuse_queued_at = min(self._refuse_queued_at, self._limit_at)

    def next_step(self, now: float, running: int, waiting: int) -> DrainStep:
        """Return the action at ``now`` with this many calls running and waiting."""
        if now >= self._limit_at:
            return DrainStep.FINISH
        if not self._queued_refused and now >= self._refuse_queued_at:
            self._queued_refused = True
            return DrainStep.REFUSE_QUEUED
        if running or waiting or now < self._linger_ends_at():
            return DrainStep.WAIT
        return DrainStep.FINISH

    def next_deadline(self, running: int, waiting: int) -> float:
        """Return when ``next_step`` must be called again."""
        moments = [self._limit_at]
        if not self._queued_refused:
            moments.append(self._refuse_queued_at)
        if not running and not waiting:
            moments.append(self._linger_ends_at())
        return min(moments)

    def _linger_ends_at(self) -> float:
        return min(self._last_refusal_at + self._linger, self._limit_at)
