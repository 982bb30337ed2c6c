"""Holds the registration back until the back end is warm."""

from __future__ import annotations

from limelever.agent import events
from limelever.common.sansio import LogEvent


class ColdStart:
    """Ends with the first health probe that passes, or after ``limit`` seconds.

    Probes lag and mislead, so they may delay the registration and never prevent it. Once the
    cold start is over, a probe that changes its answer is only logged.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._ends: float | None = None
        self._healthy: bool | None = None

    def begin(self, now: float) -> None:
        """Begin at ``now`` (seconds, monotonic)."""
        self._ends = now + self._limit

    def next_deadline(self) -> float | None:
        """Return when the cold start ends at the latest; ``None`` once it is over."""
        return self._ends

    def probed(self, healthy: bool) -> LogEvent | None:
        """Take a probe's answer; return what is to be logged."""
        previous, self._healthy = self._healthy, healthy
        if self._ends is None:
            changed = previous is not healthy
            fields: dict[str, object] = {"healthy": healthy}
            return LogEvent(events.BACKEND_PROBE_CHANGED, fields) if changed else None
        if not healthy:
            return None
        self._ends = None
        return LogEvent(events.BACKEND_READY)

    def expire(self, now: float) -> LogEvent | None:
        """Return what is to be logged if the limit ends the cold start at ``now``."""
        if self._ends is None or now < self._ends:
            return None
        self._ends = None
        return LogEvent(events.COLD_START_LIMIT, {"seconds": self._limit})

    @property
    def over(self) -> bool:
        """Return whether the endpoint may be registered."""
        return self._ends is None
