"""Divides the limit of an instance between the proxies that call it.

A proxy that knows its share sends calls beyond it to other instances, so that few of them have to
be refused by the agent. The shares only guide proxies: the agent enforces the limit as a whole.
"""

from __future__ import annotations

from collections import OrderedDict

from limelever.common.sansio import ConnectionId

ACTIVE_SECONDS = 2.0
"""Time after its last call for which a proxy counts as one that calls the instance."""


class LimitShares:
    """The proxies with recent calls, by connection; times are monotonic seconds."""

    def __init__(self) -> None:
        self._last_call_at: OrderedDict[ConnectionId, float] = OrderedDict()

    def call_received(self, connection: ConnectionId, now: float) -> None:
        """Record a call of a proxy."""
        self._last_call_at[connection] = now
        self._last_call_at.move_to_end(connection)

    def closed(self, connection: ConnectionId) -> None:
        """Remove a proxy whose connection closed."""
        self._last_call_at.pop(connection, None)

    def share_of(self, limit: float, now: float) -> float:
        """Return the part of a limit for each proxy, in calls per second."""
        last_call_at = self._last_call_at
        while last_call_at and now - next(iter(last_call_at.values())) > ACTIVE_SECONDS:
            last_call_at.popitem(last=False)
        return limit / max(1, len(last_call_at))
