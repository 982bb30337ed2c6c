"""Counts call outcomes of a back end's software version while its service has a rollout."""

from __future__ import annotations

import math

from limelever.protocol.config_pb2 import ROLLOUT_STATE_RUNNING, Rollout
from limelever.protocol.endpoints_pb2 import VersionTally
from limelever.rollout.tally import Tally

REPORT_INTERVAL_SECONDS = 0.2
"""Minimum time between two reports; delays the detection of a bad version by as much. Each back end
of a service that is rolled out sends up to five small messages a second."""


class VersionOutcomeCounter:
    """Counts the outcomes at one instance during rollouts; times are monotonic seconds."""

    def __init__(self, service: str, instance: str, version: str) -> None:
        self._service = service
        self._instance = instance
        self._version = version
        self._warm_at = -math.inf
        self._tally: Tally | None = None
        self._changed = False
        self._reported_at = -math.inf

    def set_version(self, version: str, warm_up_left: float, now: float) -> None:
        """Set the version; calls are not counted until the back end has warmed up."""
        self._version = version
        self._warm_at = now + warm_up_left

    def track_rollout(self, rollout: Rollout | None) -> None:
        """Count outcomes for this rollout while it runs; a new rollout resets the counts."""
        if rollout is None or rollout.state != ROLLOUT_STATE_RUNNING:
            self._tally = None
        elif self._tally is None or self._tally.rollout != rollout.ordered_at_ms:
            ordered_at = rollout.ordered_at_ms
            self._tally = Tally(self._service, self._instance, self._version, ordered_at)

    def record_call(self, route: str, ran: float, failed: bool, now: float) -> None:
        """Count a call that ended after running for ``ran`` seconds at the back end."""
        if self._tally is None or now - ran < self._warm_at:
            return
        self._tally.version = self._version
        self._tally.add_call(route, ran, failed)
        self._changed = True

    def take_report(self, now: float) -> VersionTally | None:
        """Return a report if the counts have changed and the interval has passed."""
        if (
            self._tally is None
            or not self._changed
            or now < self._reported_at + REPORT_INTERVAL_SECONDS
        ):
            return None
        self._changed, self._reported_at = False, now
        return self._tally.message()
