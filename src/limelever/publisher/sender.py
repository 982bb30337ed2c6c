"""Sends versions to subscribers: shared deltas, merged deltas for slow ones, and snapshots."""

from __future__ import annotations

from limelever.common.sansio import CloseConnection, LogEvent, Output, SendMessage
from limelever.protocol.distribution_pb2 import (
    ConfigDelta,
    ConfigSnapshot,
    Heartbeat,
    RetryLater,
)
from limelever.publisher import events
from limelever.publisher.resources import ResourceTable
from limelever.publisher.session import Session, SessionState
from limelever.publisher.sessions import Sessions
from limelever.publisher.view import Refreshed, ScopeView
from limelever.publisher.views import ScopeViews

REJECTION_LIMIT = 3
REJECTED_RETRY_AFTER_MS = 10_000
TOO_MANY_REJECTIONS = "too many versions rejected"


class Sender:
    """Updates subscribers that follow a scope to the publisher's version."""

    def __init__(
        self, table: ResourceTable, sessions: Sessions, views: ScopeViews, outstanding: int
    ) -> None:
        self._table = table
        self._sessions = sessions
        self._views = views
        self._outstanding = outstanding

    def flush(self) -> list[Output]:
        """Send the changes of every scope since the last flush."""
        outputs: list[Output] = []
        for view in self._views.take_dirty():
            outputs.extend(self._publish(view))
        if outputs:
            fields: dict[str, object] = {
                "version": self._table.version,
                "subscribers": len(outputs),
            }
            outputs.append(LogEvent(events.VERSION_PUBLISHED, fields))
        return outputs

    def flush_view(self, view: ScopeView) -> list[Output]:
        """Send the changes of one scope ahead of the others."""
        if not view.dirty:
            return []
        self._views.clean(view.scope)
        return self._publish(view)

    def follow(self, session: Session) -> list[Output]:
        """Let an up-to-date subscriber follow its scope, and send it the version in a heartbeat."""
        session.state = SessionState.FOLLOWING
        session.sent_version = self._table.version
        session.told_version = self._table.version
        session.in_force = self._table.version
        return [SendMessage(session.connection, Heartbeat(version=self._table.version))]

    def send(self, session: Session, message: ConfigDelta | ConfigSnapshot) -> list[Output]:
        """Send a delta or a snapshot that leads to the publisher's version."""
        session.sent(self._table.version)
        sent = SendMessage(session.connection, message)
        if isinstance(message, ConfigDelta):
            return [sent]
        fields: dict[str, object] = {"peer": session.peer.name, "version": self._table.version}
        return [sent, LogEvent(events.SNAPSHOT_SENT, fields)]

    def catch_up(self, session: Session) -> list[Output]:
        """Send a subscriber that was slow the changes it missed, as one delta or a snapshot."""
        if session.state is not SessionState.FOLLOWING or self._is_slow(session):
            return []
        view = self._views.get(session.scope)
        if view.dirty or session.sent_version >= view.changed_version:
            return []
        delta = view.delta_since(session.sent_version)
        return self.send(session, delta if delta is not None else view.snapshot())

    def rejected(self, session: Session) -> list[Output]:
        """Answer a rejected version with a snapshot, or close the link after too many of them."""
        session.rejections += 1
        session.unacknowledged.clear()
        if session.rejections > REJECTION_LIMIT:
            advice = RetryLater(retry_after_ms=REJECTED_RETRY_AFTER_MS, reason=TOO_MANY_REJECTIONS)
            return [
                SendMessage(session.connection, advice),
                CloseConnection(session.connection, TOO_MANY_REJECTIONS),
            ]
        view = self._views.get(session.scope)
        flushed = self.flush_view(view)
        return [*flushed, *self.send(session, view.snapshot())]

    def _publish(self, view: ScopeView) -> list[Output]:
        through = view.unchanged_through
        refreshed = view.refresh()
        if not refreshed.changed:
            return []
        outputs: list[Output] = []
        for session in self._sessions.following(view.scope):
            outputs.extend(self._publish_to(session, view, refreshed, through))
        return outputs

    def _publish_to(
        self, session: Session, view: ScopeView, refreshed: Refreshed, through: int
    ) -> list[Output]:
        if session.in_force >= refreshed.from_version:
            session.in_force = max(session.in_force, through)
        if self._is_slow(session):
            return [LogEvent(events.SUBSCRIBER_SLOW, {"peer": session.peer.name})]
        if session.sent_version >= refreshed.from_version and refreshed.delta is not None:
            return self.send(session, refreshed.delta)
        delta = view.delta_since(session.sent_version)
        return self.send(session, delta if delta is not None else view.snapshot())

    def _is_slow(self, session: Session) -> bool:
        return len(session.unacknowledged) >= self._outstanding
