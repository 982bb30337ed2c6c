"""Accepted connections that trio's accept loop can close without a turn of the loop.

The loop closes each connection once more after its handler has; a plain socket's own close waits a
turn or two for nothing then, and callers open many connections for few requests each.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import trio

from limelever.transport.streams import close_at_once

StreamT = TypeVar("StreamT", bound=trio.abc.AsyncResource)


class Accepted(trio.abc.AsyncResource, Generic[StreamT]):
    """A connection as it was accepted; ``stream`` is for its handler."""

    def __init__(self, stream: StreamT) -> None:
        self.stream = stream

    async def aclose(self) -> None:
        """Close the stream at once."""
        await close_at_once(self.stream)


class AcceptingListener(trio.abc.Listener[Accepted[StreamT]]):
    """Accepts what another listener accepts."""

    def __init__(self, listener: trio.abc.Listener[StreamT]) -> None:
        self._listener = listener

    async def accept(self) -> Accepted[StreamT]:
        """Wait for the next connection."""
        return Accepted(await self._listener.accept())

    async def aclose(self) -> None:
        """Close the other listener."""
        await self._listener.aclose()
