"""Progress of a planned stop: when queued calls are given back and when the agent may go."""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct


class DrainLimits(Struct, frozen=True):
    """Durations of a drain in seconds, counted from its beginning.

    ``limit`` is the time running calls have; ``queue`` the time in which queued calls may
    still start; ``linger`` how long the agent stays after the last call that it refused, so
    that a call on its way hears DRAINING (NOT RUN) in place of a lost connection.
    """

    limit: float = 25.0
    queue: float = 2.0
    linger: float = 1.0


class DrainStep(Enum):
    """What is to be done now."""

    WAIT = auto()
    REFUSE_QUEUED = auto()
    FINISH = auto()


class Drain:
    """One planned stop that began at ``now``."""

    def __init__(self, limits: DrainLimits, now: float) -> None:
        self._give_up_at = now + limits.limit
        self._refuse_queued_at = min(now + limits.queue, self._give_up_at)
        self._linger = limits.linger
        self._quiet_from = now
        self._queue_refused = False

    def call_refused(self, now: float) -> None:
        """Note that a proxy still sends calls here."""
        self._quiet_from = now

    def next_step(self, now: float, running: int, waiting: int) -> DrainStep:
        """Return what is to be done at ``now`` with this many calls running and waiting."""
        if now >= self._give_up_at:
            return DrainStep.FINISH
        if not self._queue_refused and now >= self._refuse_queued_at:
            self._queue_refused = True
            return DrainStep.REFUSE_QUEUED
        if running or waiting or now < self._quiet_at():
            return DrainStep.WAIT
        return DrainStep.FINISH

    def next_deadline(self, running: int, waiting: int) -> float:
        """Return when ``next_step`` is to be asked again."""
        moments = [self._give_up_at]
        if not self._queue_refused:
            moments.append(self._refuse_queued_at)
        if not running and not waiting:
            moments.append(self._quiet_at())
        return min(moments)

    def _quiet_at(self) -> float:
        return min(self._quiet_from + self._linger, self._give_up_at)
