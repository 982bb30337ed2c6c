"""A TCP link with one-way delay that can be cut, or go silent in one direction.

The control port takes one command a line and answers ``ok`` or ``error``: ``delay SECONDS``,
``cut`` (drop open connections and refuse new ones), ``blackhole forward``, ``blackhole backward``
(bytes of that direction are swallowed, connections stay open), ``heal`` (undo both).
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

import trio

CHUNK_BYTES = 65536
CHUNKS_IN_FLIGHT = 1024
COMMAND_BYTES = 4096
STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Direction(StrEnum):
    """Direction of bytes, as the dialling side sees it."""

    FORWARD = "forward"
    BACKWARD = "backward"


@dataclass(frozen=True, slots=True)
class DelayLinkSettings:
    """Ports of one link; ``delay`` is one way, in seconds."""

    listen_port: int
    target_port: int
    control_port: int
    delay: float = 0.0
    host: str = "127.0.0.1"
    target_host: str = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class _Chunk:
    due: float
    data: bytes


class DelayLink:
    """Forwards connections through its present delay, cuts and black holes."""

    def __init__(self, settings: DelayLinkSettings) -> None:
        self._settings = settings
        self._delay = settings.delay
        self._cut = False
        self._silent: set[Direction] = set()
        self._open: set[trio.CancelScope] = set()

    async def forward(self, client: trio.SocketStream) -> None:
        """Carry one connection until either side ends or the link is cut."""
        if self._cut:
            return
        with trio.CancelScope() as scope:
            self._open.add(scope)
            try:
                await self._join(client)
            except* STREAM_ERRORS:
                pass
            finally:
                self._open.discard(scope)

    async def _join(self, client: trio.SocketStream) -> None:
        settings = self._settings
        target = await trio.open_tcp_stream(settings.target_host, settings.target_port)
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, client, target, Direction.FORWARD)
            nursery.start_soon(self._pump, target, client, Direction.BACKWARD)

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, direction: Direction
    ) -> None:
        sender, receiver = trio.open_memory_channel[_Chunk](CHUNKS_IN_FLIGHT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._deliver, receiver, sink, direction)
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
    ) -> None:
        async for chunk in receiver:
            await trio.sleep_until(chunk.due)
            if direction not in self._silent:
                await sink.send_all(chunk.data)
        if direction not in self._silent:
            await sink.send_eof()

    def command(self, line: str) -> bool:
        """Carry out one control command; return whether it was understood."""
        words = line.split()
        match words:
            case ["delay", seconds]:
                return self._set_delay(seconds)
            case ["cut"]:
                self._cut = True
                for scope in tuple(self._open):
                    scope.cancel()
            case ["blackhole", ("forward" | "backward") as name]:
                self._silent.add(Direction(name))
            case ["heal"]:
                self._cut = False
                self._silent.clear()
            case _:
                return False
        return True

    def _set_delay(self, seconds: str) -> bool:
        try:
            self._delay = float(seconds)
        except ValueError:
            return False
        return True

    async def control(self, stream: trio.SocketStream) -> None:
        """Serve one control connection, a command a line."""
        pending = b""
        while len(pending) < COMMAND_BYTES:
            data = await stream.receive_some(COMMAND_BYTES)
            if not data:
                return
            pending += data
            *lines, pending = pending.split(b"\n")
            for line in lines:
                understood = self.command(line.decode(errors="replace"))
                await stream.send_all(b"ok\n" if understood else b"error\n")


def _guarded(
    handler: Callable[[trio.SocketStream], Awaitable[None]],
) -> Callable[[trio.SocketStream], Awaitable[None]]:
    async def handle(stream: trio.SocketStream) -> None:
        try:
            await handler(stream)
        except* STREAM_ERRORS:
            pass

    return handle


async def serve_delay_link(settings: DelayLinkSettings, stop: trio.Event) -> None:
    """Run the link and its control port until ``stop`` is set."""
    link = DelayLink(settings)
    forwarding = await trio.open_tcp_listeners(settings.listen_port, host=settings.host)
    control = await trio.open_tcp_listeners(settings.control_port, host=settings.host)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, _guarded(link.forward), forwarding)
        nursery.start_soon(trio.serve_listeners, _guarded(link.control), control)
        await stop.wait()
        nursery.cancel_scope.cancel()


async def send_command(host: str, control_port: int, command: str) -> bool:
    """Send one command to a link's control port; return whether it was understood."""
    stream = await trio.open_tcp_stream(host, control_port)
    async with stream:
        await stream.send_all(command.encode() + b"\n")
        answer = await stream.receive_some(COMMAND_BYTES)
    return answer == b"ok\n"
