"""Reports the use of tenants' limits to the relay, in full at the start of each connection."""

from __future__ import annotations

from limelever.common.sansio import ConnectionId, LogEvent, Output
from limelever.proxy import events
from limelever.proxy.tenant_limits import TenantLimits
from limelever.subscriber.core import SubscriberCore


class LimitUsageReporter:
    """Sends usage reports when they are due; times in seconds, monotonic."""

    def __init__(self, limits: TenantLimits, subscriber: SubscriberCore) -> None:
        self._limits = limits
        self._subscriber = subscriber
        self._reported_to: ConnectionId | None = None
        self._is_isolated = False

    def poll(self, now: float) -> list[Output]:
        """Return the reports that are due.

        A log event is added when contact with the relay is lost or regained.
        """
        return [*self._reports(now), *self._isolation_changes(now)]

    def _isolation_changes(self, now: float) -> list[Output]:
        is_isolated = self._limits.is_isolated(now)
        if is_isolated == self._is_isolated:
            return []
        self._is_isolated = is_isolated
        return [LogEvent(events.LIMITS_ALONE if is_isolated else events.LIMITS_SHARED, {})]

    def _reports(self, now: float) -> list[Output]:
        if not self._limits or not self._subscriber.subscribed:
            self._reported_to = None
            return []
        connection = self._subscriber.connection
        if connection != self._reported_to:
            self._reported_to = connection
            use = self._limits.full_report(now)
        else:
            use = self._limits.report(now)
        return self._subscriber.send_up(use) if use is not None else []

    def next_deadline(self) -> float | None:
        """Return when ``poll`` must be called next, or ``None``."""
        return self._limits.next_deadline() if self._reported_to is not None else None
