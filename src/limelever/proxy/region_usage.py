"""Where calls are sent, seen from the proxy, and the log of calls that leave its region."""

from __future__ import annotations

from enum import StrEnum

from limelever.common.sansio import LogEvent, Output
from limelever.proxy import events

LOG_INTERVAL_SECONDS = 10.0
"""Between two lines for a service whose calls leave the region: a full region sends many away."""


class Place(StrEnum):
    """Where the endpoint of an attempt is; ``UNKNOWN`` without regions and before any attempt."""

    UNKNOWN = ""
    OWN_ZONE = "own-zone"
    OWN_REGION = "own-region"
    OTHER_REGION = "other-region"


class RegionUsageLog:
    """Logs the calls that leave the proxy's region, by service, at most once an interval."""

    def __init__(self, outputs: list[Output]) -> None:
        self._outputs = outputs
        self._next_line_at: dict[str, float] = {}
        self._calls: dict[str, int] = {}

    def attempt_started(self, service: str, place: Place, now: float) -> Place:
        """Count an attempt that starts at ``now`` (seconds); return its place."""
        if place is Place.OTHER_REGION:
            self._calls[service] = self._calls.get(service, 0) + 1
            if now >= self._next_line_at.get(service, now):
                self._next_line_at[service] = now + LOG_INTERVAL_SECONDS
                fields: dict[str, object] = {"service": service, "calls": self._calls.pop(service)}
                self._outputs.append(LogEvent(events.CALLS_LEAVE_REGION, fields))
        return place
