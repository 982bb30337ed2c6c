"""What this relay tells other relays: the changes of its own agents' endpoints."""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.endpoints_pb2 import Endpoint, EndpointSync, EndpointSyncRequest
from limelever.relay.endpoint_entry import OWN, EndpointName
from limelever.relay.endpoint_table import EndpointTable


class EndpointSyncServer:
    """Serves the endpoints links that other relays dialled."""

    def __init__(
        self, table: EndpointTable, relay: str, incarnation: int, heartbeat: float
    ) -> None:
        self._table = table
        self._relay = relay
        self._incarnation = incarnation
        self._heartbeat = heartbeat
        self._heartbeat_at: float | None = None
        self._peers: dict[ConnectionId, None] = {}
        self._told = 0

    def requested(
        self, connection: ConnectionId, request: EndpointSyncRequest, now: float
    ) -> list[Output]:
        """Answer with what the asking relay lacks, or with everything after a gap."""
        self._peers[connection] = None
        if self._heartbeat_at is None:
            self._heartbeat_at = now + self._heartbeat
        known = request.relay_incarnation == self._incarnation
        changes = self._table.own_since(request.have_sequence) if known else None
        if changes is None:
            return [SendMessage(connection, self._message(0, self._table.own(), full=True))]
        return [SendMessage(connection, self._message(request.have_sequence, changes))]

    def closed(self, connection: ConnectionId) -> None:
        """Forget a relay whose link is gone."""
        self._peers.pop(connection, None)

    def publish(self, names: Iterable[EndpointName]) -> list[Output]:
        """Send the own endpoints among those that changed."""
        entries = [self._table.get(name) for name in sorted(names)]
        own = [e.endpoint for e in entries if e is not None and e.origin == OWN]
        if not own:
            return []
        return self._send_all(own)

    def on_deadline(self, now: float) -> list[Output]:
        """Send a sign of life when it is time, so that a cut link is noticed."""
        if self._heartbeat_at is None or self._heartbeat_at > now:
            return []
        self._heartbeat_at = now + self._heartbeat if self._peers else None
        message = self._message(self._told, [])
        message.to_sequence = self._told
        return [SendMessage(peer, message) for peer in self._peers]

    def next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is to be called, or ``None``."""
        return self._heartbeat_at

    def _send_all(self, endpoints: list[Endpoint]) -> list[Output]:
        message = self._message(self._told, endpoints)
        self._told = self._table.own_changes
        return [SendMessage(peer, message) for peer in self._peers]

    def _message(
        self, from_sequence: int, endpoints: list[Endpoint], full: bool = False
    ) -> EndpointSync:
        return EndpointSync(
            relay=self._relay,
            relay_incarnation=self._incarnation,
            from_sequence=from_sequence,
            to_sequence=self._table.own_changes,
            full=full,
            endpoints=endpoints,
        )
