"""Limits on the bodies of an ASGI application's requests and responses over HTTP/2.

Over HTTP/1.1 ``AsgiHandler`` applies them. Flow control bounds what a client may send unasked, but
an application that reads a body whole keeps it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_messages import HttpAnswer
from limelever.transport.asgi import (
    LEAST_TOTAL_BYTES,
    AsgiApplication,
    AsgiMessage,
    Receive,
    Send,
)
from limelever.transport.body_reservation import (
    RETRY_AFTER_SECONDS,
    BodyPool,
    PooledReservation,
)
from limelever.transport.http_limits import BODY_SECONDS

_DISCARD_SECONDS = 1.0
"""How long the rest of a refused body is read, so that the client receives the refusal."""

_DISCONNECT = {"type": "http.disconnect"}
_LATE = Failure(ErrorKind.DEADLINE_TOO_SHORT, "the body did not arrive in time")


class BoundedApplication:
    """Serves an application's requests while all bodies together are within a limit.

    A client has ``body_seconds`` to send a body.
    """

    def __init__(
        self,
        application: AsgiApplication,
        render: Callable[[Failure], HttpAnswer],
        total_bytes: int = LEAST_TOTAL_BYTES,
        body_seconds: float = BODY_SECONDS,
    ) -> None:
        self._application = application
        self._render = render
        self._bodies = BodyPool(total_bytes, total_bytes)
        self._body_seconds = body_seconds
        self._unread_bytes = 0

    async def serve(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            await self._application(scope, receive, send)
            return
        if self._unread_bytes > self._bodies.total_bytes:
            reason = "too many bytes of responses wait for clients to read them"
            failure = Failure(ErrorKind.OVERLOADED, reason, retry_after=RETRY_AFTER_SECONDS)
            await self._refuse(failure, receive, send)
            return
        body = _CountedBody(receive, PooledReservation(self._bodies), self._body_seconds)
        try:
            await self._application(scope, body.receive, self._counting(send))
        finally:
            body.reservation.release()
        if body.refusal is not None:
            await self._refuse(body.refusal, receive, send)

    def _counting(self, send: Send) -> Send:
        """Return ``send`` such that a response's bytes count until the client has read them."""

        async def counted(message: AsgiMessage) -> None:
            size = len(message.get("body", b""))
            self._unread_bytes += size
            try:
                await send(message)
            finally:
                self._unread_bytes -= size

        return counted

    async def _refuse(self, failure: Failure, receive: Receive, send: Send) -> None:
        answer = self._render(failure)
        headers = list(answer.headers)
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        await send({"type": "http.response.body", "body": answer.body, "more_body": True})
        with trio.move_on_after(_DISCARD_SECONDS):
            while (await receive()).get("more_body", False):
                pass
        await send({"type": "http.response.body", "body": b"", "more_body": False})


class _CountedBody:
    """A request's body, counted as it arrives; a refused one looks like one of a lost client.

    Only the time for which the application waits for the client counts against ``seconds``.
    """

    def __init__(self, receive: Receive, reservation: PooledReservation, seconds: float) -> None:
        self.reservation = reservation
        self.refusal: Failure | None = None
        self._receive = receive
        self._seconds_left = seconds
        self._ended = False

    async def receive(self) -> AsgiMessage:
        """Return the next part of the body, or that the client has disconnected."""
        if self.refusal is None:
            message = await (self._receive() if self._ended else self._receive_in_time())
            if self.refusal is None:
                return message
        return dict(_DISCONNECT)

    async def _receive_in_time(self) -> AsgiMessage:
        """Return the next part of the body; note why the body is refused, if it is."""
        since = trio.current_time()
        with trio.move_on_after(self._seconds_left):
            message = await self._receive()
            self._seconds_left -= trio.current_time() - since
            self._ended = not message.get("more_body", False)
            self.refusal = self.reservation.add(len(message.get("body", b"")))
            return message
        self.refusal = _LATE
        return dict(_DISCONNECT)
