"""The baseline of distribution: the whole set to every subscriber on every change."""

from __future__ import annotations

import itertools
import random

from google.protobuf.message import Message

from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    Event,
    MessageReceived,
    Output,
    Purpose,
    Recovered,
    SendMessage,
)
from limelever.protocol.digest import SetDigest
from limelever.protocol.distribution_pb2 import (
    ConfigSnapshot,
    FreshnessAnswer,
    FreshnessProbe,
    Heartbeat,
    Subscribe,
)
from limelever.subscriber.core import SubscriberCore
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    EndpointsReceived,
    FreshnessProved,
    VersionConfirmed,
)
from limelever.subscriber.settings import SubscriberSettings

HEARTBEAT_SECONDS = 3.0
_NOTICES = (EndpointsReceived, FreshnessProved, VersionConfirmed)


class FullPushCore:
    """Stands where a relay does, without scopes, deltas, batches, admission and endpoints.

    It reaches the source as a relay does. Its subscribers ask for everything. Probes are answered
    as if it were always current, which costs the baseline less than the relay's proofs cost.
    """

    def __init__(self, settings: SubscriberSettings, generator: random.Random) -> None:
        self._subscriber = SubscriberCore(
            settings, DialledConnections(), itertools.count(1), generator, Recovered()
        )
        self._subscribers: set[ConnectionId] = set()
        self._snapshot = ConfigSnapshot()
        self._beat_at: float | None = None

    @property
    def version(self) -> int:
        """The version that is pushed; 0 before there is one."""
        return int(self._snapshot.version)

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take one event at ``now`` (seconds, monotonic)."""
        match event:
            case ConnectionOpened(_, peer) if peer.purpose is Purpose.SUBSCRIPTION:
                return self._carried_out(self._subscriber.handle(event, now))
            case MessageReceived(connection, message) if not self._subscriber.owns(connection):
                return self._from_subscriber(connection, message)
            case ConnectionClosed(connection) if connection in self._subscribers:
                self._subscribers.discard(connection)
                return []
        outputs = self._carried_out(self._subscriber.handle(event, now))
        if isinstance(event, DeadlineReached) or self._beat_at is None:
            outputs.extend(self._beat(now))
        return outputs

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted."""
        times = (self._subscriber.next_deadline(), self._beat_at)
        return min((at for at in times if at is not None), default=None)

    def _from_subscriber(self, connection: ConnectionId, message: Message) -> list[Output]:
        if isinstance(message, Subscribe):
            self._subscribers.add(connection)
            return [SendMessage(connection, self._snapshot)] if self.version else []
        if isinstance(message, FreshnessProbe):
            answer = FreshnessAnswer(nonce=message.nonce, version=self.version)
            return [SendMessage(connection, answer)]
        return []

    def _carried_out(self, outputs: list[Output]) -> list[Output]:
        for_shell: list[Output] = []
        for output in outputs:
            if isinstance(output, ConfigurationInstalled):
                for_shell.extend(self._push(output))
            elif not isinstance(output, _NOTICES):
                for_shell.append(output)
        return for_shell

    def _push(self, installed: ConfigurationInstalled) -> list[Output]:
        resources = installed.configuration.resources.values()
        self._snapshot = ConfigSnapshot(
            version=installed.version,
            resources=resources,
            digest=SetDigest.of(resources).to_bytes(),
        )
        return [SendMessage(connection, self._snapshot) for connection in self._subscribers]

    def _beat(self, now: float) -> list[Output]:
        if self._beat_at is not None and now < self._beat_at:
            return []
        self._beat_at = now + HEARTBEAT_SECONDS
        heartbeat = Heartbeat(version=self.version)
        return [SendMessage(connection, heartbeat) for connection in self._subscribers]
