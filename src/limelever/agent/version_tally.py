"""Counts how calls end at a back end while a rollout of its service runs, and when to tell it."""

from __future__ import annotations

import math

from limelever.protocol.config_pb2 import ROLLOUT_STATE_RUNNING, Rollout
from limelever.protocol.endpoints_pb2 import VersionTally
from limelever.rollout.tally import Tally

TELL_INTERVAL = 0.2
"""Seconds between two messages: a version that has gone bad is found some tenths of a second later,
at five small messages a second from each back end of a service whose rollout runs."""


class VersionCount:
    """Follows the rollouts of one service at one of its back ends; times in seconds."""

    def __init__(self, service: str, instance: str, version: str) -> None:
        self._service = service
        self._instance = instance
        self._version = version
        self._warm_at = -math.inf
        self._tally: Tally | None = None
        self._changed = False
        self._told_at = -math.inf

    def take_version(self, version: str, warm_up_left: float, now: float) -> None:
        """Take the version; calls of a cold back end are slow whatever it is, and don't count."""
        self._version = version
        self._warm_at = now + warm_up_left

    def follow(self, rollout: Rollout | None) -> None:
        """Count for this rollout while it runs, from nothing on if it is another one."""
        if rollout is None or rollout.state != ROLLOUT_STATE_RUNNING:
            self._tally = None
        elif self._tally is None or self._tally.rollout != rollout.ordered_at_ms:
            ordered_at = rollout.ordered_at_ms
            self._tally = Tally(self._service, self._instance, self._version, ordered_at)

    def ended(self, route: str, ran: float, failed: bool, now: float) -> None:
        """Take a call that ended after ``ran`` seconds at the back end."""
        if self._tally is None or now - ran < self._warm_at:
            return
        self._tally.version = self._version
        self._tally.add_call(route, ran, failed)
        self._changed = True

    def take_news(self, now: float) -> VersionTally | None:
        """Return what is to be told now, if anything is."""
        if self._tally is None or not self._changed or now < self._told_at + TELL_INTERVAL:
            return None
        self._changed, self._told_at = False, now
        return self._tally.message()
