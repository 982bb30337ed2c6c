"""Delays the registration of the endpoint until the backend is ready."""

from __future__ import annotations

from limelever.agent import events
from limelever.common.sansio import LogEvent


class ColdStart:
    """Ends with the first successful health probe, or after ``limit`` seconds.

    Probes can fail for a backend that works, so they delay the registration but never prevent it.
    After the cold start, a change of the probe result is only logged.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._deadline: float | None = None
        self._healthy: bool | None = None

    def begin(self, now: float) -> None:
        """Start the cold start period at ``now`` (seconds, monotonic)."""
        self._deadline = now + self._limit

    def next_deadline(self) -> float | None:
        """Return when the cold start ends at the latest; ``None`` once it is over."""
        return self._deadline

    def observe_probe(self, healthy: bool) -> LogEvent | None:
        """Handle a probe result; return the event to log, if any."""
        previous, self._healthy = self._healthy, healthy
        if self._deadline is None:
            changed = previous is not healthy
            fields: dict[str, object] = {"healthy": healthy}
            return LogEvent(events.BACKEND_PROBE_CHANGED, fields) if changed else None
        if not healthy:
            return None
        self._deadline = None
        return LogEvent(events.BACKEND_READY)

    def expire(self, now: float) -> LogEvent | None:
        """End the cold start if its limit is reached; return the event to log, if any."""
        if self._deadline is None or now < self._deadline:
            return None
        self._deadline = None
        return LogEvent(events.COLD_START_LIMIT, {"seconds": self._limit})

    @property
    def over(self) -> bool:
        """Return whether the endpoint may be registered."""
        return self._deadline is None
