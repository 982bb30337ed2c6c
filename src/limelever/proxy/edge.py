"""The HTTP edge towards callers: an ASGI application that hypercorn serves.

A thin shell: it reads a request whole within its bounds, gives it to the core, and sends the
core's one answer. HTTP/1.1 and HTTP/2, cleartext or TLS, are hypercorn's work, under the guard
of ``transport.http_guard``: no caller can end the process or hold a connection for nothing.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, Headers
from limelever.common.sansio import Address, Event
from limelever.proxy.answers import render_answer
from limelever.proxy.call_types import (
    AnswerCall,
    CallAnswer,
    CallArrived,
    CallerGone,
    CallRequest,
)
from limelever.proxy.edge_listener import serve_callers
from limelever.proxy.request_checks import check_request
from limelever.proxy.requests import (
    declared_length,
    headers_size,
    parse_request,
)
from limelever.proxy.settings import EdgeSettings

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

BODY_TIMEOUT = 30.0
"""Seconds a caller has to send its body."""

DISCARD_TIMEOUT = 1.0
"""Seconds for which the rest of a refused body is read, so that the caller sees the refusal."""

ANSWERS_LIMIT_BYTES = 32 * 1024 * 1024
"""Bytes of answers that callers have not yet taken; while more wait, new calls are refused.

A caller that takes nothing at all is cut off by the listener in the end.
"""

OVERLOAD_RETRY_AFTER = 1.0
HTTP_2 = "2"
DEFAULT_NAMES = HeaderNames()
_CLOSE = (b"connection", b"close")


@dataclass(slots=True)
class _Waiting:
    """A request whose answer is awaited; cancelling the scope wakes its task."""

    scope: trio.CancelScope
    answer: CallAnswer | Failure | None = None


@dataclass(frozen=True, slots=True)
class _CallerLeft:
    """Sentinel: the caller left before its request was read whole."""


class Edge:
    """Accepts callers' requests; ``post`` gives events to the core."""

    def __init__(
        self,
        settings: EdgeSettings,
        post: Callable[[Event], None],
        names: HeaderNames = DEFAULT_NAMES,
    ) -> None:
        self._settings = settings
        self._names = names
        self._leaving = False
        self._post = post
        self._waiting: dict[int, _Waiting] = {}
        self._last_call = 0
        self._buffered = 0
        self._untaken = 0
        self._stopping = trio.Event()

    def answer(self, output: AnswerCall) -> None:
        """Pass the core's answer to the request that waits for it."""
        waiting = self._waiting.get(output.call)
        if waiting is not None:
            waiting.answer = output.answer
            waiting.scope.cancel()

    def leave(self) -> None:
        """Close each connection after its next answer; new ones are still taken."""
        self._leaving = True

    def stop(self) -> None:
        """Stop listening; requests already in are answered."""
        self._stopping.set()

    async def serve(
        self,
        stop_limit: float,
        task_status: trio.TaskStatus[Address | Failure] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until :meth:`stop` and until what was in is answered, ``stop_limit`` s at most.

        Reports the bound address, or why there is none, to ``task_status``.
        """
        await serve_callers(
            self.application, self._settings, self._stopping, stop_limit, task_status
        )

    async def application(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "http":
            await self._serve_request(scope, receive, send)
        else:
            await send({"type": "websocket.close", "code": 1003})

    async def _serve_request(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        headers: Headers = tuple((name, value) for name, value in scope["headers"])
        in_doubt = check_request(scope, headers)
        if in_doubt is not None:
            await self._refuse(scope, in_doubt, receive, send, close=True)
            return
        reserved = _Reservation(self)
        try:
            body = await self._read_body(headers, receive, reserved)
            if isinstance(body, _CallerLeft):
                return
            if isinstance(body, Failure):
                await self._refuse(scope, body, receive, send)
                return
            request = parse_request(scope, headers, body, self._names)
            answer = request if isinstance(request, Failure) else await self._call(request, receive)
        finally:
            reserved.release()
        if answer is not None:
            await self._send(scope, self._rendered(answer), send, more=False)

    async def _call(self, request: CallRequest, receive: Receive) -> CallAnswer | Failure | None:
        """Return the core's answer, or ``None`` when the caller left before."""
        self._last_call += 1
        number = self._last_call
        waiting = self._waiting[number] = _Waiting(trio.CancelScope())
        try:
            self._post(CallArrived(number, request))
            while waiting.answer is None:
                with waiting.scope:
                    message = await receive()
                    if message["type"] == "http.disconnect" and waiting.answer is None:
                        self._post(CallerGone(number))
                        return None
            return waiting.answer
        finally:
            del self._waiting[number]

    async def _read_body(
        self, headers: Headers, receive: Receive, reserved: _Reservation
    ) -> bytes | Failure | _CallerLeft:
        refusal = self._check_size(headers)
        if refusal is not None:
            return refusal
        chunks: list[bytes] = []
        with trio.move_on_after(BODY_TIMEOUT):
            while True:
                message = await receive()
                if message["type"] != "http.request":
                    return _CallerLeft()
                data: bytes = message.get("body", b"")
                if data:
                    refusal = reserved.add(len(data))
                    if refusal is not None:
                        return refusal
                    chunks.append(data)
                if not message.get("more_body", False):
                    return b"".join(chunks) if len(chunks) != 1 else chunks[0]
        return Failure(ErrorKind.DEADLINE_TOO_SHORT, "the body did not arrive in time")

    def _check_size(self, headers: Headers) -> Failure | None:
        if headers_size(headers) > self._settings.max_headers_bytes:
            limit = self._settings.max_headers_bytes
            return Failure(ErrorKind.HEADERS_TOO_LARGE, f"headers are over {limit} bytes")
        if self._untaken > ANSWERS_LIMIT_BYTES:
            reason = "callers are slow to take the answers that this proxy holds"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=OVERLOAD_RETRY_AFTER)
        return self.check_body(declared_length(headers), declared_length(headers))

    def check_body(self, size: int, added: int) -> Failure | None:
        """Return why a body of ``size`` bytes, ``added`` of them new, finds no room."""
        if size > self._settings.max_body_bytes:
            limit = self._settings.max_body_bytes
            return Failure(ErrorKind.BODY_TOO_LARGE, f"body is over {limit} bytes")
        if self._buffered + added > self._settings.buffered_bytes:
            reason = "the bodies of other calls fill this proxy's buffers"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=OVERLOAD_RETRY_AFTER)
        return None

    def count_buffered(self, added: int) -> None:
        """Count bytes of bodies that are held, or no longer held when negative."""
        self._buffered += added

    async def _refuse(
        self,
        scope: dict[str, Any],
        failure: Failure,
        receive: Receive,
        send: Send,
        *,
        close: bool = False,
    ) -> None:
        """Answer at once, then read on for a moment: a reset would destroy the answer."""
        await self._send(scope, self._rendered(failure), send, more=True, close=close)
        with trio.move_on_after(DISCARD_TIMEOUT):
            while (message := await receive())["type"] == "http.request":
                if not message.get("more_body", False):
                    break
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    def _rendered(self, answer: CallAnswer | Failure) -> CallAnswer:
        return render_answer(answer, self._settings.retry_after_decimals)

    async def _send(
        self,
        scope: dict[str, Any],
        answer: CallAnswer,
        send: Send,
        *,
        more: bool,
        close: bool = False,
    ) -> None:
        headers = answer.headers
        close = close or self._leaving or self._stopping.is_set()
        if close and scope["http_version"] != HTTP_2:
            headers = (*headers, _CLOSE)
        start = {"type": "http.response.start", "status": answer.status, "headers": headers}
        self._untaken += len(answer.body)
        try:
            await send(start)
            await send({"type": "http.response.body", "body": answer.body, "more_body": more})
        finally:
            self._untaken -= len(answer.body)


class _Reservation:
    """The bytes of one request's body that count against the edge's bound."""

    def __init__(self, edge: Edge) -> None:
        self._edge = edge
        self._bytes = 0

    def add(self, size: int) -> Failure | None:
        """Count ``size`` more bytes, or return why they find no room."""
        refusal = self._edge.check_body(self._bytes + size, size)
        if refusal is None:
            self._bytes += size
            self._edge.count_buffered(size)
        return refusal

    def release(self) -> None:
        """Give the bytes back."""
        self._edge.count_buffered(-self._bytes)
        self._bytes = 0
