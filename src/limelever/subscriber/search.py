"""Search for a better publisher while the link in use is kept."""

from __future__ import annotations

import random
from enum import Enum, auto

from google.protobuf.message import Message

from limelever.common.backoff import Backoff, BackoffSettings
from limelever.common.deadlines import earliest
from limelever.common.sansio import (
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
from limelever.subscriber.publisher_choice import PublisherChoice
from limelever.subscriber.settings import SubscriberSettings
from limelever.subscriber.timers import reached

NO_BETTER = "no better publisher"
CANDIDATE_PATIENCE = 0.5
"""Seconds for which a candidate that isn't current yet is probed again. After the loss of a leader
all relays become current at about the same time, and dialling another takes as long."""

ASK_INTERVAL = 0.1
"""Seconds between two probes of such a candidate."""


class Goal(Enum):
    """Target of a search: the preferred publisher, or any current one to replace a stale one."""

    PREFERRED = auto()
    CURRENT = auto()


class PublisherSearch:
    """Dials one candidate at a time and probes how current it is.

    The link in use is kept until a candidate has proved that it is neither stale nor behind:
    during an outage of the source, subscribers continue to use the configuration and endpoints of
    their publisher. Full jitter spreads simultaneous attempts of many subscribers over the whole
    maximum delay, which doubles with every attempt. Times are seconds of the monotonic clock.
    """

    def __init__(
        self,
        settings: SubscriberSettings,
        choice: PublisherChoice,
        connections: DialledConnections,
        generator: random.Random,
    ) -> None:
        slowest = min(settings.return_backoff.maximum, settings.longest_pause)
        urgent = BackoffSettings(base=settings.backoff.base, maximum=slowest)
        self._backoffs = {
            Goal.PREFERRED: Backoff(settings.return_backoff, generator),
            Goal.CURRENT: Backoff(urgent, generator),
        }
        self._choice = choice
        self._connections = connections
        self._oldest = settings.stale_after / 2
        self._answer_timeout = settings.answer_timeout
        self._probes = Probes()
        self._goal: Goal | None = None
        self._dial_at: float | None = None
        self._answer_by: float | None = None
        self._ask_at: float | None = None
        self._patient_until = 0.0
        self._connection: ConnectionId | None = None
        self.candidate = 0

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether ``connection`` was dialled to a candidate."""
        return connection == self._connection

    def publishers_replaced(self, now: float) -> list[Output]:
        """Abandon the current candidate, as its index in the list may have changed."""
        outputs = self._drop()
        self.candidate = self._choice.index
        self._plan(now)
        return outputs

    def begin(self, goal: Goal, now: float) -> list[Output]:
        """Search for ``goal``, in place of another goal, unless that is in progress already."""
        if goal is self._goal:
            return []
        outputs = self.end()
        self._goal = goal
        self.candidate = self._choice.index
        self._plan(now)
        return outputs

    def end(self) -> list[Output]:
        """End the search."""
        self._goal = None
        return self._drop()

    def followed_is_current(self, now: float) -> list[Output]:
        """Record that the publisher in use is current; only the preferred one is better."""
        self._backoffs[Goal.CURRENT].reset()
        if self._choice.away:
            return self.begin(Goal.PREFERRED, now)
        self._backoffs[Goal.PREFERRED].reset()
        return self.end()

    def next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is to be called, or ``None``."""
        return earliest(self._dial_at, self._answer_by, self._ask_at)

    def on_deadline(self, now: float) -> list[Output]:
        """Dial the next candidate, probe it again or time out its answer, when that is due."""
        if reached(self._answer_by, now):
            return self.failed(now)
        if reached(self._ask_at, now) and self._connection is not None:
            return self._ask(self._connection, now)
        if not reached(self._dial_at, now):
            return []
        self._dial_at = None
        self.candidate = self._next_candidate()
        self._connection = self._connections.draw()
        address = self._choice.address(self.candidate)
        return [OpenConnection(self._connection, address, Purpose.SUBSCRIPTION)]

    def opened(self, connection: ConnectionId, now: float) -> list[Output]:
        """Probe the candidate; the link in use is kept until it has answered."""
        self._patient_until = now + CANDIDATE_PATIENCE
        return self._ask(connection, now)

    def not_better(self, message: Message, now: float) -> list[Output]:
        """Schedule another probe of a candidate that isn't current, or abandon it."""
        asks_on = isinstance(message, FreshnessAnswer) and self._goal is Goal.CURRENT
        if not asks_on or now >= self._patient_until:
            return self.failed(now)
        self._answer_by = None
        self._ask_at = now + ASK_INTERVAL
        return []

    def failed(self, now: float) -> list[Output]:
        """Abandon this candidate and plan the next attempt."""
        outputs = self._drop()
        self._plan(now)
        return outputs

    def is_better(self, message: Message, held_version: int, now: float) -> bool:
        """Return whether a message proves that the candidate is current and not behind."""
        if not isinstance(message, FreshnessAnswer):
            return False
        self._probes.answered(message)
        proved_at = self._probes.publisher_fresh_at
        if proved_at is None or now - proved_at > self._oldest:
            return False
        return message.version >= held_version

    def take(self) -> ConnectionId | None:
        """End the search; return the candidate's link, which the caller owns from now on."""
        connection, self._connection = self._connection, None
        self.end()
        return connection

    def _ask(self, connection: ConnectionId, now: float) -> list[Output]:
        self._ask_at = None
        self._answer_by = now + self._answer_timeout
        return [SendMessage(connection, self._probes.send(now, to_source=False))]

    def _next_candidate(self) -> int:
        if self._goal is Goal.PREFERRED:
            return self._choice.preferred
        return self._choice.after(self.candidate)

    def _plan(self, now: float) -> None:
        if self._goal is not None:
            self._dial_at = now + self._backoffs[self._goal].next_delay()

    def _drop(self) -> list[Output]:
        connection, self._connection = self._connection, None
        self._dial_at = self._answer_by = self._ask_at = None
        self._probes.forget_link()
        return [CloseConnection(connection, NO_BETTER)] if connection is not None else []
