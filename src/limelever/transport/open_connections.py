"""Open connections of a listener, up to a limit.

At the limit the connection that is idle longest makes room, so that nobody's idle connections lock
others out. One with a request in progress never does.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from limelever.transport.http1_connection import Http1Connection

if TYPE_CHECKING:
    from limelever.transport.http2_connection import Http2Connection

Stream = trio.SocketStream | trio.SSLStream[trio.SocketStream]


class OpenConnection:
    """One of the listener's connections, from before it is known which protocol it speaks."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.served_by: Http1Connection | Http2Connection | None = None
        self._since = trio.current_time()

    @property
    def idle_since(self) -> float | None:
        """Return since when no request is in progress, ``None`` while one is."""
        return self._since if self.served_by is None else self.served_by.idle_since

    async def stop(self) -> None:
        """End the connection after the requests in progress."""
        if isinstance(self.served_by, Http1Connection):
            self.served_by.stop()
        elif self.served_by is not None:
            await self.served_by.stop()


class OpenConnections:
    """Connections up to ``limit``.

    ``report`` is called with the limit and the connection that is closed because of it.
    """

    def __init__(self, limit: int, report: Callable[[OpenConnection, int], None]) -> None:
        self._limit = limit
        self._report = report
        self._open: set[OpenConnection] = set()

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    async def stop(self) -> None:
        """End each connection after the requests in progress."""
        for connection in tuple(self._open):
            await connection.stop()

    async def admit(self, connection: OpenConnection) -> bool:
        """Add a connection, to be discarded at its end; at the limit one is closed.

        Returns false if that is the new one, as no other is idle.
        """
        closed = self._longest_idle() or connection if len(self._open) >= self._limit else None
        if closed is not None:
            self._report(closed, self._limit)
            self._open.discard(closed)
        if closed is not connection:
            self._open.add(connection)
        if closed is not None:
            await trio.aclose_forcefully(closed.stream)
        return closed is not connection

    def discard(self, connection: OpenConnection) -> None:
        """Count a connection no longer."""
        self._open.discard(connection)

    def _longest_idle(self) -> OpenConnection | None:
        idle = [(each.idle_since, each) for each in self._open if each.idle_since is not None]
        return min(idle, key=lambda pair: pair[0])[1] if idle else None
