"""Replicates the endpoints leased at this relay to the other relays.

Local changes are numbered, so that a relay that reconnects receives only those it missed.
"""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.endpoints_pb2 import Endpoint, EndpointSync, EndpointSyncRequest
from limelever.relay.endpoint_entry import LOCAL_ORIGIN, EndpointName
from limelever.relay.endpoint_table import EndpointTable


class EndpointSyncServer:
    """Serves the endpoint links that other relays opened; times in seconds, monotonic."""

    def __init__(
        self, table: EndpointTable, relay: str, incarnation: int, heartbeat_interval: float
    ) -> None:
        self._table = table
        self._relay_name = relay
        self._incarnation = incarnation
        self._heartbeat_interval = heartbeat_interval
        self._next_heartbeat_at: float | None = None
        self._peers: dict[ConnectionId, None] = {}
        self._sent_sequence = 0

    def handle_request(
        self, connection: ConnectionId, request: EndpointSyncRequest, now: float
    ) -> list[Output]:
        """Send the changes that a relay missed, or all local endpoints if these are unknown."""
        self._peers[connection] = None
        if self._next_heartbeat_at is None:
            self._next_heartbeat_at = now + self._heartbeat_interval
        same_incarnation = request.relay_incarnation == self._incarnation
        changes = (
            self._table.local_changes_since(request.have_sequence) if same_incarnation else None
        )
        if changes is None:
            return [
                SendMessage(connection, self._message(0, self._table.local_endpoints(), full=True))
            ]
        return [SendMessage(connection, self._message(request.have_sequence, changes))]

    def remove_peer(self, connection: ConnectionId) -> None:
        """Remove a relay whose link was closed."""
        self._peers.pop(connection, None)

    def publish(self, names: Iterable[EndpointName]) -> list[Output]:
        """Send those of the changed endpoints that are leased here."""
        entries = [self._table.get(name) for name in sorted(names)]
        local = [
            entry.endpoint
            for entry in entries
            if entry is not None and entry.origin == LOCAL_ORIGIN
        ]
        if not local:
            return []
        return self._broadcast(local)

    def on_deadline(self, now: float) -> list[Output]:
        """Send a heartbeat when due; peers close a link that delivers none."""
        if self._next_heartbeat_at is None or self._next_heartbeat_at > now:
            return []
        self._next_heartbeat_at = now + self._heartbeat_interval if self._peers else None
        message = self._message(self._sent_sequence, [])
        message.to_sequence = self._sent_sequence
        return [SendMessage(peer, message) for peer in self._peers]

    def next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is to be called, or ``None``."""
        return self._next_heartbeat_at

    def _broadcast(self, endpoints: list[Endpoint]) -> list[Output]:
        message = self._message(self._sent_sequence, endpoints)
        self._sent_sequence = self._table.last_local_change
        return [SendMessage(peer, message) for peer in self._peers]

    def _message(
        self, from_sequence: int, endpoints: list[Endpoint], full: bool = False
    ) -> EndpointSync:
        return EndpointSync(
            relay=self._relay_name,
            relay_incarnation=self._incarnation,
            from_sequence=from_sequence,
            to_sequence=self._table.last_local_change,
            full=full,
            endpoints=endpoints,
        )
