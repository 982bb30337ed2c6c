"""Keeps the source's publisher at the state machine's version, and its subscribers served."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from limelever.common.errors import Failure
from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionId,
    ConnectionOpened,
    Event,
    MessageReceived,
    Output,
    Purpose,
    StopProcess,
)
from limelever.protocol.config_pb2 import VersionedResource
from limelever.publisher.core import PublisherCore
from limelever.publisher.notices import FreshnessNeeded, SubscriberAdmitted
from limelever.source.at_rest import SecretSealer
from limelever.source.state import AppliedBatch, StateMachine


class PublicationHost(Protocol):
    """What the publication needs of the core around it."""

    @property
    def now(self) -> float:
        """Return the time of the current event (seconds, monotonic)."""

    def emit(self, output: Output) -> None:
        """Have an output carried out."""

    def prove_read(self, done: Callable[[bool], None], now: float) -> None:
        """Call ``done`` once all committed before ``now`` is applied, or the proof has failed."""


class Publication:
    """Loads the publisher once the state is proved current, then hands on each change."""

    def __init__(
        self,
        host: PublicationHost,
        publisher: PublisherCore,
        state: StateMachine,
        sealer: SecretSealer,
    ) -> None:
        self._host = host
        self._publisher = publisher
        self._state = state
        self._sealer = sealer
        self._subscribers: set[ConnectionId] = set()
        self.loaded = False
        self._load_under_way = False
        self._stopping = False

    @property
    def subscriber_count(self) -> int:
        """Return how many subscribers' links are open."""
        return len(self._subscribers)

    def concerns(self, event: Event) -> bool:
        """Return whether an event belongs to a subscriber's link."""
        match event:
            case ConnectionOpened():
                return event.peer.purpose is Purpose.SUBSCRIPTION
            case ConnectionClosed() | MessageReceived():
                return event.connection in self._subscribers
            case _:
                return False

    def handle(self, event: Event) -> None:
        """Take an event of a subscriber's link or of the clock."""
        if isinstance(event, ConnectionOpened):
            self._subscribers.add(event.connection)
        elif isinstance(event, ConnectionClosed):
            self._subscribers.discard(event.connection)
        self._publish(self._publisher.handle(event, self._host.now))

    def stop(self) -> None:
        """Send the subscribers elsewhere, once."""
        if not self._stopping:
            self._stopping = True
            self._publish(self._publisher.shut_down(self._host.now))

    def advance(self, applied: AppliedBatch) -> None:
        """Hand on an applied batch; before the load there is nobody to hand it to."""
        put = self._opened(applied.put) if self.loaded else None
        if put is not None:
            now = self._host.now
            self._publish(self._publisher.advance(applied.version, put, applied.removed, now))

    def restored(self) -> None:
        """Load again after the state was replaced by a snapshot's."""
        if self.loaded:
            self._load()

    def begin_load(self) -> None:
        """Ask to be proved current, unless that is under way: each proof costs all a round."""
        if not self._load_under_way:
            self._load_under_way = True
            self._host.prove_read(self._load_when_proved, self._host.now)

    def _load_when_proved(self, proved: bool) -> None:
        """Load once current: a replica that replays its log must not publish old versions."""
        self._load_under_way = False
        if proved and not self.loaded:
            self._load()

    def _load(self) -> None:
        resources = self._opened(self._state.resources())
        if resources is not None:
            self.loaded = True
            self._publish(self._publisher.load(self._state.version, resources, self._host.now))

    def _publish(self, outputs: Iterable[Output]) -> None:
        for output in outputs:
            if isinstance(output, FreshnessNeeded):
                self._prove_fresh(output.began)
            elif not isinstance(output, SubscriberAdmitted):
                self._host.emit(output)

    def _prove_fresh(self, began: float) -> None:
        def proved(is_proved: bool) -> None:
            if is_proved:
                self._publish(self._publisher.proved_fresh(began, self._host.now))

        self._host.prove_read(proved, self._host.now)

    def _opened(self, sealed: Iterable[VersionedResource]) -> list[VersionedResource] | None:
        """Return the resources with secrets opened; stop the process where one doesn't open."""
        opened: list[VersionedResource] = []
        for item in sealed:
            resource = self._sealer.open_versioned(item)
            if isinstance(resource, Failure):
                self._host.emit(StopProcess(resource))
                return None
            opened.append(resource)
        return opened
