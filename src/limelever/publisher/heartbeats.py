"""Heartbeats: the version at which a subscriber's scope is valid, sent when it has changed.

Idle links carry the subscribers' probes and their answers. The publisher adds an infrequent
keep-alive, which detects machines that went away without closing their links.
"""

from __future__ import annotations

import math

from limelever.common.sansio import Output, SendMessage
from limelever.protocol.distribution_pb2 import FreshnessAnswer, Heartbeat
from limelever.publisher.batching import BatchTimer
from limelever.publisher.session import Session, SessionState
from limelever.publisher.sessions import Sessions

_MILLISECONDS = 1000
_LARGEST_AGE_MS = 0xFFFFFFFF


class Heartbeats:
    """Announces a new version at once after a pause, then at most once per ``interval``.

    Both durations and all times are in seconds.
    """

    def __init__(self, sessions: Sessions, interval: float, keep_alive: float) -> None:
        self._sessions = sessions
        self._news = BatchTimer(interval)
        self._keep_alive = keep_alive
        self._keep_alive_at: float | None = None

    def start(self, now: float) -> None:
        """Start the keep-alive interval, unless it has been started."""
        if self._keep_alive_at is None:
            self._keep_alive_at = now + self._keep_alive

    def version_moved(self, now: float) -> None:
        """Record that a version may have to be announced to subscribers."""
        self._news.note(now)

    def next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is to be called, or ``None`` without subscribers."""
        if not len(self._sessions):
            return None
        times = (self._news.due_at, self._keep_alive_at)
        return min((at for at in times if at is not None), default=None)

    def on_deadline(self, version: int, now: float) -> list[Output]:
        """Send the heartbeats that are due, at the publisher's ``version``."""
        if self._keep_alive_at is not None and self._keep_alive_at <= now:
            return self._keep_all_alive(version, now)
        if not self._news.due(now):
            return []
        self._news.taken()
        heartbeat = Heartbeat(version=version)
        untold = [s for s in self._sessions if s.told_version != version and self._in_step(s)]
        if untold:
            self._news.sent(now)
        return [self._told(session, heartbeat) for session in untold]

    def tell(self, session: Session, version: int) -> list[Output]:
        """Send a heartbeat at once, unless the subscriber knows ``version`` or is outdated."""
        if session.told_version == version or not self._in_step(session):
            return []
        return [self._told(session, Heartbeat(version=version))]

    def _keep_all_alive(self, version: int, now: float) -> list[Output]:
        self._keep_alive_at = now + self._keep_alive
        self._news.taken()
        in_step, out_of_step = Heartbeat(version=version), Heartbeat()
        following = [s for s in self._sessions if s.state is SessionState.FOLLOWING]
        return [self._told(s, in_step if self._in_step(s) else out_of_step) for s in following]

    def _told(self, session: Session, heartbeat: Heartbeat) -> SendMessage:
        session.told_version = max(session.told_version, heartbeat.version)
        return SendMessage(session.connection, heartbeat)

    def _in_step(self, session: Session) -> bool:
        if session.state is not SessionState.FOLLOWING:
            return False
        view = self._sessions.view_of(session)
        return not view.dirty and session.sent_version >= view.changed_version


def freshness_answer(nonce: int, version: int, age: float | None) -> FreshnessAnswer:
    """Return the answer to a probe; ``age`` is in seconds, ``None`` without any proof."""
    if age is None:
        return FreshnessAnswer(nonce=nonce, version=version, unproved=True)
    return FreshnessAnswer(nonce=nonce, version=version, age_ms=_age_ms(age))


def _age_ms(age: float) -> int:
    return min(_LARGEST_AGE_MS, math.ceil(age * _MILLISECONDS))
