"""Broadcasts updates of the crash history to proxies and other relays.

A change is sent to all subscribers, including the one it came from, and only once: relays that are
partitioned from each other receive it through a third relay. A new subscriber receives the full
history.
"""

from __future__ import annotations

from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.protocol.endpoints_pb2 import CrashNews
from limelever.publisher.batching import BatchTimer
from limelever.quarantine.crash_history import CrashHistory
from limelever.quarantine.fingerprint import format_digest
from limelever.relay import events

BATCH_INTERVAL = 0.05
"""Minimum seconds between two batches of updates."""


class CrashBroadcaster:
    """Holds a relay's replica of the crash history; times in seconds, monotonic."""

    def __init__(self) -> None:
        self._history = CrashHistory()
        self._subscribers: dict[ConnectionId, None] = {}
        self._changed: dict[int, None] = {}
        self._batch = BatchTimer(BATCH_INTERVAL)

    def subscribe(self, subscriber: ConnectionId, now: float) -> list[Output]:
        """Send a proxy or another relay the full history, and updates from now on."""
        self._subscribers[subscriber] = None
        return [SendMessage(subscriber, self._history.full_update(now))]

    def unsubscribe(self, subscriber: ConnectionId) -> None:
        """Remove a subscriber whose link was closed."""
        self._subscribers.pop(subscriber, None)

    def merge(self, update: CrashNews, now: float) -> None:
        """Merge an update from an agent, a proxy or another relay."""
        self._changed.update(dict.fromkeys(self._history.merge(update, now)))
        if self._changed:
            self._batch.note(now)

    def due(self, now: float) -> bool:
        """Return whether a batch of updates is due."""
        return self._batch.due(now)

    def next_deadline(self) -> float | None:
        """Return when the next batch is due, or ``None``."""
        return self._batch.due_at

    def flush(self, now: float) -> list[Output]:
        """Return the batch for all subscribers, and log the requests that are quarantined."""
        changed, self._changed = self._changed, {}
        self._batch.taken()
        self._batch.sent(now)
        update = self._history.update_for(changed, now)
        outputs: list[Output] = [
            SendMessage(subscriber, update) for subscriber in self._subscribers
        ]
        return [*outputs, *self._log_quarantined(changed)]

    def _log_quarantined(self, requests: dict[int, None]) -> list[Output]:
        logs: list[Output] = []
        for request in requests:
            record = self._history.get(request)
            if record is not None and record.is_quarantined:
                fields: dict[str, object] = {
                    "request": format_digest(request),
                    "crashes": record.consecutive_crashes,
                }
                logs.append(LogEvent(events.REQUEST_CONVICTED, fields))
        return logs
