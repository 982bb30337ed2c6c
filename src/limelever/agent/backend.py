"""Trio shell for attempts: HTTP/1.1 to the back end beside the agent, over kept connections."""

from __future__ import annotations

from collections.abc import Callable

import trio
from msgspec import Struct

from limelever.agent.answer_checks import is_of_request, refusal_of, unfounded_promise
from limelever.agent.answer_reader import AnswerReader
from limelever.agent.connections import BackendConnection, BackendConnections, keep_alive_seconds
from limelever.agent.headers import encode_request, request_headers
from limelever.agent.health_response import InstanceIdentity, parse_instance_identity
from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    BackendChecked,
    CancelAttempt,
    CheckBackend,
    StartAttempt,
)
from limelever.agent.load_header import pace_in
from limelever.agent.settings import BackendSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, Headers, end_to_end
from limelever.common.http_messages import HttpAnswer
from limelever.common.sansio import Event, Output
from limelever.transport.streams import reason_of, receive, send_without_waiting

_MILLISECONDS = 1000
DEFAULT_NAMES = HeaderNames()
_GET = b"GET"
_RECEIVE_BYTES = 1 << 16
CHECK_SECONDS = 0.15
"""Time that a connection to the machine's own back end has to open; some hundred times the usual,
so that a process that is held up is not taken for a silent one."""

_BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)


class _Attempt(Struct):
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

    def carry_out(self, output: Output) -> None:
        """Do what the core asks of its back end; other outputs are not meant for it."""
        match output:
            case StartAttempt():
                self.start(output)
            case CancelAttempt(attempt):
                self.cancel(attempt)
            case CheckBackend(close_idle):
                self._nursery.start_soon(self._check, close_idle)

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
        answer = await self._ask(path, timeout)
        return answer is not None and 200 <= answer.status < 300

    async def find_instance(self, path: str, timeout: float) -> InstanceIdentity | None:
        """Return the instance that answers a health probe, if it is well and names itself."""
        answer = await self._ask(path, timeout)
        return parse_instance_identity(answer, self._names) if answer is not None else None

    def close(self) -> None:
        """Close the connections that no attempt uses."""
        self._connections.close()

    async def _ask(self, path: str, timeout: float) -> HttpAnswer | None:
        """Return the answer to a health probe, ``None`` if there is none within ``timeout``."""
        with trio.move_on_after(timeout):
            connection = await self._connections.acquire()
            if isinstance(connection, Failure):
                return None
            request = encode_request(_GET, path.encode(), [(b"host", self._host)], b"")
            try:
                answer = await self._converse(connection, _GET, request)
            finally:
                self._connections.release(connection)
            return None if isinstance(answer, Failure) else answer
        return None

    async def _check(self, close_idle: bool) -> None:
        if close_idle:
            self._connections.close()
        self._post(BackendChecked(await self._connections.try_new(CHECK_SECONDS)))

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
        finally:
            self._connections.release(connection)

    async def _exchange(
        self, output: StartAttempt, connection: BackendConnection, left_ms: int
    ) -> Event:
        headers = request_headers(output, self._host, left_ms, self._names, self._instance)
        request = encode_request(output.method, output.target, headers, output.body)
        answer = await self._converse(connection, output.method, request)
        if isinstance(answer, Failure):
            return AttemptFailed(
                output.attempt, answer, sent_any_byte=True, connection_ended=connection.ended
            )
        connection.keep = min(connection.keep, keep_alive_seconds(answer.headers))
        headers_kept = end_to_end(answer.headers)
        return self._judged(output, connection, answer.status, headers_kept, answer.body)

    async def _converse(
        self, connection: BackendConnection, method: bytes, request: bytes
    ) -> HttpAnswer | Failure:
        """Send a request and return its whole answer.

        An answer may come before a long request is sent whole; the connection is given up then.
        """
        reader = AnswerReader(method, self._settings.max_response_bytes)
        rest = request[send_without_waiting(connection.stream, request) :]
        if not rest:
            await _read_answer(connection, reader)
            connection.reusable = reader.reusable
        else:
            async with trio.open_nursery() as nursery:
                sent = trio.Event()
                nursery.start_soon(_send_rest, connection, rest, sent)
                await _read_answer(connection, reader)
                connection.reusable = reader.reusable and sent.is_set()
                nursery.cancel_scope.cancel()
        connection.ended = reader.connection_ended
        if reader.answer is not None:
            return reader.answer
        assert reader.failure is not None
        return reader.failure

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
            connection.reusable = False
            failure = Failure(ErrorKind.BACKEND_FAILED, "the answer belongs to another request")
            return AttemptFailed(output.attempt, failure, sent_any_byte=True)
        refusal = refusal_of(status, headers, self._names)
        if refusal is not None:
            return AttemptFailed(output.attempt, refusal, sent_any_byte=True, refused=True)
        unfounded = unfounded_promise(status, self._names)
        if unfounded is not None:
            return AttemptFailed(output.attempt, unfounded, sent_any_byte=True)
        pace = pace_in(headers, self._names)
        return AttemptAnswered(output.attempt, status, headers, body, pace)


async def _read_answer(connection: BackendConnection, reader: AnswerReader) -> None:
    while not reader.ended:
        try:
            data = await receive(connection.stream, _RECEIVE_BYTES)
        except _BROKEN as error:
            reader.broken(reason_of(error))
            return
        if data:
            reader.feed(data)
        else:
            reader.closed()


async def _send_rest(connection: BackendConnection, rest: bytes, sent: trio.Event) -> None:
    """Send the rest of a request; a break is left to the reader, an answer may have come first."""
    try:
        await connection.stream.send_all(rest)
    except _BROKEN:
        return
    sent.set()


def _left_ms(attempt: _Attempt) -> int:
    left = attempt.scope.deadline - trio.current_time()
    return max(1, int(left * _MILLISECONDS))


def _ended(attempt: _Attempt) -> Failure:
    if attempt.cancelled:
        return Failure(ErrorKind.CANCELLED, "cancelled")
    return Failure(ErrorKind.DEADLINE_EXCEEDED, "the back end did not answer")
