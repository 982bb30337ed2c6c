"""One request to the back end and its response, within the budget of the process."""

from __future__ import annotations

from collections.abc import Callable

import trio

from limelever.agent.connection_pool import BackendConnection
from limelever.agent.response_parser import ResponseParser
from limelever.common.byte_budget import SMALL_BYTES, ByteBudget, Use
from limelever.common.errors import Failure
from limelever.common.http_messages import HttpAnswer
from limelever.transport.streams import reason_of, receive, send_parts_without_waiting

CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)

_RECEIVE_BYTES = 1 << 16


class BackendExchange:
    """Sends a request with ``body`` and receives its response.

    ``large_body_sent`` is called once a large body was sent and dropped. What the budget holds for
    the response is released by :meth:`release`.
    """

    def __init__(
        self, budget: ByteBudget, body: bytes, large_body_sent: Callable[[], None]
    ) -> None:
        self._budget = budget
        self._body = body
        self._large_body_sent = large_body_sent
        self._held_bytes = 0

    @property
    def body_bytes(self) -> int:
        """Return the size of the request's body, 0 once it was sent."""
        return len(self._body)

    def release(self) -> None:
        """Release what the budget holds for the response."""
        self._budget.release(Use.RESPONSE, self._held_bytes)
        self._held_bytes = 0

    async def round_trip(
        self, connection: BackendConnection, head: bytes, parser: ResponseParser
    ) -> HttpAnswer | Failure:
        """Send the request and return its complete response.

        A response may arrive before the request is sent completely; the connection is closed then.
        """
        try:
            await self._send_and_receive(connection, head, parser)
        finally:
            parser.close()
        connection.ended = parser.connection_ended
        if parser.response is not None:
            return parser.response
        assert parser.failure is not None
        return parser.failure

    async def _send_and_receive(
        self, connection: BackendConnection, head: bytes, parser: ResponseParser
    ) -> None:
        unsent = send_parts_without_waiting(connection.stream, (head, self._body))
        if not unsent:
            self._drop_body()
            await self._receive(connection, parser)
            connection.reusable = parser.reusable
            return
        async with trio.open_nursery() as nursery:
            sent = trio.Event()
            nursery.start_soon(self._send_unsent, connection, unsent, sent)
            await self._receive(connection, parser)
            connection.reusable = parser.reusable and sent.is_set()
            nursery.cancel_scope.cancel()

    async def _send_unsent(
        self, connection: BackendConnection, unsent: list[memoryview], sent: trio.Event
    ) -> None:
        """Send the rest of a request; errors are left to the receiving side."""
        try:
            while unsent:
                await connection.stream.send_all(unsent[0])
                del unsent[0]
        except CONNECTION_ERRORS:
            return
        sent.set()
        self._drop_body()

    def _drop_body(self) -> None:
        """Drop the body of a request that was sent: an agent never sends it again."""
        is_large = len(self._body) > SMALL_BYTES
        self._body = b""
        if is_large:
            self._large_body_sent()

    async def _receive(self, connection: BackendConnection, parser: ResponseParser) -> None:
        """Receive the response; nothing is received until its body is reserved."""
        while not parser.finished:
            if parser.required_bytes > self._held_bytes:
                await self._hold(parser.required_bytes)
            try:
                data = await receive(connection.stream, _RECEIVE_BYTES)
            except CONNECTION_ERRORS as error:
                parser.handle_error(reason_of(error))
                return
            if data:
                parser.feed(data)
            else:
                parser.handle_close()

    async def _hold(self, size: int) -> None:
        """Reserve ``size`` bytes for the response, as soon as the budget allows."""
        added = size - self._held_bytes
        if not self._budget.take(Use.RESPONSE, added, self._held_bytes):
            granted = trio.Event()
            waiter = self._budget.wait(Use.RESPONSE, added, granted.set, self._held_bytes)
            try:
                await granted.wait()
            except trio.Cancelled:
                if granted.is_set():
                    self._held_bytes = size
                self._budget.withdraw(waiter)
                raise
        self._held_bytes = size
