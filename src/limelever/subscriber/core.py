"""The subscriber: holds a configuration, keeps it current and never installs a lower version."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from google.protobuf.message import Message

from limelever.common.deadlines import earliest
from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    Event,
    MessageReceived,
    Output,
    Recovered,
    Started,
    WriteCompleted,
)
from limelever.protocol.distribution_pb2 import (
    Subscribe,
)
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.exchange import Exchange
from limelever.subscriber.holder import Holder
from limelever.subscriber.link import PublisherLink
from limelever.subscriber.notices import PublishersListed
from limelever.subscriber.sealing import Sealer
from limelever.subscriber.settings import SubscriberSettings
from limelever.subscriber.snapshot_writer import SnapshotWriter

_MILLISECONDS = 1000.0
_Handler = Callable[[Message, float], list[Output]]


class SubscriberCore:
    """Component of the relay's, the proxy's and the agent's core; sans-io like them.

    The host passes on every event (those of other links and writes are ignored) and handles
    ``ConfigurationInstalled``, ``VersionConfirmed``, ``FreshnessProved`` and
    ``EndpointsReceived`` among the outputs; all others go to the shell. ``connections`` and
    ``tokens`` are shared with the rest of the host's core; tokens increase.
    """

    def __init__(
        self,
        settings: SubscriberSettings,
        connections: DialledConnections,
        tokens: Iterator[int],
        generator: random.Random,
        recovered: Recovered,
        sealer: Sealer | None = None,
    ) -> None:
        self._settings = settings
        self._link = PublisherLink(settings, connections, generator)
        self._holder = Holder(tokens, recovered, sealer)
        self._snapshots = SnapshotWriter(
            settings.snapshot_delay, sealer if settings.persist_snapshot else None, tokens
        )
        self._exchange = Exchange(self._link, self._holder, self._snapshots)

    @property
    def version(self) -> int:
        """The version at which the installed set is known to be valid; 0 when none is held."""
        return self._holder.version

    @property
    def configuration(self) -> ConfigurationSet | None:
        """The set in force, or ``None`` when none is held."""
        held = self._holder.in_force
        return held.configuration if held is not None else None

    @property
    def fresh_at(self) -> float | None:
        """The latest time at which the installed set is known to have been current."""
        return self._exchange.fresh_at

    @property
    def subscribed(self) -> bool:
        """Whether a link to a publisher is up and the subscription has been sent."""
        return self._link.subscribed

    @property
    def connection(self) -> ConnectionId | None:
        """The link to the current publisher, or ``None``."""
        return self._link.connection

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether a link, open or being dialled, belongs to this subscriber."""
        return self._link.owns(connection)

    def handle(self, event: Event, now: float) -> list[Output]:
        """Handle one event at ``now`` (seconds, monotonic)."""
        match event:
            case (
                ConnectionOpened(connection)
                | ConnectionFailed(connection)
                | ConnectionClosed(connection)
                | MessageReceived(connection)
            ) if self._link.search.owns(connection):
                return self._on_candidate(connection, event, now)
            case Started():
                self._link.start(now)
                return [
                    *self._exchange.follow_up(self._holder.start(), now),
                    *self._on_deadline(now),
                ]
            case ConnectionOpened(connection) if self.owns(connection):
                self._link.opened(now)
                return self._subscribe()
            case ConnectionFailed(connection, failure) if self.owns(connection):
                return self._exchange.leave(failure.reason, now)
            case ConnectionClosed(connection, reason) if self.owns(connection):
                return self._exchange.leave(reason, now)
            case MessageReceived(connection, message) if self.owns(connection):
                return self._on_message(message, now)
            case WriteCompleted(token):
                outputs = self._exchange.follow_up(self._holder.write_completed(token), now)
                return [*outputs, *self._subscribe()]
            case DeadlineReached():
                return self._on_deadline(now)
            case PublishersListed(addresses):
                return self._link.extend_publishers(addresses, now)
        return []

    def probe(self, now: float) -> list[Output]:
        """Send a freshness probe; ``FreshnessProved`` follows once it proves the set current."""
        return self._link.probe(now, self._probes_to_source)

    def send_up(self, message: Message) -> list[Output]:
        """Send the publisher a message of the host, such as a rollout report."""
        return self._link.send(message)

    def stop(self, now: float) -> list[Output]:
        """Close the link and stop dialling."""
        self._holder.forget_unaccepted()
        return self._link.stop()

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted (seconds, monotonic), or ``None``."""
        return earliest(self._link.next_deadline(), self._snapshots.due_at)

    @property
    def _probes_to_source(self) -> bool:
        return self._settings.everything or not self._holder.floor_known

    def _subscribe(self) -> list[Output]:
        """Subscribe, unless a floor is being written: the latest set is not in force until then."""
        if self._link.opened_at is None or self._link.subscribed or self._holder.awaits_floor:
            return []
        held = self._holder.latest
        everything = self._settings.everything or self._settings.every_service
        message = Subscribe(
            everything=everything,
            services=() if everything else self._settings.services,
            held_version=held.version,
            digest=held.digest.to_bytes() if held.version else b"",
            version_floor=self._holder.floor,
        )
        return self._link.subscribe(message)

    def _on_candidate(self, connection: ConnectionId, event: Event, now: float) -> list[Output]:
        """Handle an event of the link to a candidate publisher."""
        if isinstance(event, ConnectionOpened):
            return self._link.search.opened(connection, now)
        if isinstance(event, MessageReceived):
            held_version = self._holder.latest.version
            if self._link.search.is_better(event.message, held_version, now):
                self._holder.forget_unaccepted()
                return [*self._link.change_over(now), *self._subscribe()]
            return self._link.search.not_better(event.message, now)
        return self._link.search.failed(now)

    def _on_message(self, message: Message, now: float) -> list[Output]:
        if not self._exchange.knows(message):
            return []
        first = self._link.heard()
        outputs = self._exchange.take(message, now)
        return [*outputs, *self.probe(now)] if first else outputs

    def _on_deadline(self, now: float) -> list[Output]:
        snapshot = self._snapshots.on_deadline(self._holder.in_force, now)
        linked = self._link.opened_at is not None
        outputs = self._link.on_deadline(now, self._probes_to_source)
        if linked and self._link.opened_at is None:
            self._holder.forget_unaccepted()
        return [*snapshot, *outputs]
