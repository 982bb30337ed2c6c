"""The link to one other relay, from which its agents' endpoints come."""

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

SILENT = "no sign of life"


class PeerRelay:
    """Dials one relay and keeps its endpoints; on a loss they stay for the table's grace.

    ``silent_after`` is the time in seconds without any message after which a link counts as
    cut, although it still seems open.
    """

    def __init__(
        self,
        address: Address,
        table: EndpointTable,
        connections: DialledConnections,
        backoff: BackoffSettings,
        generator: random.Random,
        silent_after: float,
    ) -> None:
        self.address = address
        self._table = table
        self._connections = connections
        self._backoff = Backoff(backoff, generator)
        self._silent_after = silent_after
        self._connection: ConnectionId | None = None
        self._dial_at: float | None = None
        self._silent_at: float | None = None
        self._relay = ""
        self._incarnation = 0
        self._sequence = 0
        self._resuming = False
        self._lost_at: float | None = None
        self._unlisted: set[EndpointName] = set()
        self.changed: list[EndpointName] = []

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether the link is the one to this relay."""
        return connection == self._connection

    @property
    def open_connection(self) -> ConnectionId | None:
        """The link to the relay while it is open."""
        return self._connection if self._silent_at is not None else None

    def start(self, now: float) -> None:
        """Dial at the next deadline."""
        self._dial_at = now

    def stop(self) -> list[Output]:
        """Close the link and dial no more."""
        connection, self._connection = self._connection, None
        self._dial_at = self._silent_at = None
        return [CloseConnection(connection, "planned stop")] if connection is not None else []

    def dismiss(self, now: float) -> list[Output]:
        """Stop, and keep the relay's endpoints for the table's grace only."""
        if self._relay:
            self._table.doubt_origin(self._relay, (), now)
        return self.stop()

    def take_changed(self) -> list[EndpointName]:
        """Return the endpoints that changed since this was last called."""
        changed, self.changed = self.changed, []
        return changed

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take an event of the link."""
        match event:
            case ConnectionOpened(connection, _):
                self._silent_at = now + self._silent_after
                self._resuming = True
                self._forget_what_expired(now)
                return [self._request(connection)]
            case ConnectionFailed(_, failure):
                return self._lost(failure.reason, now)
            case ConnectionClosed(_, reason):
                return self._lost(reason, now)
            case MessageReceived(connection, message):
                return self._on_message(connection, message, now)
        return []

    def on_deadline(self, now: float) -> list[Output]:
        """Dial, or give up a silent link, when it is time."""
        if self._silent_at is not None and self._silent_at <= now:
            connection = self._connection
            outputs = self._lost(SILENT, now)
            return [*outputs, *([CloseConnection(connection, SILENT)] if connection else [])]
        if self._dial_at is None or self._dial_at > now:
            return []
        self._dial_at = None
        self._connection = self._connections.draw()
        return [OpenConnection(self._connection, self.address, Purpose.ENDPOINTS)]

    def next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is to be called, or ``None``."""
        return min((t for t in (self._dial_at, self._silent_at) if t is not None), default=None)

    def _on_message(self, connection: ConnectionId, message: Message, now: float) -> list[Output]:
        if not isinstance(message, EndpointSync):
            return []
        self._silent_at = now + self._silent_after
        self._backoff.reset()
        if not message.full and self._missed(message):
            self._incarnation = self._sequence = 0
            return [LogEvent(events.PEER_GAP, {"peer": self._relay}), self._request(connection)]
        self._apply(message, now)
        return []

    def _missed(self, message: EndpointSync) -> bool:
        return (
            message.relay_incarnation != self._incarnation or message.from_sequence > self._sequence
        )

    def _apply(self, message: EndpointSync, now: float) -> None:
        self._relay = message.relay
        self._lost_at = None
        self._incarnation = message.relay_incarnation
        listed = {EndpointName.of(endpoint) for endpoint in message.endpoints}
        self._unlisted -= listed
        for endpoint in message.endpoints:
            self.changed.extend(self._table.offer(endpoint, self._relay, None, now))
        if message.full:
            self._sequence = message.to_sequence
            self._unlisted = self._table.doubt_origin(self._relay, listed, now)
        else:
            self._sequence = max(self._sequence, message.to_sequence)
            if self._resuming:
                self._table.confirm_origin(self._relay, self._unlisted)
        self._resuming = False

    def _forget_what_expired(self, now: float) -> None:
        """Ask for everything after the grace: what had ended here may live on unchanged there."""
        if self._lost_at is not None and now >= self._lost_at + self._table.relay_grace:
            self._incarnation = self._sequence = 0

    def _request(self, connection: ConnectionId) -> SendMessage:
        request = EndpointSyncRequest(
            relay_incarnation=self._incarnation, have_sequence=self._sequence
        )
        return SendMessage(connection, request)

    def _lost(self, reason: str, now: float) -> list[Output]:
        was_open = self._silent_at is not None
        self._connection = None
        self._silent_at = None
        self._dial_at = now + self._backoff.next_delay()
        if not was_open:
            return []
        if self._lost_at is None:
            self._lost_at = now
        if self._relay:
            self._table.doubt_origin(self._relay, (), now)
        fields: dict[str, object] = {"peer": self._relay or str(self.address), "reason": reason}
        return [LogEvent(events.PEER_LOST, fields)]
