"""The subscriber: holds a configuration, keeps it current and never lets it go backward."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    Event,
    LogEvent,
    MessageReceived,
    Output,
    Recovered,
    ReplaceFile,
    Started,
    WriteCompleted,
)
from limelever.protocol.distribution_pb2 import (
    Ack,
    ConfigDelta,
    ConfigSnapshot,
    FreshnessAnswer,
    Heartbeat,
    InventoryRequest,
    Reject,
    RetryLater,
    Subscribe,
)
from limelever.protocol.endpoints_pb2 import EndpointUpdate
from limelever.subscriber import events
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.held import inventory_of
from limelever.subscriber.holder import Holder
from limelever.subscriber.link import PublisherLink
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    EndpointsReceived,
    FreshnessProved,
)
from limelever.subscriber.sealing import Sealer
from limelever.subscriber.settings import SubscriberSettings
from limelever.subscriber.snapshot_file import SNAPSHOT_FILE, encode_snapshot
from limelever.subscriber.timers import reached

_MILLISECONDS = 1000.0
_Handler = Callable[[Message, float], list[Output]]


class SubscriberCore:
    """Component of the relay's, the proxy's and the agent's core; sans-io like them.

    The host passes on every event (those of foreign links and writes are ignored) and acts on
    ``ConfigurationInstalled``, ``VersionConfirmed``, ``FreshnessProved`` and
    ``EndpointsReceived`` among the outputs; all others go to the shell. ``connections`` and
    ``tokens`` are shared with the rest of the host's core; tokens rise.
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
        self._tokens = tokens
        self._sealer = sealer
        self._link = PublisherLink(settings, connections, generator)
        self._holder = Holder(tokens, recovered, sealer)
        self._snapshot_at: float | None = None
        self._fresh_at: float | None = None
        self._handlers: dict[type[Message], _Handler] = {
            ConfigDelta: self._on_delta,
            ConfigSnapshot: self._on_snapshot,
            Heartbeat: self._on_heartbeat,
            InventoryRequest: self._on_inventory_request,
            FreshnessAnswer: self._on_freshness_answer,
            RetryLater: self._on_retry_later,
            EndpointUpdate: self._on_endpoints,
        }

    @property
    def version(self) -> int:
        """The version at which the installed set is known to be right; 0 when none is held."""
        return self._holder.version

    @property
    def configuration(self) -> ConfigurationSet | None:
        """The set in force, or ``None`` when none is held."""
        held = self._holder.in_force
        return held.configuration if held is not None else None

    @property
    def fresh_at(self) -> float | None:
        """The latest time at which the installed set is known to have been current."""
        return self._fresh_at

    @property
    def subscribed(self) -> bool:
        """Whether a link to a publisher is up and the subscription has been sent."""
        return self._link.subscribed

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether a dialled link is this subscriber's."""
        return self._link.owns(connection)

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take one event at ``now`` (seconds, monotonic)."""
        match event:
            case Started():
                self._link.start(now)
                return [*self._follow_up(self._holder.start(), now), *self._on_deadline(now)]
            case ConnectionOpened(connection) if self.owns(connection):
                self._link.opened(now)
                return self._subscribe()
            case ConnectionFailed(connection, failure) if self.owns(connection):
                return self._leave(failure.reason, now)
            case ConnectionClosed(connection, reason) if self.owns(connection):
                return self._leave(reason, now)
            case MessageReceived(connection, message) if self.owns(connection):
                return self._on_message(message, now)
            case WriteCompleted(token):
                outputs = self._follow_up(self._holder.write_completed(token), now)
                return [*outputs, *self._subscribe()]
            case DeadlineReached():
                return self._on_deadline(now)
        return []

    def probe(self, now: float) -> list[Output]:
        """Prove the set current by an echo that begins now; ends in ``FreshnessProved``."""
        return self._link.probe(now, self._probes_to_source)

    def send_up(self, message: Message) -> list[Output]:
        """Send the publisher a message of the host's, such as a rollout report."""
        return self._link.send(message)

    def stop(self, now: float) -> list[Output]:
        """Close the link and dial no more."""
        self._holder.forget_unaccepted()
        return self._link.stop()

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted (seconds, monotonic), or ``None``."""
        times = (self._link.next_deadline(), self._snapshot_at)
        return min((at for at in times if at is not None), default=None)

    @property
    def _probes_to_source(self) -> bool:
        return self._settings.everything or not self._holder.floor_known

    def _subscribe(self) -> list[Output]:
        """Subscribe, unless a floor is being written: what is held is not yet in force then."""
        if self._link.opened_at is None or self._link.subscribed or self._holder.awaits_floor:
            return []
        held = self._holder.latest
        message = Subscribe(
            everything=self._settings.everything,
            services=() if self._settings.everything else self._settings.services,
            held_version=held.version,
            digest=held.digest.to_bytes() if held.version else b"",
            version_floor=self._holder.floor,
        )
        return self._link.subscribe(message)

    def _leave(self, reason: str, now: float, retry_after: float = 0.0) -> list[Output]:
        self._holder.forget_unaccepted()
        return self._link.leave(reason, now, retry_after)

    def _on_message(self, message: Message, now: float) -> list[Output]:
        handler = self._handlers.get(type(message))
        if handler is None:
            return []
        first = self._link.heard()
        outputs = handler(message, now)
        return [*outputs, *self.probe(now)] if first else outputs

    def _on_delta(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, ConfigDelta)
        if self._link.awaits_snapshot:
            return []
        return self._taken(message.to_version, self._holder.take_delta(message), now)

    def _on_snapshot(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, ConfigSnapshot)
        return self._taken(message.version, self._holder.take_snapshot(message), now)

    def _taken(self, version: int, failure: Failure | None, now: float) -> list[Output]:
        """Go on with a version that checked out, or refuse it whole."""
        if failure is None:
            self._link.awaits_snapshot = False
            return self._settle(now)
        fields: dict[str, object] = {"version": version, "reason": str(failure)}
        refused = LogEvent(events.VERSION_REFUSED, fields)
        if failure.kind is ErrorKind.VERSION_TOO_OLD:
            return [refused, *self._leave(failure.reason, now)]
        self._link.awaits_snapshot = True
        return [refused, *self.send_up(Reject(version=version, reason=str(failure)))]

    def _on_heartbeat(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, Heartbeat)
        if self._link.awaits_snapshot:
            return []
        self._holder.confirm(message.version)
        return self._settle(now)

    def _on_inventory_request(self, _message: Message, _now: float) -> list[Output]:
        return self.send_up(inventory_of(self._holder.latest))

    def _on_freshness_answer(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, FreshnessAnswer)
        self._link.answered(message, now)
        self._link.compare(message.version, self._holder.latest.version, now)
        return self._settle(now)

    def _on_retry_later(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, RetryLater)
        return self._leave(message.reason, now, message.retry_after_ms / _MILLISECONDS)

    def _on_endpoints(self, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, EndpointUpdate)
        return [EndpointsReceived(message)]

    def _settle(self, now: float) -> list[Output]:
        return self._follow_up(self._holder.settle(self._proved_version()), now)

    def _proved_version(self) -> int | None:
        """Return the latest version, if a proof begun on this link shows that it is current."""
        version = self._holder.latest.version
        at = self._link.probes.proved_at(version)
        opened_at = self._link.opened_at
        if at is None or opened_at is None or at < opened_at:
            return None
        return version

    def _follow_up(self, outputs: list[Output], now: float) -> list[Output]:
        """Add what follows from outputs of the holder: acknowledgement, snapshot, freshness."""
        followed = list(outputs)
        for output in outputs:
            if isinstance(output, ConfigurationInstalled):
                followed.extend(self.send_up(Ack(version=output.version)))
                self._plan_snapshot(now)
        return [*followed, *self._freshness()]

    def _freshness(self) -> list[Output]:
        at = self._link.probes.proved_at(self.version) if self.version else None
        if at is None or (self._fresh_at is not None and at <= self._fresh_at):
            return []
        self._fresh_at = at
        return [FreshnessProved(at)]

    def _plan_snapshot(self, now: float) -> None:
        wanted = self._settings.persist_snapshot and self._sealer is not None
        if wanted and self._snapshot_at is None:
            self._snapshot_at = now + self._settings.snapshot_delay

    def _write_snapshot(self) -> list[Output]:
        self._snapshot_at = None
        held = self._holder.in_force
        if held is None or self._sealer is None:
            return []
        content = encode_snapshot(held, self._sealer)
        return [ReplaceFile(next(self._tokens), SNAPSHOT_FILE, content)]

    def _on_deadline(self, now: float) -> list[Output]:
        snapshot = self._write_snapshot() if reached(self._snapshot_at, now) else []
        linked = self._link.opened_at is not None
        outputs = self._link.on_deadline(now, self._probes_to_source)
        if linked and self._link.opened_at is None:
            self._holder.forget_unaccepted()
        return [*snapshot, *outputs]
