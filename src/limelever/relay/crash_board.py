"""Passes on what is known of requests under which back ends have ended.

Whatever is new here goes to all proxies and all other relays, whoever told it: two relays that
are cut off from each other hear of it by way of a third, and nothing is passed on twice. Who begins
to listen is told all, so that a machine that has just started knows as much as the others.
"""

from __future__ import annotations

from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.protocol.endpoints_pb2 import CrashNews
from limelever.publisher.batching import BatchTimer
from limelever.quarantine.crash_history import CrashHistory
from limelever.quarantine.fingerprint import format_digest
from limelever.relay import events

BATCH_SECONDS = 0.05
"""Between two batches of news, as for endpoints."""


class CrashBoard:
    """What one relay knows; times in seconds."""

    def __init__(self) -> None:
        self._evidence = CrashHistory()
        self._listeners: dict[ConnectionId, None] = {}
        self._changed: dict[int, None] = {}
        self._batch = BatchTimer(BATCH_SECONDS)

    def join(self, listener: ConnectionId, now: float) -> list[Output]:
        """Tell a proxy or another relay all that is known, and news from now on."""
        self._listeners[listener] = None
        return [SendMessage(listener, self._evidence.full_update(now))]

    def leave(self, listener: ConnectionId) -> None:
        """Forget a listener whose link is gone."""
        self._listeners.pop(listener, None)

    def heard(self, news: CrashNews, now: float) -> None:
        """Take what an agent, a proxy or another relay tells."""
        self._changed.update(dict.fromkeys(self._evidence.merge(news, now)))
        if self._changed:
            self._batch.note(now)

    def due(self, now: float) -> bool:
        """Return whether there are news to be told now."""
        return self._batch.due(now)

    def next_deadline(self) -> float | None:
        """Return when news are to be told."""
        return self._batch.due_at

    def take(self, now: float) -> list[Output]:
        """Return the news for all listeners."""
        changed, self._changed = self._changed, {}
        self._batch.taken()
        self._batch.sent(now)
        news = self._evidence.update_for(changed, now)
        told: list[Output] = [SendMessage(each, news) for each in self._listeners]
        return [*told, *self._logs(changed)]

    def _logs(self, requests: dict[int, None]) -> list[Output]:
        logs: list[Output] = []
        for request in requests:
            held = self._evidence.get(request)
            if held is not None and held.is_quarantined:
                fields: dict[str, object] = {
                    "request": format_digest(request),
                    "crashes": held.consecutive_crashes,
                }
                logs.append(LogEvent(events.REQUEST_CONVICTED, fields))
        return logs
