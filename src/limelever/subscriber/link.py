"""The subscriber's link to a publisher: dialling, silence, staleness, moving on.

Whatever happens here, the set held stays in force. Times are seconds.
"""

from __future__ import annotations

import random

from google.protobuf.message import Message

from limelever.common.deadlines import earliest
from limelever.common.sansio import (
    Address,
    CloseConnection,
    ConnectionId,
    DialledConnections,
    LogEvent,
    OpenConnection,
    Output,
    Purpose,
    SendMessage,
)
from limelever.protocol.distribution_pb2 import FreshnessAnswer, Subscribe
from limelever.subscriber import events
from limelever.subscriber.probes import Probes
from limelever.subscriber.publisher_choice import PublisherChoice
from limelever.subscriber.search import Goal, PublisherSearch
from limelever.subscriber.settings import SubscriberSettings
from limelever.subscriber.timers import Timers, reached

SILENT = "publisher does not answer"
BEHIND = "publisher names newer versions and sends none"
STOPPING = "planned stop"
BETTER_FOUND = "a better publisher was found"


class PublisherLink:
    """At most one link at a time, to one of the publishers."""

    def __init__(
        self,
        settings: SubscriberSettings,
        connections: DialledConnections,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._connections = connections
        self._choice = PublisherChoice(
            settings.publishers, settings.dialling, generator, spread=settings.everything
        )
        self.search = PublisherSearch(settings, self._choice, connections, generator)
        self._timers = Timers()
        self._connection: ConnectionId | None = None
        self._opened_at: float | None = None
        self._held_version = 0
        self.probes = Probes()
        self.subscribed = False
        self.awaits_snapshot = False

    @property
    def opened_at(self) -> float | None:
        """When the link opened, or ``None`` while it is not open."""
        return self._opened_at

    @property
    def connection(self) -> ConnectionId | None:
        """The link in use, open or being dialled."""
        return self._connection

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether ``connection`` is the current link or the one that may replace it."""
        return connection == self._connection or self.search.owns(connection)

    @property
    def zone(self) -> str:
        """The subscriber's own zone, empty where it has none."""
        return self._settings.zone

    def replace_publishers(
        self, publishers: tuple[Address, ...], preferred: Address | None, now: float
    ) -> list[Output]:
        """Choose among these publishers from now on; the link in use stays for the time being."""
        self._choice.replace(publishers, preferred)
        return self.search.publishers_replaced(now)

    def extend_publishers(self, publishers: tuple[Address, ...], now: float) -> list[Output]:
        """Choose among these publishers besides."""
        self._choice.extend(publishers)
        return self.search.publishers_replaced(now)

    def start(self, now: float) -> None:
        """Dial at the next deadline."""
        self._timers.dial = now

    def opened(self, now: float) -> None:
        """Note that the link is up."""
        self._opened_at = now
        self._timers.answer = now + self._settings.answer_timeout
        self._timers.stale = now + self._settings.stale_after

    def heard(self) -> bool:
        """Note that the publisher has answered; return whether this is its first answer."""
        first = self._timers.answer is not None
        self._timers.answer = None
        return first

    def send(self, message: Message) -> list[Output]:
        """Send a message, once the subscription has been sent."""
        if self._connection is None or not self.subscribed:
            return []
        return [SendMessage(self._connection, message)]

    def subscribe(self, message: Subscribe) -> list[Output]:
        """Send the subscription. The first probe follows the first answer.

        A publisher that turns the subscriber away closes the link; anything it had not read by
        then would make the system reset the link and lose the advice when to come back.
        """
        self.subscribed = True
        return self.send(message)

    def probe(self, now: float, to_source: bool) -> list[Output]:
        """Ask the publisher how current it is, and seek another if it left that unanswered before.

        A publisher that lost its power says nothing more. To seek costs little, to wait until it
        counts as stale leaves its subscribers behind for longer.
        """
        if not self.subscribed:
            return []
        waiting_since = self.probes.waiting_since
        interval = self._settings.probe_interval
        silent = waiting_since is not None and now - waiting_since >= interval
        sought = self.search.begin(Goal.CURRENT, now) if silent else []
        self._timers.probe = now + interval
        return [*self.send(self.probes.send(now, to_source)), *sought]

    def answered(self, answer: FreshnessAnswer, now: float) -> list[Output]:
        """Take the answer to a probe; in place of a stale publisher another is sought."""
        self.probes.answered(answer)
        proved_at = self.probes.publisher_fresh_at
        if proved_at is None or now - proved_at >= self._settings.stale_after:
            return []
        self._timers.stale = proved_at + self._settings.stale_after
        self._choice.succeeded()
        return self.search.followed_is_current(now)

    def compare(self, publisher_version: int, held_version: int, now: float) -> None:
        """Watch that the publisher sends what it says it has.

        It may believe that versions are on their way which were lost with their link's state.
        """
        progressed = held_version > self._held_version
        self._held_version = held_version
        if publisher_version <= held_version:
            self._timers.behind = None
        elif progressed or self._timers.behind is None:
            self._timers.behind = now + self._settings.behind_after

    def leave(self, reason: str, now: float, retry_after: float = 0.0) -> list[Output]:
        """Give the link up and dial the next publisher after a delay."""
        advice = 0.0 if self._choice.on_trial else retry_after
        outputs = [self._left(reason), *self._close_all(reason)]
        self._choice.move_on()
        self._timers.dial = now + self._choice.delay(advice)
        return outputs

    def change_over(self, now: float) -> list[Output]:
        """Follow the candidate that has proved current, by the link on which it did."""
        candidate, connection = self.search.candidate, self.search.take()
        outputs = [self._left(BETTER_FOUND), *self._close_all(BETTER_FOUND)]
        self._choice.change_over(candidate)
        self._connection = connection
        self.opened(now)
        return outputs

    def stop(self) -> list[Output]:
        """Close the link and dial no more."""
        self._timers.dial = None
        return self._close_all(STOPPING)

    def on_deadline(self, now: float, to_source: bool) -> list[Output]:
        """Do what is due at ``now``."""
        outputs: list[Output] = []
        if reached(self._timers.probe, now):
            outputs.extend(self.probe(now, to_source))
        if reached(self._timers.stale, now):
            outputs.extend(self._stale(now))
        if reached(self._timers.answer, now):
            outputs.extend(self.leave(SILENT, now))
        elif reached(self._timers.behind, now):
            outputs.extend(self.leave(BEHIND, now))
        if reached(self._timers.dial, now):
            outputs.append(self._dial())
        outputs.extend(self.search.on_deadline(now))
        return outputs

    def next_deadline(self) -> float | None:
        """Return the earliest time at which something is due, or ``None``."""
        return earliest(self._timers.next_deadline(), self.search.next_deadline())

    def _dial(self) -> OpenConnection:
        self._timers.dial = None
        self._connection = self._connections.draw()
        return OpenConnection(self._connection, self._choice.current, Purpose.SUBSCRIPTION)

    def _left(self, reason: str) -> LogEvent:
        fields: dict[str, object] = {"publisher": str(self._choice.current), "reason": reason}
        return LogEvent(events.PUBLISHER_LEFT, fields)

    def _close_all(self, reason: str) -> list[Output]:
        connection = self._connection
        self._forget()
        closed = self.search.end()
        if connection is not None:
            closed.append(CloseConnection(connection, reason))
        return closed

    def _stale(self, now: float) -> list[Output]:
        """Seek a publisher that is current; what the stale one sends is taken until then."""
        self._timers.stale = None
        proved_at = self.probes.publisher_fresh_at
        reference = proved_at if proved_at is not None else self._opened_at
        age = now - reference if reference is not None else 0.0
        fields: dict[str, object] = {
            "publisher": str(self._choice.current),
            "age_seconds": round(age, 3),
        }
        stale = LogEvent(events.PUBLISHER_STALE, fields)
        return [stale, *self.search.begin(Goal.CURRENT, now)]

    def _forget(self) -> None:
        self._connection = None
        self._opened_at = None
        self.subscribed = False
        self.awaits_snapshot = False
        self.probes.forget_link()
        self._timers.forget_link()
