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

_DISCARD_SECONDS = 1.0
"""How long the rest of a refused body is read, so that the client receives the refusal."""

_DISCONNECT = {"type": "http.disconnect"}


class BoundedApplication:
    """Serves an application's requests while all bodies together are within a limit."""

    def __init__(
        self,
        application: AsgiApplication,
        render: Callable[[Failure], HttpAnswer],
        total_bytes: int = LEAST_TOTAL_BYTES,
    ) -> None:
        self._application = application
        self._render = render
        self._bodies = BodyPool(total_bytes, total_bytes)
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
        body = _CountedBody(receive, PooledReservation(self._bodies))
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
    """A request's body, counted as it arrives; a refused one looks like one of a lost client."""

    def __init__(self, receive: Receive, reservation: PooledReservation) -> None:
        self.reservation = reservation
        self.refusal: Failure | None = None
        self._receive = receive

    async def receive(self) -> AsgiMessage:
        """Return the next part of the body, or that the client has disconnected."""
        if self.refusal is not None:
            return dict(_DISCONNECT)
        message = await self._receive()
        self.refusal = self.reservation.add(len(message.get("body", b"")))
        return message if self.refusal is None else dict(_DISCONNECT)
