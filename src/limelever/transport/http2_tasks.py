"""Tasks of an HTTP/2 connection's requests.

hypercorn waits without end to pass a request's next part to an application that has ended without
reading what came before, and to tell it that the client has left. It also waits without end to
send the response of an application that has ended without one, when the connection has ended.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio.task_group import TaskGroup, _handle

from limelever.transport.asgi import AsgiApplication, AsgiMessage


class RequestTasks(TaskGroup):
    """Runs each request in a task that reads the request's parts from a queue."""

    def __init__(self) -> None:
        super().__init__()
        self._over = False
        self._ending: set[trio.CancelScope] = set()

    def stop_waiting(self) -> None:
        """End the waits for responses to be sent whole: the connection is over."""
        self._over = True
        for scope in self._ending:
            scope.cancel()

    async def spawn_app(
        self, app: AsgiApplication, config: Config, scope: Any, send: Callable[..., Any]
    ) -> Callable[[Any], Awaitable[None]]:
        """Start a request; return what passes its parts to the application."""
        queue = _PartQueue(config.max_app_queue_size)

        async def run(*arguments: Any) -> None:
            try:
                await app(*arguments)
            finally:
                queue.abandon()

        async def send_or_end(message: AsgiMessage | None) -> None:
            if message is None:
                await self._end(send)
            else:
                await send(message)

        threads = (trio.to_thread.run_sync, trio.from_thread.run)
        self.spawn(_handle, run, config, scope, queue.receive, send_or_end, *threads)
        return queue.put

    async def _end(self, send: Callable[[None], Awaitable[None]]) -> None:
        """End a request whose application has ended; its response may have to be sent yet."""
        if self._over:
            return
        with trio.CancelScope() as scope:
            self._ending.add(scope)
            try:
                await send(None)
            finally:
                self._ending.discard(scope)


class _PartQueue:
    """Parts of a request that its application hasn't read."""

    def __init__(self, size: int) -> None:
        self._sender, self._receiver = trio.open_memory_channel[AsgiMessage](size)
        self._disconnect: AsgiMessage = {}

    async def put(self, message: AsgiMessage) -> None:
        """Add a part when there is room, or drop it if the application has ended."""
        if message["type"].endswith(".disconnect"):
            self._disconnect = message
            self._sender.close()
            return
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._sender.send(message)

    async def receive(self) -> AsgiMessage:
        """Return the next part, or after the last one that the client has left."""
        try:
            return await self._receiver.receive()
        except trio.EndOfChannel:
            return self._disconnect

    def abandon(self) -> None:
        """Drop the parts: nobody reads them any more."""
        self._receiver.close()
