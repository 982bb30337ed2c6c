"""Admission of subscribers, and their update from the version that they hold."""

from __future__ import annotations

import math

from msgspec import Struct

from limelever.common.sansio import (
    CloseConnection,
    ConnectionId,
    LogEvent,
    Output,
    SendMessage,
)
from limelever.protocol.distribution_pb2 import (
    Inventory,
    InventoryRequest,
    RetryLater,
    Subscribe,
)
from limelever.publisher import events
from limelever.publisher.admission import CONFIGURATION_COST, UP_TO_DATE_COST, Admission
from limelever.publisher.notices import SubscriberAdmitted
from limelever.publisher.resources import ResourceTable
from limelever.publisher.scope import Scope
from limelever.publisher.sender import Sender
from limelever.publisher.session import Session, SessionState
from limelever.publisher.sessions import Sessions
from limelever.publisher.view import ScopeView

PUBLISHER_BEHIND = "publisher behind"
PUBLISHER_EMPTY = "publisher holds no configuration yet"
OVER_ADMISSION_RATE = "too many subscribers at once"
_MILLISECONDS = 1000


class _Held(Struct, frozen=True):
    """A subscription that waits, at most until ``until``, for the publisher's first set."""

    session: Session
    message: Subscribe
    until: float


class Subscribing:
    """Admits subscribers and updates each to the publisher's version at the lowest cost.

    Subscribers may wait while the publisher has no configuration: after a restart of the whole
    system, retries at times of their own would take longer.
    """

    def __init__(
        self,
        table: ResourceTable,
        sessions: Sessions,
        sender: Sender,
        admission: Admission,
        hold_empty: float = 0.0,
    ) -> None:
        self._loaded = False
        self._hold_empty = hold_empty
        self._held: dict[ConnectionId, _Held] = {}
        self._table = table
        self._sessions = sessions
        self._sender = sender
        self._admission = admission

    def subscribe(self, session: Session, message: Subscribe, now: float) -> list[Output]:
        """Answer the first message on a link."""
        if session.state is not SessionState.OPENED:
            return self._out_of_turn(session, "Subscribe")
        if not self._loaded:
            return self._hold(session, message, now)
        floor = max(message.version_floor, message.held_version)
        if floor > self._table.version:
            return [self._log_behind(session, floor), *_turn_away(session, PUBLISHER_BEHIND)]
        cost = UP_TO_DATE_COST if self._seems_up_to_date(message) else CONFIGURATION_COST
        delay = self._admission.admit(cost, now)
        if delay is not None:
            return _turn_away(session, OVER_ADMISSION_RATE, delay)
        return self._answer(session, message)

    def load(self, now: float) -> list[Output]:
        """Answer the waiting subscribers: the publisher holds a set from now on."""
        self._loaded = True
        held, self._held = self._held, {}
        return [
            output
            for each in held.values()
            for output in self.subscribe(each.session, each.message, now)
        ]

    def expire(self, now: float) -> list[Output]:
        """Refuse the subscribers whose wait has ended."""
        over = [each for each in self._held.values() if each.until <= now]
        for each in over:
            del self._held[each.session.connection]
        return [output for each in over for output in _turn_away(each.session, PUBLISHER_EMPTY)]

    def forget(self, connection: ConnectionId) -> None:
        """Remove a waiting subscriber whose link has closed."""
        self._held.pop(connection, None)

    def next_deadline(self) -> float | None:
        """Return when the first waiting subscriber is to be refused, or ``None``."""
        return min((each.until for each in self._held.values()), default=None)

    def _hold(self, session: Session, message: Subscribe, now: float) -> list[Output]:
        if not self._hold_empty:
            return _turn_away(session, PUBLISHER_EMPTY)
        self._held[session.connection] = _Held(session, message, now + self._hold_empty)
        return []

    def compare(self, session: Session, inventory: Inventory) -> list[Output]:
        """Answer an inventory with a delta of the differences from it."""
        if session.state is not SessionState.COMPARING:
            return self._out_of_turn(session, "Inventory")
        view = self._sessions.view_of(session)
        flushed = self._sender.flush_view(view)
        delta = view.delta_over(inventory, session.held_version)
        return [*flushed, *self._sender.send(session, delta)]

    def _answer(self, session: Session, message: Subscribe) -> list[Output]:
        session.held_version = message.held_version
        session.in_force = message.held_version
        view = self._sessions.join(session, Scope.of(message, session.peer))
        outputs = self._sender.flush_view(view)
        if message.held_version == 0 and self._table.version > 0:
            outputs.extend(self._sender.send(session, view.snapshot()))
        else:
            outputs.extend(self._bring_up(session, view, message.digest))
        return [*outputs, SubscriberAdmitted(session.connection)]

    def _bring_up(self, session: Session, view: ScopeView, digest: bytes) -> list[Output]:
        if digest == view.digest or self._table.version == 0:
            return self._sender.follow(session)
        if digest == view.digest_at(session.held_version):
            delta = view.delta_since(session.held_version)
            if delta is not None:
                return self._sender.send(session, delta)
        return [SendMessage(session.connection, InventoryRequest())]

    def _seems_up_to_date(self, message: Subscribe) -> bool:
        return message.held_version == self._table.version

    def _log_behind(self, session: Session, floor: int) -> LogEvent:
        fields: dict[str, object] = {
            "peer": session.peer.name,
            "version_floor": floor,
            "version": self._table.version,
        }
        return LogEvent(events.PUBLISHER_BEHIND, fields)

    def _out_of_turn(self, session: Session, name: str) -> list[Output]:
        fields: dict[str, object] = {"peer": session.peer.name, "message": name}
        return [
            LogEvent(events.SUBSCRIBER_MISBEHAVED, fields),
            CloseConnection(session.connection, f"{name} out of turn"),
        ]


def _turn_away(session: Session, reason: str, delay: float = 0.0) -> list[Output]:
    advice = RetryLater(retry_after_ms=math.ceil(delay * _MILLISECONDS), reason=reason)
    fields: dict[str, object] = {"peer": session.peer.name, "reason": reason}
    return [
        SendMessage(session.connection, advice),
        CloseConnection(session.connection, reason),
        LogEvent(events.SUBSCRIBER_TURNED_AWAY, fields),
    ]
