"""The subscriber's link to a publisher: dialling, timeouts, staleness, change of publisher.

The set held stays in force in all of these cases. Times are in seconds.
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
    """The link to the current publisher, at most one at a time."""

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
        """Replace the list of publishers; the link in use is kept."""
        self._choice.replace(publishers, preferred)
        return self.search.publishers_replaced(now)

    def extend_publishers(self, publishers: tuple[Address, ...], now: float) -> list[Output]:
        """Add publishers to the list; the link in use is kept."""
        self._choice.extend(publishers)
        return self.search.publishers_replaced(now)

    def start(self, now: float) -> None:
        """Dial at the next deadline."""
        self._timers.dial = now

    def opened(self, now: float) -> None:
        """Record that the link has opened."""
        self._opened_at = now
        self._timers.answer = now + self._settings.answer_timeout
        self._timers.stale = now + self._settings.stale_after

    def heard(self) -> bool:
        """Record that the publisher has answered; return whether this is its first answer."""
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

        A publisher that refuses the subscriber closes the link. Data that it had not read by then
        would make the operating system reset the connection, and the retry delay would be lost.
        """
        self.subscribed = True
        return self.send(message)

    def probe(self, now: float, to_source: bool) -> list[Output]:
        """Send a freshness probe, and search for another publisher if an earlier one has no answer.

        A publisher that lost power never answers. A search is cheap, while waiting until the
        publisher counts as stale would leave its subscribers outdated for longer.
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
        """Handle the answer to a probe; that of a current publisher postpones its staleness."""
        self.probes.answered(answer)
        proved_at = self.probes.publisher_fresh_at
        if proved_at is None or now - proved_at >= self._settings.stale_after:
            return []
        self._timers.stale = proved_at + self._settings.stale_after
        self._choice.succeeded()
        return self.search.followed_is_current(now)

    def compare(self, publisher_version: int, held_version: int, now: float) -> None:
        """Start or stop the timeout of a publisher that names newer versions than it sends.

        It may count versions as sent that were lost with the state of their link.
        """
        progressed = held_version > self._held_version
        self._held_version = held_version
        if publisher_version <= held_version:
            self._timers.behind = None
        elif progressed or self._timers.behind is None:
            self._timers.behind = now + self._settings.behind_after

    def leave(self, reason: str, now: float, retry_after: float = 0.0) -> list[Output]:
        """Close the link and dial the next publisher after a delay."""
        advice = 0.0 if self._choice.on_trial else retry_after
        outputs = [self._left(reason), *self._close_all(reason)]
        self._choice.move_on()
        self._timers.dial = now + self._choice.delay(advice)
        return outputs

    def change_over(self, now: float) -> list[Output]:
        """Change to the candidate that has proved current, and use its link."""
        candidate, connection = self.search.candidate, self.search.take()
        outputs = [self._left(BETTER_FOUND), *self._close_all(BETTER_FOUND)]
        self._choice.change_over(candidate)
        self._connection = connection
        self.opened(now)
        return outputs

    def stop(self) -> list[Output]:
        """Close the link and stop dialling."""
        self._timers.dial = None
        return self._close_all(STOPPING)

    def on_deadline(self, now: float, to_source: bool) -> list[Output]:
        """Handle the timers that are due at ``now``."""
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
        """Return when the earliest timer is due, or ``None``."""
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
        """Search for a current publisher; messages of the stale one are handled until then."""
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
