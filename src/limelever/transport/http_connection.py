"""One HTTP connection: hypercorn's, mended where a client could hold it open for nothing.

hypercorn keeps a connection whose client has left until its keep-alive time is over, and for
ever when HTTP/2's flow control holds an answer back. It sends without a time limit, shielded
from cancellation: a client that reads nothing would keep its connection and the answer's memory
for ever, and the process from stopping.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import h11
import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from limelever.transport.streams import send_without_waiting

AsgiApplication = Callable[..., Awaitable[None]]
AsgiMessage = dict[str, Any]
Send = Callable[[AsgiMessage], Awaitable[None]]

SEND_SECONDS = 30.0
SLOWEST_BYTES_PER_SECOND = 64 * 1024
"""A client that takes what it is sent more slowly, after ``SEND_SECONDS``, is cut off."""

_CLOSE_SECONDS = 2.0
_RECEIVE_BYTES = 1 << 16


class HttpConnection(TCPServer):
    """Serves one connection, and knows since when it is idle.

    It is idle while no request on it is under way: at first, and between two requests.
    """

    def __init__(
        self, application: AsgiApplication, config: Config, context: WorkerContext, stream: Any
    ) -> None:
        wrapped = ASGIWrapper(self._bounded(application))
        super().__init__(wrapped, config, context, ConnectionState({}), stream)
        self.idle_since: float | None = trio.current_time()
        self._became_idle = trio.Event()
        self._sending: set[trio.CancelScope] = set()
        self._client_left = False
        self._held_head = b""

    async def protocol_send(self, event: Event) -> None:
        """Carry out what hypercorn's protocol class asks for."""
        if isinstance(event, RawData):
            await self._send(event.data)
            return
        if isinstance(event, Updated):
            self._note_idle(event.idle)
            return
        if isinstance(event, Closed) and self._answer_under_way():
            return
        await super().protocol_send(event)

    def _answer_under_way(self) -> bool:
        """Return whether an HTTP/1 answer has begun and not ended; the connection closes after it.

        A client that sends on after an answer said that the connection closes is a breach for
        which hypercorn closes at once, in the midst of the answer.
        """
        connection = getattr(self.protocol.protocol, "connection", None)
        return getattr(connection, "our_state", None) is h11.SEND_BODY

    def _note_idle(self, idle: bool) -> None:
        """Tell the connection's one idle task; hypercorn would start a new one at each request."""
        self.idle_since = trio.current_time() if idle else None
        if idle:
            self._became_idle.set()

    async def _idle_timeout(self) -> None:
        """Close the connection once it was idle for long enough, or is idle at a stop."""
        while not await self._idle_to_the_end():
            pass
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()

    async def _idle_to_the_end(self) -> bool:
        """Wait through one time of idleness; return whether the connection is to be closed."""
        idle_since = self.idle_since
        if idle_since is None:
            self._became_idle = trio.Event()
            await self._became_idle.wait()
            return False
        limit = self.config.keep_alive_timeout
        with trio.move_on_at(idle_since + limit) as scope:
            await self.context.terminated.wait()
        if not scope.cancelled_caught:
            return self.idle_since is not None
        return self.idle_since == idle_since

    async def _send(self, data: bytes) -> None:
        """Send bytes; the head of an HTTP/1 answer waits for the first part of the body.

        An answer then is one system call and one packet where hypercorn would make three.
        """
        if not self._held_head and self._answer_under_way():
            self._held_head = data
            return
        data = self._held_head + data
        self._held_head = b""
        if not self.send_lock.locked():
            data = data[send_without_waiting(self.stream, data) :]
        if data:
            await self._send_waiting(data)

    async def _send_waiting(self, data: bytes) -> None:
        limit = _time_to_send(data)
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
        """Give hypercorn what the client sends; unlike there, with no timeout for each read."""
        while True:
            try:
                data = bytes(await self.stream.receive_some(_RECEIVE_BYTES))
            except (trio.ClosedResourceError, trio.BrokenResourceError):
                break
            await self.protocol.handle(RawData(data))
            if not data:
                break
        self._client_left = True
        await self.protocol.handle(Closed())
        await self.idle_task.stop()
        for scope in self._sending:
            scope.cancel()

    def _bounded(self, application: AsgiApplication) -> AsgiApplication:
        """Return the application with a bound on the time in which its answers are taken.

        HTTP/1 has no flow control of its own to wait for: there the bound of :meth:`_send` does,
        and a call is spared the price of a second one.
        """

        async def bounded(scope: dict[str, Any], receive: Any, send: Send) -> None:
            if scope["http_version"].startswith("1"):
                await application(scope, receive, send)
                return

            async def send_in_time(message: AsgiMessage) -> None:
                await self._send_in_time(send, message)

            await application(scope, receive, send_in_time)

        return bounded

    async def _send_in_time(self, send: Send, message: AsgiMessage) -> None:
        """Pass a part of an answer to hypercorn, which waits there for HTTP/2's flow control.

        Raises ``trio.BrokenResourceError`` once the client has left or takes it too slowly. What
        is sent after it has left is refused: nobody takes it from hypercorn's buffers any more.
        """
        if self._client_left:
            raise trio.BrokenResourceError("the client has left")
        with trio.move_on_after(_time_to_send(message.get("body", b""))) as scope:
            self._sending.add(scope)
            try:
                await send(message)
            finally:
                self._sending.discard(scope)
        if scope.cancelled_caught:
            await trio.aclose_forcefully(self.stream)
            await self.protocol.handle(Closed())
            raise trio.BrokenResourceError("the client does not take its answer")

    async def _close(self) -> None:
        """Close after the send under way; TLS says goodbye to the client, which need not listen."""
        try:
            with trio.move_on_after(_CLOSE_SECONDS):
                async with self.send_lock:
                    await super()._close()
        finally:
            await trio.aclose_forcefully(self.stream)


def _time_to_send(data: bytes) -> float:
    """Return how many seconds a client has to take ``data``."""
    return SEND_SECONDS + len(data) / SLOWEST_BYTES_PER_SECOND
