"""The relay's endpoint side: table, leases, other relays, and the feed to proxies."""

from __future__ import annotations

import random
from collections.abc import Iterable

from google.protobuf.message import Message
from msgspec import Struct

from limelever.common.backoff import BackoffSettings
from limelever.common.sansio import (
    Address,
    ConnectionId,
    ConnectionOpened,
    DialledConnections,
    Event,
    LogEvent,
    MessageReceived,
    Output,
    SendMessage,
)
from limelever.protocol.endpoints_pb2 import (
    CrashNews,
    EndpointSyncRequest,
    LoadInterest,
    LoadReport,
    LoadUpdate,
    MachineNotice,
    VersionTally,
)
from limelever.publisher.batching import BatchTimer
from limelever.publisher.scope import Scope
from limelever.relay import events
from limelever.relay.crash_broadcast import CrashBoard
from limelever.relay.endpoint_entry import EndpointName
from limelever.relay.endpoint_feed import EndpointFeed
from limelever.relay.endpoint_sync import EndpointSyncServer
from limelever.relay.endpoint_table import EndpointTable, TableSettings
from limelever.relay.leases import Leases
from limelever.relay.load_broadcast import LoadBoard
from limelever.relay.peer_relay import PeerRelay
from limelever.relay.tally_store import TallyBoard


class EndpointsSettings(Struct, frozen=True):
    """Durations in seconds. ``batch`` is the least time between two batches of changes.

    ``load_batch`` is the same for loads: as long as agents wait between two reports.
    """

    peers: tuple[Address, ...] = ()
    lease: float = 6.0
    batch: float = 0.05
    load_batch: float = 0.1
    heartbeat: float = 2.0
    silent_after: float = 6.0
    table: TableSettings = TableSettings()
    backoff: BackoffSettings = BackoffSettings()


class Endpoints:
    """Takes endpoint news from all sides and sends it on in batches."""

    def __init__(
        self,
        settings: EndpointsSettings,
        relay: str,
        incarnation: int,
        connections: DialledConnections,
        generator: random.Random,
    ) -> None:
        self.table = EndpointTable(settings.table)
        self._leases = Leases(self.table, settings.lease)
        self._feed = EndpointFeed(self.table)
        self._sync = EndpointSyncServer(self.table, relay, incarnation, settings.heartbeat)
        self._settings = settings
        self._connections = connections
        self._generator = generator
        self._peers = [self._peer(address) for address in settings.peers]
        self._changed: set[EndpointName] = set()
        self._batch = BatchTimer(settings.batch)
        self._loads = LoadBoard(settings.load_batch)
        self._told_zones: frozenset[str] = frozenset()
        self._crashes = CrashBoard()
        self.tallies = TallyBoard()

    def start(self, now: float) -> None:
        """Begin to dial the other relays."""
        for peer in self._peers:
            peer.start(now)

    def keep_peers(self, addresses: Iterable[Address], now: float) -> list[Output]:
        """Exchange endpoints with just these relays from now on."""
        wanted = list(dict.fromkeys(addresses))
        dropped = [peer for peer in self._peers if peer.address not in wanted]
        known = {peer.address: peer for peer in self._peers if peer.address in wanted}
        for address in wanted:
            if address not in known:
                known[address] = self._peer(address)
                known[address].start(now)
        self._peers = [known[address] for address in wanted]
        outputs: list[Output] = []
        for peer in dropped:
            outputs.extend(peer.dismiss(now))
        return outputs

    def _peer(self, address: Address) -> PeerRelay:
        return PeerRelay(
            address,
            self.table,
            self._connections,
            self._settings.backoff,
            self._generator,
            self._settings.silent_after,
        )

    def stop(self) -> list[Output]:
        """Close the links to the other relays."""
        return [output for peer in self._peers for output in peer.stop()]

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether a dialled link is one to another relay."""
        return any(peer.owns(connection) for peer in self._peers)

    def address_of(self, connection: ConnectionId) -> Address:
        """Return the address of the relay that a dialled link leads to."""
        return next(peer.address for peer in self._peers if peer.owns(connection))

    def handle_peer(self, connection: ConnectionId, event: Event, now: float) -> list[Output]:
        """Take an event of a link to another relay."""
        if isinstance(event, MessageReceived) and isinstance(event.message, LoadUpdate):
            self._loads.heard(event.message, now)
            return []
        if isinstance(event, MessageReceived) and isinstance(event.message, CrashNews):
            self._crashes.heard(event.message, now)
            return []
        if isinstance(event, MessageReceived) and isinstance(event.message, VersionTally):
            self.tallies.heard(event.message)
            return []
        peer = next(peer for peer in self._peers if peer.owns(connection))
        outputs = peer.handle(event, now)
        self._note(peer.take_changed(), now)
        if isinstance(event, ConnectionOpened):
            outputs.append(SendMessage(connection, LoadInterest(zones=sorted(self._told_zones))))
        return outputs

    def from_agent(self, connection: ConnectionId, message: Message, now: float) -> list[Output]:
        """Take a message of a registration link."""
        if isinstance(message, LoadReport):
            self._load_reported(connection, message, now)
            return []
        if isinstance(message, CrashNews):
            self._crashes.heard(message, now)
            return []
        if isinstance(message, VersionTally):
            return self.tallies.from_agent(message)
        result = self._leases.handle(connection, message, now)
        self._note(result.changed, now)
        return result.outputs

    def sync_requested(
        self, connection: ConnectionId, request: EndpointSyncRequest, now: float
    ) -> list[Output]:
        """Answer another relay that asks for this one's endpoints, and tell it of crashes."""
        told = [*self._crashes.join(connection, now), *self.tallies.join(connection)]
        return [*self._sync.requested(connection, request, now), *told]

    def proxy_told(self, news: CrashNews, now: float) -> None:
        """Take what a proxy tells of requests under which back ends have ended."""
        self._crashes.heard(news, now)

    def proxy_joined(
        self, connection: ConnectionId, scope: Scope, zone: str, now: float
    ) -> list[Output]:
        """Send a proxy the endpoints of its scope, and changes from now on.

        It hears of loads in its ``zone`` besides, and of crashes anywhere.
        """
        self._loads.join(connection, zone)
        endpoints = self._feed.join(connection, scope)
        return [*endpoints, *self._crashes.join(connection, now), *self._tell_interest()]

    def closed(self, connection: ConnectionId) -> None:
        """Forget an accepted link that is gone."""
        self._leases.closed(connection)
        self._feed.leave(connection)
        self._loads.leave(connection)
        self._crashes.leave(connection)
        self.tallies.leave(connection)
        self._sync.closed(connection)

    def take_notices(self, notices: Iterable[MachineNotice], now: float) -> None:
        """Take the platform list."""
        self._note(self.table.take_notices(notices, now), now)

    def on_deadline(self, now: float) -> list[Output]:
        """Do what is due at ``now``."""
        outputs: list[Output] = []
        gone = self.table.expire(now)
        for name in gone:
            fields: dict[str, object] = {"service": name.service, "instance": name.instance}
            outputs.append(LogEvent(events.ENDPOINT_GONE, fields))
        self._note(gone, now)
        for peer in self._peers:
            outputs.extend(peer.on_deadline(now))
        outputs.extend(self._sync.on_deadline(now))
        if self._batch.due(now):
            outputs.extend(self._flush(now))
        if self._loads.due(now):
            outputs.extend(self._loads.take(now))
        if self._crashes.due(now):
            outputs.extend(self._crashes.take(now))
        outputs.extend(self._tell_interest())
        return outputs

    def next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is to be called (seconds, monotonic), or ``None``."""
        deadlines = [
            self._batch.due_at,
            self._loads.next_deadline(),
            self._crashes.next_deadline(),
            self.table.next_deadline(),
            self._sync.next_deadline(),
        ]
        deadlines.extend(peer.next_deadline() for peer in self._peers)
        return min((at for at in deadlines if at is not None), default=None)

    def loads_wanted(self, connection: ConnectionId, interest: LoadInterest) -> None:
        """Take from another relay whose loads it wants: those of its proxies' zones."""
        self._loads.wanted(connection, interest.zones)

    def _tell_interest(self) -> list[Output]:
        """Tell the other relays of which zones there are proxies here, when that has changed."""
        zones = self._loads.zones
        if zones == self._told_zones:
            return []
        self._told_zones = zones
        interest = LoadInterest(zones=sorted(zones))
        links = (peer.open_connection for peer in self._peers)
        return [SendMessage(link, interest) for link in links if link is not None]

    def _load_reported(self, connection: ConnectionId, report: LoadReport, now: float) -> None:
        endpoint = self._leases.reporting(connection)
        if endpoint is not None:
            self._loads.reported(endpoint, report, now)

    def _note(self, changed: Iterable[EndpointName], now: float) -> None:
        self._changed.update(changed)
        if self._changed:
            self._batch.note(now)

    def _flush(self, now: float) -> list[Output]:
        changed, self._changed = self._changed, set()
        self._batch.taken()
        self._batch.sent(now)
        fields: dict[str, object] = {"endpoints": len(changed)}
        return [
            *self._feed.publish(changed),
            *self._sync.publish(changed),
            LogEvent(events.ENDPOINTS_CHANGED, fields),
        ]
