"""Heartbeats: the publisher's version and age, for subscribers whose scope did not change."""

from __future__ import annotations

import math
from collections.abc import Iterable

from limelever.common.sansio import Output, SendMessage
from limelever.protocol.distribution_pb2 import FreshnessAnswer, Heartbeat
from limelever.publisher.session import Session, SessionState
from limelever.publisher.views import ScopeViews

_MILLISECONDS = 1000
_LARGEST_AGE_MS = 0xFFFFFFFF


class Heartbeats:
    """Tells subscribers at an interval which version their scope is right at."""

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self.next_at: float | None = None

    def start(self, now: float) -> None:
        """Begin the interval, unless it has begun."""
        if self.next_at is None:
            self.next_at = now + self._interval

    def due(self, now: float) -> bool:
        """Return whether the next heartbeat's time has come."""
        return self.next_at is not None and self.next_at <= now

    def beat(
        self,
        sessions: Iterable[Session],
        views: ScopeViews,
        version: int,
        age: float | None,
        now: float,
    ) -> list[Output]:
        """Send one heartbeat to each subscriber; ``age`` in seconds, ``None`` when unproved."""
        self.next_at = now + self._interval
        in_step = _heartbeat(version, age)
        out_of_step = _heartbeat(0, age)
        outputs: list[Output] = []
        for session in sessions:
            if session.state is not SessionState.FOLLOWING:
                continue
            if _in_step(session, views):
                session.told_version = version
                outputs.append(SendMessage(session.connection, in_step))
            else:
                outputs.append(SendMessage(session.connection, out_of_step))
        return outputs

    def tell_version(self, session: Session, views: ScopeViews, version: int) -> list[Output]:
        """Tell one subscriber at once that its scope is right at ``version``, if it is."""
        if session.told_version == version or not _in_step(session, views):
            return []
        session.told_version = version
        return [SendMessage(session.connection, _heartbeat(version, None))]


def freshness_answer(nonce: int, version: int, age: float | None) -> FreshnessAnswer:
    """Return the answer to a probe; ``age`` in seconds, ``None`` when never proved."""
    if age is None:
        return FreshnessAnswer(nonce=nonce, version=version, unproved=True)
    return FreshnessAnswer(nonce=nonce, version=version, age_ms=_age_ms(age))


def _in_step(session: Session, views: ScopeViews) -> bool:
    if session.state is not SessionState.FOLLOWING:
        return False
    view = views.get(session.scope)
    return not view.dirty and session.sent_version >= view.changed_version


def _heartbeat(version: int, age: float | None) -> Heartbeat:
    if age is None:
        return Heartbeat(version=version)
    return Heartbeat(version=version, age_ms=_age_ms(age), fresh_known=True)


def _age_ms(age: float) -> int:
    return min(_LARGEST_AGE_MS, math.ceil(age * _MILLISECONDS))
