"""Trio shell for attempts: HTTP/1.1 to the back end beside the agent, over kept connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httpcore
import trio

from limelever.agent.answer_checks import is_of_request, refusal_of, unfounded_promise
from limelever.agent.connections import BackendConnection, BackendConnections, keep_alive_seconds
from limelever.agent.headers import request_headers
from limelever.agent.interface import AttemptAnswered, AttemptFailed, StartAttempt
from limelever.agent.settings import BackendSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, Headers, end_to_end
from limelever.common.sansio import Event

_MILLISECONDS = 1000
DEFAULT_NAMES = HeaderNames()
_CLIENT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    OSError,
)


@dataclass(slots=True)
class _Attempt:
    """A request under way; its scope ends at the attempt's deadline."""

    scope: trio.CancelScope
    cancelled: bool = False
    sent_any_byte: bool = False


class Backend:
    """Carries attempts out; ``post`` gets exactly one event for each of them.

    An attempt is never sent a second time here: a kept connection that breaks under a request
    is reported, and whoever knows whether the call may be repeated decides.
    """

    def __init__(
        self,
        settings: BackendSettings,
        nursery: trio.Nursery,
        post: Callable[[Event], None],
        names: HeaderNames = DEFAULT_NAMES,
        instance: bytes = b"",
    ) -> None:
        self._settings = settings
        self._names = names
        self._instance = instance
        self._nursery = nursery
        self._post = post
        self._host = str(settings.address).encode()
        self._attempts: dict[int, _Attempt] = {}
        self._connections = BackendConnections(settings)

    def start(self, output: StartAttempt) -> None:
        """Begin an attempt in the background."""
        deadline = trio.current_time() + output.timeout
        attempt = _Attempt(trio.CancelScope(deadline=deadline))
        self._attempts[output.attempt] = attempt
        self._nursery.start_soon(self._run, output, attempt)

    def cancel(self, attempt: int) -> None:
        """Close an attempt's request; its event still follows. Unknown numbers are ignored."""
        running = self._attempts.get(attempt)
        if running is not None:
            running.cancelled = True
            running.scope.cancel()

    async def probe(self, path: str, timeout: float) -> bool:
        """Return whether a health probe is answered with a 2xx status within ``timeout``."""
        with trio.move_on_after(timeout):
            connection = await self._connections.acquire()
            if isinstance(connection, Failure):
                return False
            request = self._request(path.encode(), b"GET", [(b"host", self._host)], b"")
            try:
                answer = await connection.http.handle_async_request(request)
                await self._read(answer)
            except _CLIENT_ERRORS:
                return False
            finally:
                self._connections.release(connection)
            return bool(200 <= answer.status < 300)
        return False

    def close(self) -> None:
        """Close the connections that no attempt uses."""
        self._connections.close()

    async def _run(self, output: StartAttempt, attempt: _Attempt) -> None:
        event: Event | None = None
        with attempt.scope:
            event = await self._attempt(output, attempt)
        if event is None:
            event = AttemptFailed(output.attempt, _ended(attempt), attempt.sent_any_byte)
        del self._attempts[output.attempt]
        self._post(event)

    async def _attempt(self, output: StartAttempt, attempt: _Attempt) -> Event:
        connection = await self._connections.acquire()
        if isinstance(connection, Failure):
            return AttemptFailed(output.attempt, connection, sent_any_byte=False)
        attempt.sent_any_byte = True
        try:
            return await self._exchange(output, connection, _left_ms(attempt))
        except _CLIENT_ERRORS as error:
            failure = Failure(ErrorKind.BACKEND_FAILED, str(error) or type(error).__name__)
            return AttemptFailed(output.attempt, failure, sent_any_byte=True)
        finally:
            self._connections.release(connection)

    async def _exchange(
        self, output: StartAttempt, connection: BackendConnection, left_ms: int
    ) -> Event:
        headers = request_headers(
            output.headers, self._host, output.body, left_ms, self._names, self._instance
        )
        request = self._request(output.target, output.method, headers, output.body)
        answer = await connection.http.handle_async_request(request)
        body = await self._read(answer)
        if isinstance(body, Failure):
            return AttemptFailed(output.attempt, body, sent_any_byte=True)
        connection.keep = min(connection.keep, keep_alive_seconds(answer.headers))
        return self._judged(output, connection, answer.status, end_to_end(answer.headers), body)

    def _judged(
        self,
        output: StartAttempt,
        connection: BackendConnection,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> Event:
        """Return what a whole answer means for the attempt."""
        if not is_of_request(output.headers, headers, self._names):
            connection.sound = False
            failure = Failure(ErrorKind.BACKEND_FAILED, "the answer belongs to another request")
            return AttemptFailed(output.attempt, failure, sent_any_byte=True)
        refusal = refusal_of(status, headers, self._names)
        if refusal is not None:
            return AttemptFailed(output.attempt, refusal, sent_any_byte=True, refused=True)
        unfounded = unfounded_promise(status, self._names)
        if unfounded is not None:
            return AttemptFailed(output.attempt, unfounded, sent_any_byte=True)
        return AttemptAnswered(output.attempt, status, headers, body)

    async def _read(self, answer: httpcore.Response) -> bytes | Failure:
        """Return the whole body; only then may the connection carry another request."""
        body = bytearray()
        limit = self._settings.max_response_bytes
        async for part in answer.aiter_stream():
            body += part
            if len(body) > limit:
                return Failure(ErrorKind.BACKEND_FAILED, f"answer over {limit} bytes")
        await answer.aclose()
        return bytes(body)

    def _request(
        self, target: bytes, method: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> httpcore.Request:
        address = self._settings.address
        url = httpcore.URL(
            scheme=b"http", host=address.host.encode(), port=address.port, target=target
        )
        return httpcore.Request(method, url, headers=headers, content=body)


def _left_ms(attempt: _Attempt) -> int:
    left = attempt.scope.deadline - trio.current_time()
    return max(1, int(left * _MILLISECONDS))


def _ended(attempt: _Attempt) -> Failure:
    if attempt.cancelled:
        return Failure(ErrorKind.CANCELLED, "cancelled")
    return Failure(ErrorKind.DEADLINE_EXCEEDED, "the back end did not answer")
