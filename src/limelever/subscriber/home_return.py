"""The way back to the preferred publisher while another one is followed."""

from __future__ import annotations

import random

from google.protobuf.message import Message

from limelever.common.backoff import Backoff
from limelever.common.sansio import (
    Address,
    CloseConnection,
    ConnectionId,
    DialledConnections,
    OpenConnection,
    Output,
    Purpose,
    SendMessage,
)
from limelever.protocol.distribution_pb2 import FreshnessAnswer
from limelever.subscriber.probes import Probes
from limelever.subscriber.settings import SubscriberSettings
from limelever.subscriber.timers import reached

NOT_CURRENT = "the preferred publisher is not current"


class HomeReturn:
    """When to dial the preferred publisher again, and whether it is current.

    The link in use is kept until the preferred publisher has proved that it is neither stale
    nor behind, so that one that is away or cut off costs no version. Full jitter spreads the
    readers of a publisher that came back over the whole bound, which doubles with every
    attempt. Times are seconds of the monotonic clock.
    """

    def __init__(
        self,
        settings: SubscriberSettings,
        preferred: Address,
        connections: DialledConnections,
        generator: random.Random,
    ) -> None:
        self._preferred = preferred
        self._connections = connections
        self._backoff = Backoff(settings.return_backoff, generator)
        self._oldest = settings.stale_after / 2
        self._answer_timeout = settings.answer_timeout
        self._probes = Probes()
        self._dial_at: float | None = None
        self._answer_by: float | None = None
        self._connection: ConnectionId | None = None

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether ``connection`` was dialled to the preferred publisher."""
        return connection == self._connection

    def plan(self, now: float) -> None:
        """Plan the next attempt, unless one is planned or under way."""
        if self._dial_at is None and self._connection is None:
            self._dial_at = now + self._backoff.next_delay()

    def next_deadline(self) -> float | None:
        """Return when something is due, or ``None``."""
        times = (self._dial_at, self._answer_by)
        return min((at for at in times if at is not None), default=None)

    def on_deadline(self, now: float) -> list[Output]:
        """Dial, or give up on an answer, when it is time."""
        if reached(self._answer_by, now):
            return self.failed(now)
        if not reached(self._dial_at, now):
            return []
        self._dial_at = None
        self._connection = self._connections.draw()
        return [OpenConnection(self._connection, self._preferred, Purpose.SUBSCRIPTION)]

    def opened(self, connection: ConnectionId, now: float) -> list[Output]:
        """Ask the publisher how current it is, before anything is given up for it."""
        self._answer_by = now + self._answer_timeout
        return [SendMessage(connection, self._probes.send(now, to_source=False))]

    def failed(self, now: float) -> list[Output]:
        """Give this attempt up and plan the next."""
        connection = self.take()
        self.plan(now)
        return [CloseConnection(connection, NOT_CURRENT)] if connection is not None else []

    def is_current(self, message: Message, held_version: int, now: float) -> bool:
        """Return whether a message shows a publisher worth returning to."""
        if not isinstance(message, FreshnessAnswer):
            return False
        self._probes.answered(message)
        proved_at = self._probes.publisher_fresh_at
        if proved_at is None or now - proved_at > self._oldest:
            return False
        return message.version >= held_version

    def take(self) -> ConnectionId | None:
        """Drop what is planned; return the link that was dialled, if there is one."""
        connection, self._connection = self._connection, None
        self._dial_at = self._answer_by = None
        self._probes.forget_link()
        return connection

    def arrived(self) -> None:
        """Note that the preferred publisher is of use."""
        self._backoff.reset()
