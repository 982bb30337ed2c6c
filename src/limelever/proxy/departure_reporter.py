"""Reports the runs of the instance beside a proxy that have left, until a relay has stored them."""

from __future__ import annotations

from limelever.common.departed_runs import DepartedRun
from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    Event,
    Output,
)
from limelever.protocol.departures import departures_message, departures_of
from limelever.protocol.endpoints_pb2 import RunsDepartedStored
from limelever.protocol.feature_level import DEPARTED_RUNS_LEVEL
from limelever.proxy.call_types import RunDepartureStored
from limelever.subscriber.core import SubscriberCore


class DepartureReporter:
    """Sends each departed run to the relay at once, and to further relays until one confirms."""

    def __init__(self, subscriber: SubscriberCore) -> None:
        self._subscriber = subscriber
        self._pending: dict[DepartedRun, None] = {}
        self._storing_relays: set[ConnectionId] = set()
        self._reported_to: ConnectionId | None = None

    def announce(self, run: DepartedRun) -> list[Output]:
        """Report a run that has left."""
        self._pending[run] = None
        return self._send((run,)) if self._is_linked() else []

    def observe(self, event: Event) -> None:
        """Record which relays store departed runs."""
        match event:
            case ConnectionOpened(connection, peer):
                if peer.feature_level >= DEPARTED_RUNS_LEVEL:
                    self._storing_relays.add(connection)
            case ConnectionClosed(connection) | ConnectionFailed(connection):
                self._storing_relays.discard(connection)

    def poll(self) -> list[Output]:
        """Report all pending runs to a relay that has not received them yet."""
        if not self._is_linked():
            self._reported_to = None
            return []
        if self._reported_to == self._subscriber.connection:
            return []
        self._reported_to = self._subscriber.connection
        return self._send(tuple(self._pending)) if self._pending else []

    def stored(self, message: RunsDepartedStored) -> list[Output]:
        """Return the pending runs that a relay has stored now."""
        stored = [run for run in departures_of(message) if run in self._pending]
        for run in stored:
            del self._pending[run]
        return [RunDepartureStored(run) for run in stored]

    def _is_linked(self) -> bool:
        """Return whether the subscription's relay stores departed runs."""
        return self._subscriber.subscribed and self._subscriber.connection in self._storing_relays

    def _send(self, runs: tuple[DepartedRun, ...]) -> list[Output]:
        return self._subscriber.send_up(departures_message(runs))
