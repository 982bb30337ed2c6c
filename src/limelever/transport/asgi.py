"""ASGI applications: their types, and how one serves a listener's HTTP/1.1 requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote_to_bytes

import trio

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers
from limelever.common.http_messages import HttpAnswer, HttpRequest
from limelever.transport.body_reservation import (
    RETRY_AFTER_SECONDS,
    BodyPool,
    BodyReservation,
    PooledReservation,
)
from limelever.transport.events import REQUEST_FAULT
from limelever.transport.faults import fault_fields
from limelever.transport.http1_connection import Http1Connection
from limelever.transport.http_pipeline import Exchange
from limelever.transport.log import write_event

AsgiMessage = dict[str, Any]
Receive = Callable[[], Awaitable[AsgiMessage]]
Send = Callable[[AsgiMessage], Awaitable[None]]
AsgiApplication = Callable[..., Awaitable[None]]

LEAST_TOTAL_BYTES = 32 << 20
"""Bytes of all bodies, and of all responses that clients have not read, for each listener."""

MOST_AT_ONCE = 4
"""Requests of one connection in progress at once: no limit bounds the size of their responses."""

_TEXT = (b"content-type", b"text/plain; charset=utf-8")
_DISCONNECT = "http.disconnect"
_FAULT = Failure(ErrorKind.INTERNAL, "fault while the request was served")


def reporting(application: AsgiApplication) -> AsgiApplication:
    """Return the application with its faults reported; hypercorn answers 500 in silence.

    A connection that breaks under an answer is its client's matter, not a fault.
    """

    async def guarded(*arguments: Any) -> None:
        try:
            await application(*arguments)
        except trio.BrokenResourceError:
            return
        except Exception as error:
            write_event(REQUEST_FAULT, fault_fields(error))
            raise

    return guarded


class AsgiHandler:
    """Serves requests by an application, each in a task of its own."""

    def __init__(self, application: AsgiApplication, max_body_bytes: int) -> None:
        self._application = application
        total_bytes = max(max_body_bytes, LEAST_TOTAL_BYTES)
        self._bodies = BodyPool(max_body_bytes, total_bytes)
        self._untaken_bytes = 0
        self._conversations: dict[Exchange, _Conversation] = {}

    @property
    def leaving(self) -> bool:
        """Connections are kept as long as their clients like."""
        return False

    @property
    def most_at_once(self) -> int:
        """Responses may be large, and are counted only once they are whole."""
        return MOST_AT_ONCE

    def reserve_body(self, request: HttpRequest) -> BodyReservation | Failure:
        """Reserve memory within the limit on all bodies, or return why the request is refused."""
        if self._untaken_bytes > self._bodies.total_bytes:
            reason = "too many bytes of responses wait for clients to read them"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=RETRY_AFTER_SECONDS)
        return PooledReservation(self._bodies)

    def count_untaken(self, size: int) -> None:
        """Add to the count of response bytes; above the limit, further requests are refused."""
        self._untaken_bytes += size

    def render(self, failure: Failure) -> HttpAnswer:
        """Return a line of text."""
        return HttpAnswer(failure.answer.http_status, (_TEXT,), f"{failure.reason}\n".encode())

    def serve_request(self, connection: Http1Connection, exchange: Exchange) -> None:
        """Run the application for a request."""
        conversation = _Conversation(connection, exchange)
        self._conversations[exchange] = conversation
        connection.nursery.start_soon(self._run, conversation)

    def abandon(self, exchange: Exchange) -> None:
        """Tell the application that the client has left."""
        conversation = self._conversations.get(exchange)
        if conversation is not None:
            conversation.left.set()

    async def _run(self, conversation: _Conversation) -> None:
        try:
            await self._application(conversation.scope(), conversation.receive, conversation.send)
        except Exception as error:
            write_event(REQUEST_FAULT, fault_fields(error))
            conversation.give_up(self.render(_FAULT))
        finally:
            del self._conversations[conversation.exchange]


class _Conversation:
    """What one request and its application say to each other."""

    def __init__(self, connection: Http1Connection, exchange: Exchange) -> None:
        self.exchange = exchange
        self.left = trio.Event()
        self._connection = connection
        self._body_taken = False
        self._status = 0
        self._headers: Headers = ()
        self._body = bytearray()

    def scope(self) -> AsgiMessage:
        """Return the request's scope."""
        request = self.exchange.request
        path, _, query = request.target.partition(b"?")
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": request.version,
            "method": request.method.decode("ascii"),
            "scheme": "http",
            "path": unquote_to_bytes(path).decode("utf-8", "replace"),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": request.headers,
        }

    async def receive(self) -> AsgiMessage:
        """Return the body, which was read whole, and then the client's leaving."""
        if not self._body_taken:
            self._body_taken = True
            body = self.exchange.request.body
            return {"type": "http.request", "body": body, "more_body": False}
        await self.left.wait()
        return {"type": _DISCONNECT}

    async def send(self, message: AsgiMessage) -> None:
        """Take a part of the answer; it goes out once it is whole."""
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._headers = tuple((name.lower(), value) for name, value in message["headers"])
            return
        self._body += message.get("body", b"")
        if not message.get("more_body", False):
            answer = HttpAnswer(self._status, self._headers, bytes(self._body))
            self._connection.answer(self.exchange, answer)

    def give_up(self, answer: HttpAnswer) -> None:
        """Answer in the application's place."""
        self._connection.answer(self.exchange, answer)
