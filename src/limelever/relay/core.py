"""The relay's core: subscribes to the sources, publishes to its zone, and exchanges endpoints.

Routes each event to the component that owns its link, and the notices of one component to another.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Mapping

from google.protobuf.message import Message
from msgspec import Struct

from limelever.common.sansio import (
    Address,
    CloseConnection,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    Event,
    MessageReceived,
    Output,
    Peer,
    Purpose,
    Recovered,
    Role,
    SendMessage,
    Started,
)
from limelever.limits.rules import LimitRules
from limelever.protocol.config_pb2 import Rollout
from limelever.protocol.distribution_pb2 import Heartbeat, Publishers, RetryLater
from limelever.protocol.endpoints_pb2 import (
    CrashNews,
    EndpointSyncRequest,
    LoadInterest,
    LoadUpdate,
    RunsDeparted,
    RunsDepartedStored,
)
from limelever.protocol.feature_level import UNSTATED_LEVEL
from limelever.protocol.limits_pb2 import TenantUse
from limelever.publisher.core import PLANNED_STOP, PublisherCore
from limelever.publisher.notices import FreshnessNeeded, SubscriberAdmitted
from limelever.publisher.rollout import ZoneHolders
from limelever.publisher.settings import PublisherSettings
from limelever.relay.endpoint_exchange import EndpointExchange, EndpointExchangeSettings
from limelever.relay.interface import (
    DeparturesRecovered,
    DeparturesWritten,
    PlatformListRead,
    RelayReady,
    RelaysKnown,
    StopRequested,
)
from limelever.relay.limit_exchange import LimitExchange
from limelever.relay.rollout_reporter import RolloutReporter
from limelever.subscriber.core import SubscriberCore
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    CrashNewsReceived,
    EndpointsReceived,
    FreshnessProved,
    LimitNewsReceived,
    LoadsReceived,
    PublishersReceived,
    VersionConfirmed,
)
from limelever.subscriber.sealing import Sealer
from limelever.subscriber.settings import SubscriberSettings


class RelayOptions(Struct, frozen=True):
    """Options of a relay's core. ``incarnation`` increases with every start of the process.

    ``zone`` is that of the relay, which is announced to subscribers. ``address`` is where others
    reach the relay, by which it recognises itself in a ``RelaysKnown`` event; it may be ``None`` if
    there are no such events.
    """

    name: str
    incarnation: int
    subscriber: SubscriberSettings
    publisher: PublisherSettings
    endpoints: EndpointExchangeSettings
    address: Address | None = None
    zone: str = ""
    limits: LimitRules = LimitRules()


class RelayCore:
    """Distributes configuration, and exchanges endpoints with agents, proxies and other relays."""

    def __init__(
        self,
        options: RelayOptions,
        generator: random.Random,
        recovered: Recovered,
        sealer: Sealer | None = None,
    ) -> None:
        connections = DialledConnections()
        self._subscriber = SubscriberCore(
            options.subscriber, connections, itertools.count(1), generator, recovered, sealer
        )
        self._publisher = PublisherCore(options.publisher)
        self._endpoints = EndpointExchange(
            options.endpoints, options.name, options.incarnation, connections, generator
        )
        self._limits = LimitExchange(options.limits)
        self._reporter = RolloutReporter(options.publisher.report_interval)
        self._address = options.address
        self._zone_by_relay: dict[Address, str] = {}
        if options.address is not None:
            self._zone_by_relay[options.address] = options.zone
        self._relay_addresses: tuple[Address, ...] = ()
        self._peers: dict[ConnectionId, Peer] = {}
        self._ready = False
        self._stopping = False
        self._rollouts: Mapping[str, Rollout] = {}

    @property
    def version(self) -> int:
        """The configuration version that the relay publishes; 0 before the first one."""
        return self._publisher.version

    @property
    def fresh_at(self) -> float | None:
        """When the configuration was last proved current (seconds, monotonic), or ``None``."""
        return self._subscriber.fresh_at

    @property
    def endpoints(self) -> EndpointExchange:
        """The endpoint table and its exchange with other processes."""
        return self._endpoints

    @property
    def rollouts(self) -> Mapping[str, Rollout]:
        """The rollouts in the installed configuration, by service."""
        return self._rollouts

    def rollout(self, version: int) -> tuple[ZoneHolders, ...]:
        """Return how many of the relay's subscribers hold ``version``, by zone."""
        return self._publisher.rollout(version)

    def handle(self, event: Event, now: float) -> list[Output]:
        """Handle an event at ``now`` (seconds, monotonic) and return the outputs for the shell."""
        if self._stopping:
            return []
        match event:
            case Started():
                self._endpoints.start(now)
                self._reporter.start(now)
                return self._route_outputs(self._subscriber.handle(event, now), now)
            case ConnectionOpened(connection, peer):
                return self._on_opened(connection, peer, event, now)
            case ConnectionClosed(connection) | ConnectionFailed(connection):
                return self._on_closed(connection, event, now)
            case MessageReceived(connection, message):
                return self._on_message(connection, message, event, now)
            case DeadlineReached():
                return self._on_deadline(event, now)
            case PlatformListRead() | DeparturesRecovered() | DeparturesWritten():
                return self._endpoints.handle_host_event(event, now)
            case RelaysKnown(addresses):
                return self._on_relays_known(addresses, now)
            case StopRequested():
                return self._stop(now)
        return self._route_outputs(self._subscriber.handle(event, now), now)

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is due (seconds, monotonic), or ``None``."""
        if self._stopping:
            return None
        deadlines = (
            self._subscriber.next_deadline(),
            self._publisher.next_deadline(),
            self._endpoints.next_deadline(),
            self._limits.next_deadline(),
            self._reporter.next_at,
        )
        return min((at for at in deadlines if at is not None), default=None)

    def _on_opened(
        self, connection: ConnectionId, peer: Peer, event: Event, now: float
    ) -> list[Output]:
        if self._subscriber.owns(connection):
            return self._route_outputs(self._subscriber.handle(event, now), now)
        if self._endpoints.owns(connection):
            messages = self._on_relay_zone(self._endpoints.address_of(connection), peer.zone)
            return [*messages, *self._endpoints.handle_peer_event(connection, event, now)]
        self._peers[connection] = peer
        if peer.purpose is Purpose.SUBSCRIPTION:
            return self._route_outputs(self._publisher.handle(event, now), now)
        return []

    def _on_closed(self, connection: ConnectionId, event: Event, now: float) -> list[Output]:
        if self._subscriber.owns(connection):
            return self._route_outputs(self._subscriber.handle(event, now), now)
        if self._endpoints.owns(connection):
            self._limits.relay_disconnected(self._endpoints.address_of(connection))
            return self._endpoints.handle_peer_event(connection, event, now)
        self._peers.pop(connection, None)
        self._endpoints.connection_closed(connection)
        self._limits.connection_closed(connection)
        return self._route_outputs(self._publisher.handle(event, now), now)

    def _on_message(
        self, connection: ConnectionId, message: Message, event: Event, now: float
    ) -> list[Output]:
        if self._subscriber.owns(connection):
            outputs = self._route_outputs(self._subscriber.handle(event, now), now)
            return [*outputs, *self._publish_empty(message, now)]
        if self._endpoints.owns(connection):
            self._limits.handle_relay_message(self._endpoints.address_of(connection), message, now)
            return self._endpoints.handle_peer_event(connection, event, now)
        peer = self._peers.get(connection)
        match peer.purpose if peer is not None else None:
            case Purpose.REGISTRATION:
                return self._endpoints.handle_agent_message(connection, message, now)
            case Purpose.ENDPOINTS if isinstance(message, LoadInterest):
                self._endpoints.set_load_interest(connection, message)
            case Purpose.ENDPOINTS if isinstance(message, EndpointSyncRequest):
                level = peer.feature_level if peer is not None else UNSTATED_LEVEL
                synced = self._endpoints.handle_sync_request(connection, message, now, level)
                return [*synced, *self._limits.add_relay(connection, now)]
            case Purpose.ENDPOINTS if isinstance(message, RunsDepartedStored):
                return self._endpoints.handle_stored(connection, message)
            case Purpose.SUBSCRIPTION if isinstance(message, CrashNews | LoadUpdate | RunsDeparted):
                return self._endpoints.handle_proxy_message(connection, message, now)
            case Purpose.SUBSCRIPTION if peer is not None and isinstance(message, TenantUse):
                self._limits.handle_proxy_report(connection, peer, message, now)
            case Purpose.SUBSCRIPTION:
                return self._route_outputs(self._publisher.handle(event, now), now)
        return []

    def _on_relays_known(self, addresses: tuple[Address, ...], now: float) -> list[Output]:
        """Exchange endpoints with all other relays, and announce them to the subscribers."""
        self._relay_addresses = addresses
        peers = [address for address in addresses if address != self._address]
        return [*self._endpoints.set_peers(peers, now), *self._announce_relays()]

    def _on_relay_zone(self, address: Address, zone: str) -> list[Output]:
        """Record the zone of another relay, and announce it to the subscribers if it changed."""
        if self._zone_by_relay.get(address) == zone:
            return []
        self._zone_by_relay[address] = zone
        return self._announce_relays()

    def _announce_relays(self) -> list[Output]:
        if not self._relay_addresses:
            return []
        return [
            SendMessage(connection, self._publishers_message())
            for connection, peer in self._peers.items()
            if peer.purpose is Purpose.SUBSCRIPTION and self._publisher.scope_of(connection)
        ]

    def _publishers_message(self) -> Publishers:
        return Publishers(
            addresses=[str(address) for address in self._relay_addresses],
            zones=[self._zone_by_relay.get(address, "") for address in self._relay_addresses],
        )

    def _on_admitted(self, connection: ConnectionId, now: float) -> list[Output]:
        """Send an admitted subscriber the list of relays, and a proxy also its endpoints."""
        peer, scope = self._peers.get(connection), self._publisher.scope_of(connection)
        if peer is None or scope is None:
            return []
        messages: list[Output] = []
        if self._relay_addresses:
            messages.append(SendMessage(connection, self._publishers_message()))
        if peer.role is Role.PROXY:
            messages.extend(self._endpoints.add_proxy(connection, scope, peer.zone, now))
        return messages

    def _on_deadline(self, event: Event, now: float) -> list[Output]:
        outputs = self._route_outputs(self._subscriber.handle(event, now), now)
        outputs.extend(self._route_outputs(self._publisher.handle(event, now), now))
        outputs.extend(self._endpoints.on_deadline(now))
        outputs.extend(self._limits.on_deadline(now))
        if self._reporter.due(now) and self._subscriber.subscribed:
            counts = self._publisher.rollout_report()
            report = self._reporter.report_if_changed(counts, self._subscriber.connection)
            outputs.extend(self._subscriber.send_up(report) if report is not None else [])
        return outputs

    def _route_outputs(self, outputs: list[Output], now: float) -> list[Output]:
        """Handle the notices among a component's outputs; return the others in order."""
        for_shell: list[Output] = []
        for output in outputs:
            match output:
                case SubscriberAdmitted(connection):
                    for_shell.extend(self._on_admitted(connection, now))
                case FreshnessNeeded():
                    for_shell.extend(self._route_outputs(self._subscriber.probe(now), now))
                case FreshnessProved(at):
                    proved = self._publisher.proved_fresh(at, now)
                    for_shell.extend(self._route_outputs(proved, now))
                case ConfigurationInstalled():
                    for_shell.extend(self._publish(output, now))
                case VersionConfirmed(version):
                    if version > self._publisher.version:
                        advanced = self._publisher.advance(version, (), (), now)
                        for_shell.extend(self._route_outputs(advanced, now))
                case (
                    CrashNewsReceived()
                    | EndpointsReceived()
                    | LoadsReceived()
                    | LimitNewsReceived()
                    | PublishersReceived()
                ):
                    pass
                case _:
                    for_shell.append(output)
        return for_shell

    def _publish(self, installed: ConfigurationInstalled, now: float) -> list[Output]:
        self._rollouts = installed.configuration.rollouts
        self._limits.apply_configuration(installed, now)
        if not self._ready or installed.version == self._publisher.version:
            resources = installed.configuration.resources.values()
            outputs = self._publisher.load(installed.version, resources, now)
        else:
            outputs = self._publisher.advance(
                installed.version, installed.put, installed.removed, now
            )
        if not self._ready:
            self._ready = True
            outputs.append(RelayReady())
        return self._route_outputs(outputs, now)

    def _publish_empty(self, message: Message, now: float) -> list[Output]:
        """Publish version 0 if the source has no version yet, so that subscribers get endpoints."""
        if self._ready or not isinstance(message, Heartbeat) or message.version:
            return []
        self._ready = True
        return [*self._route_outputs(self._publisher.load(0, (), now), now), RelayReady()]

    def _stop(self, now: float) -> list[Output]:
        self._stopping = True
        outputs = [*self._publisher.shut_down(now), *self._endpoints.stop()]
        for connection, peer in self._peers.items():
            if peer.purpose is Purpose.REGISTRATION:
                outputs.append(SendMessage(connection, RetryLater(reason=PLANNED_STOP)))
                outputs.append(CloseConnection(connection, PLANNED_STOP))
        return [*outputs, *self._subscriber.stop(now)]
