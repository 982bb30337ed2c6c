"""All subscribers of a publisher, and counts of the versions in force at them."""

from __future__ import annotations

from collections.abc import Iterator

from limelever.common.sansio import ConnectionId, Peer
from limelever.publisher.rollout import VersionHolders, merge
from limelever.publisher.scope import Scope
from limelever.publisher.session import Session, SessionState
from limelever.publisher.view import ScopeView
from limelever.publisher.views import ScopeViews


class Sessions:
    """Subscribers by link and by scope."""

    def __init__(self, views: ScopeViews) -> None:
        self._views = views
        self._sessions: dict[ConnectionId, Session] = {}
        self._by_scope: dict[Scope, dict[ConnectionId, Session]] = {}
        self._holders: tuple[VersionHolders, ...] | None = None

    def __iter__(self) -> Iterator[Session]:
        return iter(tuple(self._sessions.values()))

    def __len__(self) -> int:
        return len(self._sessions)

    def open(self, connection: ConnectionId, peer: Peer) -> None:
        """Add a subscriber whose link has opened."""
        self._sessions[connection] = Session(connection, peer)

    def get(self, connection: ConnectionId) -> Session | None:
        """Return the subscriber on a link, or ``None``."""
        return self._sessions.get(connection)

    def join(self, session: Session, scope: Scope) -> ScopeView:
        """Add an admitted subscriber to a scope, and return the scope's view."""
        session.scope = scope
        session.state = SessionState.COMPARING
        self._by_scope.setdefault(scope, {})[session.connection] = session
        return self._views.join(scope)

    def remove(self, connection: ConnectionId) -> Session | None:
        """Remove and return the subscriber of a closed link, if it is known."""
        session = self._sessions.pop(connection, None)
        if session is None or session.state is SessionState.OPENED:
            return session
        members = self._by_scope[session.scope]
        del members[connection]
        if not members:
            del self._by_scope[session.scope]
        self._views.leave(session.scope)
        return session

    def view_of(self, session: Session) -> ScopeView:
        """Return the view that an admitted subscriber shares."""
        return self._views.get(session.scope)

    def following(self, scope: Scope) -> tuple[Session, ...]:
        """Return the subscribers that follow a scope."""
        members = self._by_scope.get(scope, {}).values()
        return tuple(s for s in members if s.state is SessionState.FOLLOWING)

    def holders(self, version: int) -> tuple[VersionHolders, ...]:
        """Return the counts of the publisher's own subscribers and those reported by relays.

        ``version`` is the publisher's own: a subscriber that acknowledged the last change of
        its scope counts as holding it, as later changes are outside of its scope. The result is
        cached until ``counts_changed``.
        """
        if self._holders is None:
            self._holders = self._count_holders(version)
        return self._holders

    def counts_changed(self) -> None:
        """Invalidate the cached counts."""
        self._holders = None

    def _count_holders(self, version: int) -> tuple[VersionHolders, ...]:
        counts: list[VersionHolders] = []
        for session in self._sessions.values():
            counts.extend(session.reported)
            if session.counts_in_rollout and session.state is not SessionState.OPENED:
                effective = self._effective(session, version)
                counts.append(VersionHolders(session.peer.zone, effective, 1))
        return merge(counts)

    def _effective(self, session: Session, version: int) -> int:
        if session.state is not SessionState.FOLLOWING:
            return session.in_force
        view = self._views.get(session.scope)
        if session.in_force < view.changed_version:
            return session.in_force
        return view.unchanged_through if view.dirty else version
