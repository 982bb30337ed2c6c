"""Reports of the use of limits to the relay that is followed, beginning anew with each link."""

from __future__ import annotations

from limelever.common.sansio import ConnectionId, LogEvent, Output
from limelever.proxy import events
from limelever.proxy.tenant_limits import TenantLimits
from limelever.subscriber.core import SubscriberCore


class LimitReports:
    """Sends what the limits have to tell; times in seconds, monotonic."""

    def __init__(self, limits: TenantLimits, subscriber: SubscriberCore) -> None:
        self._limits = limits
        self._subscriber = subscriber
        self._told: ConnectionId | None = None
        self._alone = False

    def due(self, now: float) -> list[Output]:
        """Return the reports that are to go out now, and whether the relay's news stay away."""
        return [*self._reports(now), *self._told_alone(now)]

    def _told_alone(self, now: float) -> list[Output]:
        alone = self._limits.alone(now)
        if alone == self._alone:
            return []
        self._alone = alone
        return [LogEvent(events.LIMITS_ALONE if alone else events.LIMITS_SHARED, {})]

    def _reports(self, now: float) -> list[Output]:
        if not self._limits or not self._subscriber.subscribed:
            self._told = None
            return []
        connection = self._subscriber.connection
        if connection != self._told:
            self._told = connection
            use = self._limits.joined(now)
        else:
            use = self._limits.report(now)
        return self._subscriber.send_up(use) if use is not None else []

    def next_deadline(self) -> float | None:
        """Return when ``due`` is to be called, or ``None``."""
        return self._limits.next_deadline() if self._told is not None else None
