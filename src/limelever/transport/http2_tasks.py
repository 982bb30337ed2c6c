"""Tasks of an HTTP/2 connection's requests.

hypercorn waits without end to pass a request's next part to an application that has ended without
reading what came before, and to tell it that the client has left.
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

        threads = (trio.to_thread.run_sync, trio.from_thread.run)
        self.spawn(_handle, run, config, scope, queue.receive, send, *threads)
        return queue.put


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
