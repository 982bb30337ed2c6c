"""Decides when the relay reports rollout counts to its publisher: periodically, if changed."""

from __future__ import annotations

from limelever.common.sansio import ConnectionId
from limelever.protocol.distribution_pb2 import RolloutReport


class RolloutReporter:
    """Keeps the last report sent; times in seconds, monotonic."""

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._last_report: RolloutReport | None = None
        self._last_publisher: ConnectionId | None = None
        self.next_at: float | None = None

    def start(self, now: float) -> None:
        """Start the first interval."""
        self.next_at = now + self._interval

    def due(self, now: float) -> bool:
        """Return whether a report is due, and start the next interval if so."""
        if self.next_at is None or self.next_at > now:
            return False
        self.next_at = now + self._interval
        return True

    def report_if_changed(
        self, report: RolloutReport, publisher: ConnectionId | None
    ) -> RolloutReport | None:
        """Return the report, or ``None`` if it was the last one sent on the link ``publisher``."""
        if report == self._last_report and publisher == self._last_publisher:
            return None
        self._last_report, self._last_publisher = report, publisher
        return report
