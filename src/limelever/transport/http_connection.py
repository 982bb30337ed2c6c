"""One HTTP connection: hypercorn's, mended where a client could hold it open for nothing.

hypercorn keeps a connection whose client has left until its keep-alive time is over, and sends
without a time limit, shielded from cancellation: a client that reads nothing would keep its
connection for ever, and the process from stopping.
"""

from __future__ import annotations

from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

SEND_SECONDS = 30.0
SLOWEST_BYTES_PER_SECOND = 64 * 1024
"""A client that takes what it is sent more slowly, after ``SEND_SECONDS``, is cut off."""

_CLOSE_SECONDS = 2.0


class HttpConnection(TCPServer):
    """Serves one connection, and knows since when it is idle.

    It is idle while no request on it is under way: at first, and between two requests.
    """

    def __init__(
        self, application: ASGIWrapper, config: Config, context: WorkerContext, stream: Any
    ) -> None:
        super().__init__(application, config, context, ConnectionState({}), stream)
        self.idle_since: float | None = trio.current_time()
        self._client_left = False

    async def protocol_send(self, event: Event) -> None:
        """Carry out what hypercorn's protocol class asks for."""
        if isinstance(event, RawData):
            await self._send(event.data)
            return
        if isinstance(event, Updated):
            self.idle_since = trio.current_time() if event.idle else None
            if self._client_left:
                return
        await super().protocol_send(event)

    async def _send(self, data: bytes) -> None:
        limit = SEND_SECONDS + len(data) / SLOWEST_BYTES_PER_SECOND
        async with self.send_lock:
            try:
                with trio.fail_after(limit):
                    await self.stream.send_all(data)
                return
            except trio.TooSlowError:
                await trio.aclose_forcefully(self.stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        await self.protocol.handle(Closed())

    async def _read_data(self) -> None:
        await super()._read_data()
        self._client_left = True
        await self.idle_task.stop()

    async def _close(self) -> None:
        """Close; TLS says goodbye to the client, which need not listen."""
        with trio.move_on_after(_CLOSE_SECONDS):
            await super()._close()
