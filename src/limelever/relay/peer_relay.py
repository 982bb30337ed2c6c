"""The link to another relay, over which the endpoints leased there are replicated."""

from __future__ import annotations

import random

from google.protobuf.message import Message

from limelever.common.backoff import Backoff, BackoffSettings
from limelever.common.sansio import (
    Address,
    CloseConnection,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DialledConnections,
    Event,
    LogEvent,
    MessageReceived,
    OpenConnection,
    Output,
    Purpose,
    SendMessage,
)
from limelever.protocol.endpoints_pb2 import EndpointSync, EndpointSyncRequest
from limelever.relay import events
from limelever.relay.endpoint_entry import EndpointName
from limelever.relay.endpoint_table import EndpointTable

IDLE_TIMEOUT_REASON = "idle timeout"


class PeerRelay:
    """Dials one relay and replicates its endpoints; times in seconds, monotonic.

    When the link is lost, the endpoints are kept for the table's grace period. A link that delivers
    no ``EndpointSync`` message for ``idle_timeout`` is closed.
    """

    def __init__(
        self,
        address: Address,
        table: EndpointTable,
        connections: DialledConnections,
        backoff: BackoffSettings,
        generator: random.Random,
        idle_timeout: float,
    ) -> None:
        self.address = address
        self._table = table
        self._connections = connections
        self._backoff = Backoff(backoff, generator)
        self._idle_timeout = idle_timeout
        self._connection: ConnectionId | None = None
        self._dial_at: float | None = None
        self._idle_deadline: float | None = None
        self._relay_name = ""
        self._incarnation = 0
        self._sequence = 0
        self._is_resuming = False
        self._disconnected_at: float | None = None
        self._unlisted: set[EndpointName] = set()
        self.changed: list[EndpointName] = []

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether the link leads to this relay."""
        return connection == self._connection

    @property
    def open_connection(self) -> ConnectionId | None:
        """The link to the relay while it is open, else ``None``."""
        return self._connection if self._idle_deadline is not None else None

    def start(self, now: float) -> None:
        """Dial at the next deadline."""
        self._dial_at = now

    def stop(self) -> list[Output]:
        """Close the link and stop dialling."""
        connection, self._connection = self._connection, None
        self._dial_at = self._idle_deadline = None
        return [CloseConnection(connection, "planned stop")] if connection is not None else []

    def retire(self, now: float) -> list[Output]:
        """Stop, and let the relay's endpoints expire after the grace period."""
        if self._relay_name:
            self._table.start_grace(self._relay_name, (), now)
        return self.stop()

    def take_changed(self) -> list[EndpointName]:
        """Return the endpoints that changed since the last call."""
        changed, self.changed = self.changed, []
        return changed

    def handle(self, event: Event, now: float) -> list[Output]:
        """Handle an event of the link."""
        match event:
            case ConnectionOpened(connection, _):
                self._idle_deadline = now + self._idle_timeout
                self._is_resuming = True
                self._reset_after_grace(now)
                return [self._sync_request(connection)]
            case ConnectionFailed(_, failure):
                return self._on_disconnected(failure.reason, now)
            case ConnectionClosed(_, reason):
                return self._on_disconnected(reason, now)
            case MessageReceived(connection, message):
                return self._on_message(connection, message, now)
        return []

    def on_deadline(self, now: float) -> list[Output]:
        """Dial when due, and close a link whose idle timeout has expired."""
        if self._idle_deadline is not None and self._idle_deadline <= now:
            connection = self._connection
            outputs = self._on_disconnected(IDLE_TIMEOUT_REASON, now)
            return [
                *outputs,
                *([CloseConnection(connection, IDLE_TIMEOUT_REASON)] if connection else []),
            ]
        if self._dial_at is None or self._dial_at > now:
            return []
        self._dial_at = None
        self._connection = self._connections.draw()
        return [OpenConnection(self._connection, self.address, Purpose.ENDPOINTS)]

    def next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is to be called, or ``None``."""
        return min(
            (deadline for deadline in (self._dial_at, self._idle_deadline) if deadline is not None),
            default=None,
        )

    def _on_message(self, connection: ConnectionId, message: Message, now: float) -> list[Output]:
        if not isinstance(message, EndpointSync):
            return []
        self._idle_deadline = now + self._idle_timeout
        self._backoff.reset()
        if not message.full and self._has_gap(message):
            self._incarnation = self._sequence = 0
            return [
                LogEvent(events.PEER_GAP, {"peer": self._relay_name}),
                self._sync_request(connection),
            ]
        self._apply(message, now)
        return []

    def _has_gap(self, message: EndpointSync) -> bool:
        return (
            message.relay_incarnation != self._incarnation or message.from_sequence > self._sequence
        )

    def _apply(self, message: EndpointSync, now: float) -> None:
        self._relay_name = message.relay
        self._disconnected_at = None
        self._incarnation = message.relay_incarnation
        listed = {EndpointName.of(endpoint) for endpoint in message.endpoints}
        self._unlisted -= listed
        for endpoint in message.endpoints:
            self.changed.extend(self._table.merge(endpoint, self._relay_name, None, now))
        if message.full:
            self._sequence = message.to_sequence
            self._unlisted = self._table.start_grace(self._relay_name, listed, now)
        else:
            self._sequence = max(self._sequence, message.to_sequence)
            if self._is_resuming:
                self._table.cancel_grace(self._relay_name, self._unlisted)
        self._is_resuming = False

    def _reset_after_grace(self, now: float) -> None:
        """Request all endpoints after the grace period, as those expired here may still exist."""
        if (
            self._disconnected_at is not None
            and now >= self._disconnected_at + self._table.relay_grace
        ):
            self._incarnation = self._sequence = 0

    def _sync_request(self, connection: ConnectionId) -> SendMessage:
        request = EndpointSyncRequest(
            relay_incarnation=self._incarnation, have_sequence=self._sequence
        )
        return SendMessage(connection, request)

    def _on_disconnected(self, reason: str, now: float) -> list[Output]:
        was_open = self._idle_deadline is not None
        self._connection = None
        self._idle_deadline = None
        self._dial_at = now + self._backoff.next_delay()
        if not was_open:
            return []
        if self._disconnected_at is None:
            self._disconnected_at = now
        if self._relay_name:
            self._table.start_grace(self._relay_name, (), now)
        fields: dict[str, object] = {
            "peer": self._relay_name or str(self.address),
            "reason": reason,
        }
        return [LogEvent(events.PEER_LOST, fields)]
