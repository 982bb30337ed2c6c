"""Trio shell for attempts: HTTP/1.1 to the back end beside the agent, over kept connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httpcore
import trio

from limelever.agent.headers import end_to_end, request_headers
from limelever.agent.interface import AttemptAnswered, AttemptFailed, StartAttempt
from limelever.agent.settings import BackendSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Event
from limelever.common.settings import seconds

_FIRST_BYTES = "http11.send_request_headers.started"
_CLIENT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    OSError,
)


@dataclass(slots=True)
class _Attempt:
    scope: trio.CancelScope
    sent_any_byte: bool = False

    async def trace(self, name: str, _info: dict[str, Any]) -> None:
        """Note the moment from which bytes of the request may have left."""
        if name == _FIRST_BYTES:
            self.sent_any_byte = True


class Backend:
    """Carries attempts out; ``post`` gets exactly one event for each of them.

    An attempt is never sent a second time here: a kept connection that breaks under a request
    is reported, and whoever knows whether the call may be repeated decides.
    """

    def __init__(
        self, settings: BackendSettings, nursery: trio.Nursery, post: Callable[[Event], None]
    ) -> None:
        self._settings = settings
        self._nursery = nursery
        self._post = post
        self._host = str(settings.address).encode()
        self._attempts: dict[int, _Attempt] = {}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=settings.connections,
            max_keepalive_connections=settings.connections,
            keepalive_expiry=seconds(settings.keepalive_ms),
            http1=True,
            http2=False,
            retries=0,
        )

    def start(self, output: StartAttempt) -> None:
        """Begin an attempt in the background."""
        attempt = _Attempt(trio.CancelScope())
        self._attempts[output.attempt] = attempt
        self._nursery.start_soon(self._run, output, attempt)

    def cancel(self, attempt: int) -> None:
        """Close an attempt's request; its event still follows. Unknown numbers are ignored."""
        running = self._attempts.get(attempt)
        if running is not None:
            running.scope.cancel()

    async def probe(self, path: str, timeout: float) -> bool:
        """Return whether a health probe is answered with a 2xx status within ``timeout``."""
        with trio.move_on_after(timeout):
            try:
                answer = await self._pool.handle_async_request(self._request(path.encode()))
                try:
                    await self._read(answer)
                finally:
                    await answer.aclose()
                return bool(200 <= answer.status < 300)
            except _CLIENT_ERRORS:
                return False
        return False

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _run(self, output: StartAttempt, attempt: _Attempt) -> None:
        event: Event | None = None
        with attempt.scope, trio.move_on_after(output.timeout) as timer:
            event = await self._exchange(output, attempt)
        if event is None:
            if timer.cancelled_caught:
                failure = Failure(ErrorKind.DEADLINE_EXCEEDED, "the back end did not answer")
            else:
                failure = Failure(ErrorKind.CANCELLED, "cancelled")
            event = AttemptFailed(output.attempt, failure, attempt.sent_any_byte)
        del self._attempts[output.attempt]
        self._post(event)

    async def _exchange(self, output: StartAttempt, attempt: _Attempt) -> Event:
        try:
            request = self._attempt_request(output, attempt)
            answer = await self._pool.handle_async_request(request)
            try:
                body = await self._read(answer)
            finally:
                await answer.aclose()
        except _CLIENT_ERRORS as error:
            kind = ErrorKind.BACKEND_FAILED
            reason = str(error) or type(error).__name__
            return AttemptFailed(output.attempt, Failure(kind, reason), attempt.sent_any_byte)
        if isinstance(body, Failure):
            return AttemptFailed(output.attempt, body, sent_any_byte=True)
        return AttemptAnswered(output.attempt, answer.status, end_to_end(answer.headers), body)

    async def _read(self, answer: httpcore.Response) -> bytes | Failure:
        body = bytearray()
        limit = self._settings.max_response_bytes
        async for part in answer.aiter_stream():
            body += part
            if len(body) > limit:
                return Failure(ErrorKind.BACKEND_FAILED, f"answer over {limit} bytes")
        return bytes(body)

    def _attempt_request(self, output: StartAttempt, attempt: _Attempt) -> httpcore.Request:
        return self._request(
            output.target,
            output.method,
            request_headers(output.headers, self._host, output.body),
            output.body,
            attempt,
        )

    def _request(
        self,
        target: bytes,
        method: bytes = b"GET",
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes = b"",
        attempt: _Attempt | None = None,
    ) -> httpcore.Request:
        address = self._settings.address
        extensions: dict[str, Any] = {
            "timeout": {"connect": seconds(self._settings.connect_timeout_ms)}
        }
        if attempt is not None:
            extensions["trace"] = attempt.trace
        return httpcore.Request(
            method,
            httpcore.URL(
                scheme=b"http", host=address.host.encode(), port=address.port, target=target
            ),
            headers=headers if headers is not None else [(b"host", self._host)],
            content=body,
            extensions=extensions,
        )
