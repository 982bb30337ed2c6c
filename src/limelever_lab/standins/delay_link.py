"""A TCP link with one-way delay that can be cut, or go silent in one direction.

A connection on which bytes were swallowed is never carried on: TCP loses no bytes in the middle
of a stream, so healing the link closes such a connection.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import trio

CHUNK_BYTES = 65536
CHUNKS_IN_FLIGHT = 1024
STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Direction(StrEnum):
    """Direction of bytes, as the dialling side sees it."""

    FORWARD = "forward"
    BACKWARD = "backward"

    @property
    def opposite(self) -> Direction:
        """Return the other direction."""
        return Direction.BACKWARD if self is Direction.FORWARD else Direction.FORWARD


@dataclass(frozen=True, slots=True)
class _Chunk:
    due: float
    data: bytes


@dataclass(eq=False, slots=True)
class _Connection:
    """One connection; ``broken`` are the directions in which a byte of it was swallowed."""

    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    broken: set[Direction] = field(default_factory=set)


class DelayLink:
    """Forwards connections to a target through its delay (seconds), cuts and silences."""

    def __init__(self, target_host: str, target_port: int, delay: float) -> None:
        self._target_host = target_host
        self._target_port = target_port
        self._delay = delay
        self._cut = False
        self._silent: set[Direction] = set()
        self._open: set[_Connection] = set()
        self.swallowed_bytes = 0

    def cut(self) -> None:
        """Drop open connections, and close new ones at once."""
        self._cut = True
        for connection in self._open:
            connection.scope.cancel()

    def silence(self, direction: Direction) -> None:
        """Swallow the bytes of one direction; connections stay open."""
        self._silent.add(direction)

    def heal(self) -> None:
        """Undo cuts and silence."""
        self._cut = False
        self._silent.clear()
        for connection in self._open:
            if connection.broken:
                connection.scope.cancel()

    async def forward(self, client: trio.SocketStream) -> None:
        """Carry one connection until either side ends or the link is cut."""
        if self._cut:
            return
        connection = _Connection()
        self._open.add(connection)
        try:
            with connection.scope:
                await self._join(client, connection)
        except* STREAM_ERRORS:
            pass
        finally:
            self._open.discard(connection)

    async def _join(self, client: trio.SocketStream, connection: _Connection) -> None:
        target = await trio.open_tcp_stream(self._target_host, self._target_port)
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, client, target, Direction.FORWARD, connection)
            nursery.start_soon(self._pump, target, client, Direction.BACKWARD, connection)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: Direction,
        connection: _Connection,
    ) -> None:
        sender, receiver = trio.open_memory_channel[_Chunk](CHUNKS_IN_FLIGHT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._deliver, receiver, sink, direction, connection)
            async with sender:
                await self._collect(source, sender)

    async def _collect(
        self, source: trio.SocketStream, sender: trio.MemorySendChannel[_Chunk]
    ) -> None:
        while True:
            data = await source.receive_some(CHUNK_BYTES)
            if not data:
                return
            await sender.send(_Chunk(trio.current_time() + self._delay, bytes(data)))

    async def _deliver(
        self,
        receiver: trio.MemoryReceiveChannel[_Chunk],
        sink: trio.SocketStream,
        direction: Direction,
        connection: _Connection,
    ) -> None:
        async for chunk in receiver:
            await trio.sleep_until(chunk.due)
            if direction in self._silent:
                connection.broken.add(direction)
                self.swallowed_bytes += len(chunk.data)
            elif direction not in connection.broken:
                await sink.send_all(chunk.data)
        if direction in self._silent:
            connection.broken.add(direction)
        else:
            await sink.send_eof()
