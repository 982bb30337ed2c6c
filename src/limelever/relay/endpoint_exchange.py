"""The relay's endpoint exchange with agents, other relays and proxies.

Connects the endpoint table to the leases, the replication between relays and the feed to proxies.
Loads, crash histories and rollout tallies are exchanged on the same links.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from google.protobuf.message import Message
from msgspec import Struct

from limelever.common.backoff import BackoffSettings
from limelever.common.departed_runs import DepartedRun
from limelever.common.sansio import (
    Address,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DialledConnections,
    Event,
    LogEvent,
    MessageReceived,
    Output,
    SendMessage,
)
from limelever.protocol.departures import departures_of
from limelever.protocol.endpoints_pb2 import (
    CrashNews,
    EndpointSyncRequest,
    LoadInterest,
    LoadReport,
    LoadUpdate,
    RunsDeparted,
    RunsDepartedStored,
    VersionTally,
)
from limelever.protocol.feature_level import DEPARTED_RUNS_LEVEL, UNSTATED_LEVEL
from limelever.publisher.batching import BatchTimer
from limelever.publisher.scope import Scope
from limelever.relay import events
from limelever.relay.crash_broadcast import CrashBroadcaster
from limelever.relay.departures import DepartureStore
from limelever.relay.endpoint_entry import EndpointName
from limelever.relay.endpoint_feed import EndpointFeed
from limelever.relay.endpoint_sync import EndpointSyncServer
from limelever.relay.endpoint_table import EndpointTable, TableSettings
from limelever.relay.interface import (
    DeparturesRecovered,
    DeparturesWritten,
    PlatformListRead,
)
from limelever.relay.leases import Leases
from limelever.relay.load_broadcast import LoadBroadcaster
from limelever.relay.peer_relay import PeerRelay
from limelever.relay.tally_store import TallyStore


class EndpointExchangeSettings(Struct, frozen=True):
    """Settings of the endpoint exchange; durations in seconds.

    ``peers`` are the other relays. ``batch_interval`` is the minimum time between two batches of
    endpoint changes, and ``load_batch_interval`` that between two batches of loads, which equals
    the minimum report interval of agents. A link to another relay is closed if it delivers no
    endpoints or heartbeat for ``idle_timeout``.
    """

    peers: tuple[Address, ...] = ()
    lease_duration: float = 6.0
    batch_interval: float = 0.05
    load_batch_interval: float = 0.1
    heartbeat_interval: float = 2.0
    idle_timeout: float = 6.0
    table: TableSettings = TableSettings()
    backoff: BackoffSettings = BackoffSettings()


class EndpointExchange:
    """Merges endpoint changes from agents and other relays, and publishes them in batches."""

    def __init__(
        self,
        settings: EndpointExchangeSettings,
        relay: str,
        incarnation: int,
        connections: DialledConnections,
        generator: random.Random,
    ) -> None:
        self.table = EndpointTable(settings.table)
        self._leases = Leases(self.table, settings.lease_duration)
        self._feed = EndpointFeed(self.table)
        self._sync = EndpointSyncServer(self.table, relay, incarnation, settings.heartbeat_interval)
        self._settings = settings
        self._connections = connections
        self._generator = generator
        self._peers = [self._make_peer(address) for address in settings.peers]
        self._pending_changes: set[EndpointName] = set()
        self._batch = BatchTimer(settings.batch_interval)
        self._loads = LoadBroadcaster(settings.load_batch_interval)
        self._announced_zones: frozenset[str] = frozenset()
        self._crashes = CrashBroadcaster()
        self.tallies = TallyStore()
        self._departures = DepartureStore()

    def start(self, now: float) -> None:
        """Start dialling the other relays."""
        for peer in self._peers:
            peer.start(now)

    def set_peers(self, addresses: Iterable[Address], now: float) -> list[Output]:
        """Replace the relays to exchange endpoints with."""
        wanted = list(dict.fromkeys(addresses))
        removed = [peer for peer in self._peers if peer.address not in wanted]
        by_address = {peer.address: peer for peer in self._peers if peer.address in wanted}
        for address in wanted:
            if address not in by_address:
                by_address[address] = self._make_peer(address)
                by_address[address].start(now)
        self._peers = [by_address[address] for address in wanted]
        outputs: list[Output] = []
        for peer in removed:
            outputs.extend(peer.retire(now))
        return outputs

    def _make_peer(self, address: Address) -> PeerRelay:
        return PeerRelay(
            address,
            self.table,
            self._connections,
            self._settings.backoff,
            self._generator,
            self._settings.idle_timeout,
        )

    def stop(self) -> list[Output]:
        """Close the links to the other relays."""
        return [output for peer in self._peers for output in peer.stop()]

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether a dialled link leads to another relay."""
        return any(peer.owns(connection) for peer in self._peers)

    def address_of(self, connection: ConnectionId) -> Address:
        """Return the address of the relay that a dialled link leads to."""
        return next(peer.address for peer in self._peers if peer.owns(connection))

    def handle_peer_event(self, connection: ConnectionId, event: Event, now: float) -> list[Output]:
        """Handle an event of a link to another relay."""
        if isinstance(event, MessageReceived) and isinstance(event.message, LoadUpdate):
            self._loads.merge_update(event.message, now)
            return []
        if isinstance(event, MessageReceived) and isinstance(event.message, CrashNews):
            self._crashes.merge(event.message, now)
            return []
        if isinstance(event, MessageReceived) and isinstance(event.message, VersionTally):
            self.tallies.merge(event.message)
            return []
        if isinstance(event, MessageReceived) and isinstance(event.message, RunsDeparted):
            runs = departures_of(event.message)
            self._departures.confirm_to_relay(connection, runs)
            return self._merge_departures(runs, now, forward=False)
        if isinstance(event, ConnectionClosed | ConnectionFailed):
            self._departures.connection_closed(connection)
        peer = next(peer for peer in self._peers if peer.owns(connection))
        outputs = peer.handle(event, now)
        self._queue_changes(peer.take_changed(), now)
        outputs.extend(self._departures_learned(forward=False))
        if isinstance(event, ConnectionOpened):
            outputs.append(
                SendMessage(connection, LoadInterest(zones=sorted(self._announced_zones)))
            )
        return outputs

    def handle_agent_message(
        self, connection: ConnectionId, message: Message, now: float
    ) -> list[Output]:
        """Handle a message on a registration link."""
        if isinstance(message, LoadReport):
            self._handle_load_report(connection, message, now)
            return []
        if isinstance(message, CrashNews):
            self._crashes.merge(message, now)
            return []
        if isinstance(message, VersionTally):
            return self.tallies.merge_from_agent(message)
        result = self._leases.handle(connection, message, now)
        self._queue_changes(result.changed, now)
        return [*result.outputs, *self._departures_learned(forward=True)]

    def handle_proxy_message(
        self, proxy: ConnectionId, message: CrashNews | LoadUpdate | RunsDeparted, now: float
    ) -> list[Output]:
        """Handle a message on a proxy's subscription link.

        A proxy reports endpoints that it finds silent, crashes of back ends, and the runs beside it
        that have left, which are confirmed to it once they are stored.
        """
        match message:
            case LoadUpdate():
                self._loads.merge_suspects(proxy, message.suspects, now)
            case CrashNews():
                self._crashes.merge(message, now)
            case RunsDeparted():
                runs = departures_of(message)
                confirmed = self._departures.confirm_to_node(proxy, runs)
                return [*confirmed, *self._merge_departures(runs, now, forward=True)]
        return []

    def handle_stored(self, relay: ConnectionId, message: RunsDepartedStored) -> list[Output]:
        """Handle another relay's confirmation that it has departed runs on disk."""
        return self._departures.stored_by_relay(relay, departures_of(message))

    def handle_host_event(
        self, event: PlatformListRead | DeparturesRecovered | DeparturesWritten, now: float
    ) -> list[Output]:
        """Handle an event of the process: a list of machines, or departed runs on disk."""
        match event:
            case PlatformListRead(notices):
                self._queue_changes(self.table.apply_machine_notices(notices, now), now)
            case DeparturesRecovered(runs, has_disk):
                self._departures.recovered(has_disk=has_disk)
                return self._merge_departures(runs, now, forward=True)
            case DeparturesWritten(token):
                confirmed = self._departures.written(token)
                return [*confirmed, *self._departures.write(self.table.departed_runs)]
        return []

    def _merge_departures(
        self, runs: Iterable[DepartedRun], now: float, *, forward: bool
    ) -> list[Output]:
        for run in runs:
            self._queue_changes(self.table.run_departed(run, now), now)
        return self._departures_learned(forward=forward)

    def _departures_learned(self, *, forward: bool) -> list[Output]:
        """Store the leaves that the table has learned, and notify the agents beside those runs."""
        runs = self.table.take_new_departures()
        agents = [output for run in runs for output in self._leases.run_departed(run)]
        return [
            *agents,
            *self._departures.learned(runs, forward=forward),
            *self._departures.write(self.table.departed_runs),
        ]

    def handle_sync_request(
        self,
        connection: ConnectionId,
        request: EndpointSyncRequest,
        now: float,
        feature_level: int = UNSTATED_LEVEL,
    ) -> list[Output]:
        """Send another relay the endpoints that it lacks, and the state that all relays share.

        That is the crash history, the tallies and the departed runs, if the relay's build at
        ``feature_level`` reads these.
        """
        departures: list[Output] = []
        if feature_level >= DEPARTED_RUNS_LEVEL:
            departures = self._departures.add_relay(connection, self.table.departed_runs)
        full_state = [
            *departures,
            *self._crashes.subscribe(connection, now),
            *self.tallies.add_relay(connection),
        ]
        return [*self._sync.handle_request(connection, request, now), *full_state]

    def add_proxy(
        self, connection: ConnectionId, scope: Scope, zone: str, now: float
    ) -> list[Output]:
        """Send a proxy the endpoints of its scope and the crash history, and changes from now on.

        From now on it also receives the loads of its ``zone``.
        """
        self._loads.add_proxy(connection, zone)
        endpoints = self._feed.add_proxy(connection, scope)
        return [
            *endpoints,
            *self._crashes.subscribe(connection, now),
            *self._announce_load_interest(),
        ]

    def connection_closed(self, connection: ConnectionId) -> None:
        """Release the state of an accepted link that was closed."""
        self._leases.connection_closed(connection)
        self._feed.remove_proxy(connection)
        self._loads.remove(connection)
        self._crashes.unsubscribe(connection)
        self.tallies.remove_relay(connection)
        self._sync.remove_peer(connection)
        self._departures.connection_closed(connection)

    def on_deadline(self, now: float) -> list[Output]:
        """Run the timers that are due."""
        outputs: list[Output] = []
        expired = self.table.expire(now)
        for name in expired:
            fields: dict[str, object] = {"service": name.service, "instance": name.instance}
            outputs.append(LogEvent(events.ENDPOINT_GONE, fields))
        self._queue_changes(expired, now)
        for peer in self._peers:
            outputs.extend(peer.on_deadline(now))
        outputs.extend(self._sync.on_deadline(now))
        if self._batch.due(now):
            outputs.extend(self._flush(now))
        if self._loads.due(now):
            outputs.extend(self._loads.flush(now))
        if self._crashes.due(now):
            outputs.extend(self._crashes.flush(now))
        outputs.extend(self._announce_load_interest())
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

    def set_load_interest(self, connection: ConnectionId, interest: LoadInterest) -> None:
        """Set the zones whose loads another relay wants, which are those of its proxies."""
        self._loads.set_interest(connection, interest.zones)

    def _announce_load_interest(self) -> list[Output]:
        """Announce the zones of the proxies here to the other relays if they have changed."""
        zones = self._loads.zones
        if zones == self._announced_zones:
            return []
        self._announced_zones = zones
        interest = LoadInterest(zones=sorted(zones))
        links = (peer.open_connection for peer in self._peers)
        return [SendMessage(link, interest) for link in links if link is not None]

    def _handle_load_report(self, connection: ConnectionId, report: LoadReport, now: float) -> None:
        endpoint = self._leases.registered_endpoint(connection)
        if endpoint is not None:
            self._loads.merge_report(endpoint, report, now)

    def _queue_changes(self, changed: Iterable[EndpointName], now: float) -> None:
        self._pending_changes.update(changed)
        if self._pending_changes:
            self._batch.note(now)

    def _flush(self, now: float) -> list[Output]:
        changed, self._pending_changes = self._pending_changes, set()
        self._batch.taken()
        self._batch.sent(now)
        fields: dict[str, object] = {"endpoints": len(changed)}
        return [
            *self._feed.publish(changed),
            *self._sync.publish(changed),
            LogEvent(events.ENDPOINTS_CHANGED, fields),
        ]
