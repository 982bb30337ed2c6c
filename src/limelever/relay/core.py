"""The relay's core: subscriber to the sources, publisher to its zone, and the endpoint table."""

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
from limelever.protocol.endpoints_pb2 import CrashNews, EndpointSyncRequest, LoadInterest
from limelever.protocol.limits_pb2 import TenantUse
from limelever.publisher.core import PLANNED_STOP, PublisherCore
from limelever.publisher.notices import FreshnessNeeded, SubscriberAdmitted
from limelever.publisher.rollout import ZoneHolders
from limelever.publisher.settings import PublisherSettings
from limelever.relay.endpoint_exchange import Endpoints, EndpointsSettings
from limelever.relay.interface import PlatformListRead, RelayReady, RelaysKnown, StopRequested
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
    """What a relay's core is made of. ``incarnation`` rises with every start of the process.

    ``zone`` is the relay's own; subscribers hear of it.

    ``address`` is where others reach it; ``None`` where the relays are listed in all settings.
    """

    name: str
    incarnation: int
    subscriber: SubscriberSettings
    publisher: PublisherSettings
    endpoints: EndpointsSettings
    address: Address | None = None
    zone: str = ""
    limits: LimitRules = LimitRules()


class RelayCore:
    """Passes configuration on, and knows the endpoints of its zone and of the other relays."""

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
        self._endpoints = Endpoints(
            options.endpoints, options.name, options.incarnation, connections, generator
        )
        self._limits = LimitExchange(options.limits)
        self._reporter = RolloutReporter(options.publisher.report_interval)
        self._address = options.address
        self._zone_of: dict[Address, str] = {}
        if options.address is not None:
            self._zone_of[options.address] = options.zone
        self._relays: tuple[Address, ...] = ()
        self._peers: dict[ConnectionId, Peer] = {}
        self._ready = False
        self._stopping = False
        self._rollouts: Mapping[str, Rollout] = {}

    @property
    def version(self) -> int:
        """The configuration version that the relay publishes; 0 before it holds one."""
        return self._publisher.version

    @property
    def fresh_at(self) -> float | None:
        """When the relay was last known to be current (seconds, monotonic), or ``None``."""
        return self._subscriber.fresh_at

    @property
    def endpoints(self) -> Endpoints:
        """The endpoint table and all that feeds it."""
        return self._endpoints

    @property
    def rollouts(self) -> Mapping[str, Rollout]:
        """The newest rollouts of services' versions in the configuration held, by service."""
        return self._rollouts

    def rollout(self, version: int) -> tuple[ZoneHolders, ...]:
        """Return how many of the relay's subscribers hold ``version``, by zone."""
        return self._publisher.rollout(version)

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take one event at ``now`` (seconds, monotonic) and return what is to be done."""
        if self._stopping:
            return []
        match event:
            case Started():
                self._endpoints.start(now)
                self._reporter.start(now)
                return self._carried_out(self._subscriber.handle(event, now), now)
            case ConnectionOpened(connection, peer):
                return self._on_opened(connection, peer, event, now)
            case ConnectionClosed(connection) | ConnectionFailed(connection):
                return self._on_closed(connection, event, now)
            case MessageReceived(connection, message):
                return self._on_message(connection, message, event, now)
            case DeadlineReached():
                return self._on_deadline(event, now)
            case PlatformListRead(notices):
                self._endpoints.take_notices(notices, now)
                return []
            case RelaysKnown(addresses):
                return self._relays_known(addresses, now)
            case StopRequested():
                return self._stop(now)
        return self._carried_out(self._subscriber.handle(event, now), now)

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted (seconds, monotonic), or ``None``."""
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
            return self._carried_out(self._subscriber.handle(event, now), now)
        if self._endpoints.owns(connection):
            told = self._zone_known(self._endpoints.address_of(connection), peer.zone)
            return [*told, *self._endpoints.handle_peer(connection, event, now)]
        self._peers[connection] = peer
        if peer.purpose is Purpose.SUBSCRIPTION:
            return self._carried_out(self._publisher.handle(event, now), now)
        return []

    def _on_closed(self, connection: ConnectionId, event: Event, now: float) -> list[Output]:
        if self._subscriber.owns(connection):
            return self._carried_out(self._subscriber.handle(event, now), now)
        if self._endpoints.owns(connection):
            self._limits.relay_lost(self._endpoints.address_of(connection))
            return self._endpoints.handle_peer(connection, event, now)
        self._peers.pop(connection, None)
        self._endpoints.closed(connection)
        self._limits.closed(connection)
        return self._carried_out(self._publisher.handle(event, now), now)

    def _on_message(
        self, connection: ConnectionId, message: Message, event: Event, now: float
    ) -> list[Output]:
        if self._subscriber.owns(connection):
            outputs = self._carried_out(self._subscriber.handle(event, now), now)
            return [*outputs, *self._publish_nothing(message, now)]
        if self._endpoints.owns(connection):
            self._limits.relay_told(self._endpoints.address_of(connection), message, now)
            return self._endpoints.handle_peer(connection, event, now)
        peer = self._peers.get(connection)
        match peer.purpose if peer is not None else None:
            case Purpose.REGISTRATION:
                return self._endpoints.from_agent(connection, message, now)
            case Purpose.ENDPOINTS if isinstance(message, LoadInterest):
                self._endpoints.loads_wanted(connection, message)
            case Purpose.ENDPOINTS if isinstance(message, EndpointSyncRequest):
                synced = self._endpoints.sync_requested(connection, message, now)
                return [*synced, *self._limits.relay_joined(connection, now)]
            case Purpose.SUBSCRIPTION if isinstance(message, CrashNews):
                self._endpoints.proxy_told(message, now)
            case Purpose.SUBSCRIPTION if peer is not None and isinstance(message, TenantUse):
                self._limits.proxy_told(connection, peer, message, now)
            case Purpose.SUBSCRIPTION:
                return self._carried_out(self._publisher.handle(event, now), now)
        return []

    def _relays_known(self, addresses: tuple[Address, ...], now: float) -> list[Output]:
        """Exchange endpoints with all other relays, and name them to the subscribers."""
        self._relays = addresses
        others = [address for address in addresses if address != self._address]
        return [*self._endpoints.keep_peers(others, now), *self._tell_all_of_relays()]

    def _zone_known(self, address: Address, zone: str) -> list[Output]:
        """Take the zone of another relay, and tell the subscribers if that is news."""
        if self._zone_of.get(address) == zone:
            return []
        self._zone_of[address] = zone
        return self._tell_all_of_relays()

    def _tell_all_of_relays(self) -> list[Output]:
        if not self._relays:
            return []
        return [
            SendMessage(connection, self._publishers())
            for connection, peer in self._peers.items()
            if peer.purpose is Purpose.SUBSCRIPTION and self._publisher.scope_of(connection)
        ]

    def _publishers(self) -> Publishers:
        return Publishers(
            addresses=[str(address) for address in self._relays],
            zones=[self._zone_of.get(address, "") for address in self._relays],
        )

    def _admit(self, connection: ConnectionId, now: float) -> list[Output]:
        """Tell a subscriber of the other relays, and a proxy of its endpoints besides."""
        peer, scope = self._peers.get(connection), self._publisher.scope_of(connection)
        if peer is None or scope is None:
            return []
        told: list[Output] = []
        if self._relays:
            told.append(SendMessage(connection, self._publishers()))
        if peer.role is Role.PROXY:
            told.extend(self._endpoints.proxy_joined(connection, scope, peer.zone, now))
        return told

    def _on_deadline(self, event: Event, now: float) -> list[Output]:
        outputs = self._carried_out(self._subscriber.handle(event, now), now)
        outputs.extend(self._carried_out(self._publisher.handle(event, now), now))
        outputs.extend(self._endpoints.on_deadline(now))
        outputs.extend(self._limits.on_deadline(now))
        if self._reporter.due(now) and self._subscriber.subscribed:
            counts = self._publisher.rollout_report()
            report = self._reporter.changed(counts, self._subscriber.connection)
            outputs.extend(self._subscriber.send_up(report) if report is not None else [])
        return outputs

    def _carried_out(self, outputs: list[Output], now: float) -> list[Output]:
        """Act on the components' notices; the rest goes to the shell, in its order."""
        for_shell: list[Output] = []
        for output in outputs:
            match output:
                case SubscriberAdmitted(connection):
                    for_shell.extend(self._admit(connection, now))
                case FreshnessNeeded():
                    for_shell.extend(self._carried_out(self._subscriber.probe(now), now))
                case FreshnessProved(at):
                    proved = self._publisher.proved_fresh(at, now)
                    for_shell.extend(self._carried_out(proved, now))
                case ConfigurationInstalled():
                    for_shell.extend(self._publish(output, now))
                case VersionConfirmed(version):
                    if version > self._publisher.version:
                        moved = self._publisher.advance(version, (), (), now)
                        for_shell.extend(self._carried_out(moved, now))
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
        self._limits.configured(installed, now)
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
        return self._carried_out(outputs, now)

    def _publish_nothing(self, message: Message, now: float) -> list[Output]:
        """Serve subscribers from a source that has had no change yet: endpoints come with it."""
        if self._ready or not isinstance(message, Heartbeat) or message.version:
            return []
        self._ready = True
        return [*self._carried_out(self._publisher.load(0, (), now), now), RelayReady()]

    def _stop(self, now: float) -> list[Output]:
        self._stopping = True
        outputs = [*self._publisher.shut_down(now), *self._endpoints.stop()]
        for connection, peer in self._peers.items():
            if peer.purpose is Purpose.REGISTRATION:
                outputs.append(SendMessage(connection, RetryLater(reason=PLANNED_STOP)))
                outputs.append(CloseConnection(connection, PLANNED_STOP))
        return [*outputs, *self._subscriber.stop(now)]
