"""When the relay reports rollout counts up the tree: at an interval, and only what is news."""

from __future__ import annotations

from limelever.common.sansio import ConnectionId
from limelever.protocol.distribution_pb2 import RolloutReport


class RolloutReporter:
    """Keeps the last report sent; ``interval`` in seconds."""

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._last: RolloutReport | None = None
        self._told: ConnectionId | None = None
        self.next_at: float | None = None

    def start(self, now: float) -> None:
        """Begin the interval."""
        self.next_at = now + self._interval

    def due(self, now: float) -> bool:
        """Return whether a report's time has come, and begin the next interval if so."""
        if self.next_at is None or self.next_at > now:
            return False
        self.next_at = now + self._interval
        return True

    def changed(
        self, report: RolloutReport, publisher: ConnectionId | None
    ) -> RolloutReport | None:
        """Return the report if it is news to the publisher on the link ``publisher``."""
        if report == self._last and publisher == self._told:
            return None
        self._last, self._told = report, publisher
        return report
