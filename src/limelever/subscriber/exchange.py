"""Handles the messages of a subscriber's publisher, and acknowledges installed versions."""

from __future__ import annotations

from collections.abc import Callable

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import LogEvent, Output
from limelever.protocol.distribution_pb2 import (
    Ack,
    ConfigDelta,
    ConfigSnapshot,
    FreshnessAnswer,
    Heartbeat,
    InventoryRequest,
    Publishers,
    Reject,
    RetryLater,
)
from limelever.protocol.endpoints_pb2 import (
    CrashNews,
    EndpointUpdate,
    LoadUpdate,
    RunsDepartedStored,
)
from limelever.protocol.limits_pb2 import LimitNews
from limelever.subscriber import events
from limelever.subscriber.held import inventory_of
from limelever.subscriber.holder import Holder
from limelever.subscriber.link import PublisherLink
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    CrashNewsReceived,
    DeparturesStored,
    EndpointsReceived,
    FreshnessProved,
    LimitNewsReceived,
    LoadsReceived,
    PublishersReceived,
)
from limelever.subscriber.snapshot_writer import SnapshotWriter
from limelever.subscriber.zone_preference import listed_in, preferred

_MILLISECONDS = 1000.0
_Handler = Callable[[Message, float], list[Output]]


class Exchange:
    """Passes the publisher's messages to the holder, and replies to them; times are in seconds."""

    def __init__(self, link: PublisherLink, holder: Holder, snapshots: SnapshotWriter) -> None:
        self._link = link
        self._holder = holder
        self._snapshots = snapshots
        self.fresh_at: float | None = None
        self._handlers: dict[type[Message], _Handler] = {
            ConfigDelta: self._on_delta,
            ConfigSnapshot: self._on_snapshot,
            Heartbeat: self._on_heartbeat,
            InventoryRequest: self._on_inventory_request,
            FreshnessAnswer: self._on_freshness_answer,
            RetryLater: self._on_retry_later,
            EndpointUpdate: self._on_endpoints,
            LoadUpdate: self._on_loads,
            CrashNews: self._on_crash_news,
            LimitNews: self._on_limit_news,
            RunsDepartedStored: self._on_departures_stored,
            Publishers: self._on_publishers,
        }

    def knows(self, message: Message) -> bool:
        """Return whether publishers send messages of this type."""
        return type(message) in self._handlers

    def take(self, message: Message, now: float) -> list[Output]:
        """Handle a message of a known type."""
        return self._handlers[type(message)](message, now)

    def leave(self, reason: str, now: float, retry_after: float = 0.0) -> list[Output]:
        """Close the link, and discard a received set that is not accepted."""
        self._holder.forget_unaccepted()
        return self._link.leave(reason, now, retry_after)

    def follow_up(self, outputs: list[Output], now: float) -> list[Output]:
        """Add the acknowledgements, snapshots and proofs that result from outputs of the holder."""
        followed = list(outputs)
        for output in outputs:
            if isinstance(output, ConfigurationInstalled):
                followed.extend(self._link.send(Ack(version=output.version)))
                self._snapshots.plan(now)
        return [*followed, *self._freshness()]

    def _on_delta(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, ConfigDelta)
        if self._link.awaits_snapshot:
            return []
        return self._taken(message.to_version, self._holder.take_delta(message), now)

    def _on_snapshot(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, ConfigSnapshot)
        return self._taken(message.version, self._holder.take_snapshot(message), now)

    def _taken(self, version: int, failure: Failure | None, now: float) -> list[Output]:
        """Continue with a valid version, or reject it as a whole."""
        if failure is None:
            self._link.awaits_snapshot = False
            return self._settle(now)
        fields: dict[str, object] = {"version": version, "reason": str(failure)}
        refused = LogEvent(events.VERSION_REFUSED, fields)
        if failure.kind is ErrorKind.VERSION_TOO_OLD:
            return [refused, *self.leave(failure.reason, now)]
        self._link.awaits_snapshot = True
        return [refused, *self._link.send(Reject(version=version, reason=str(failure)))]

    def _on_heartbeat(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, Heartbeat)
        if self._link.awaits_snapshot:
            return []
        self._holder.confirm(message.version)
        return self._settle(now)

    def _on_inventory_request(self, _message: Message, _now: float) -> list[Output]:
        return self._link.send(inventory_of(self._holder.latest))

    def _on_freshness_answer(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, FreshnessAnswer)
        outputs = self._link.answered(message, now)
        self._link.compare(message.version, self._holder.latest.version, now)
        return [*outputs, *self._settle(now)]

    def _on_retry_later(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, RetryLater)
        return self.leave(message.reason, now, message.retry_after_ms / _MILLISECONDS)

    def _on_endpoints(self, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, EndpointUpdate)
        return [EndpointsReceived(message)]

    def _on_loads(self, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, LoadUpdate)
        return [LoadsReceived(message)]

    def _on_crash_news(self, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, CrashNews)
        return [CrashNewsReceived(message)]

    def _on_limit_news(self, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, LimitNews)
        return [LimitNewsReceived(message)]

    def _on_departures_stored(self, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, RunsDepartedStored)
        return [DeparturesStored(message)]

    def _on_publishers(self, message: Message, now: float) -> list[Output]:
        assert isinstance(message, Publishers)
        listed = listed_in(message)
        if not listed:
            return []
        known = tuple(publisher.address for publisher in listed)
        own = preferred(listed, self._link.zone)
        replaced = self._link.replace_publishers(known, own, now)
        return [*replaced, PublishersReceived(known, own)]

    def _settle(self, now: float) -> list[Output]:
        return self.follow_up(self._holder.settle(self._proved_version()), now)

    def _proved_version(self) -> int | None:
        """Return the latest version, if a proof begun on this link shows that it is current."""
        version = self._holder.latest.version
        at = self._link.probes.proved_at(version)
        opened_at = self._link.opened_at
        if at is None or opened_at is None or at < opened_at:
            return None
        return version

    def _freshness(self) -> list[Output]:
        version = self._holder.version
        at = self._link.probes.proved_at(version) if version else None
        if at is None or (self.fresh_at is not None and at <= self.fresh_at):
            return []
        self.fresh_at = at
        return [FreshnessProved(at)]
