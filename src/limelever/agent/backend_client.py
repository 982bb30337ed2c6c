"""HTTP/1.1 client for the backend beside the agent, with pooled connections; built on trio."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

import trio
from msgspec import Struct
from msgspec.structs import replace

from limelever.agent.backend_exchange import BackendExchange
from limelever.agent.connection_pool import (
    BackendConnection,
    BackendConnectionPool,
    keep_alive_seconds,
)
from limelever.agent.failures import DRAINING
from limelever.agent.headers import encode_request_head, request_headers
from limelever.agent.health_response import (
    InstanceIdentity,
    ProbeResult,
    parse_instance_identity,
    parse_probe,
)
from limelever.agent.instance_signals import parse_signals
from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    BackendChecked,
    CancelAttempt,
    CheckBackend,
    ConnectResult,
    LimitStarts,
    RequestBodySent,
    StartAttempt,
)
from limelever.agent.load_header import parse_pace, parse_requests
from limelever.agent.metrics import INSTANCE_CONNECTIONS_LOST
from limelever.agent.response_checks import backend_refusal, matches_request, unconfirmed_refusal
from limelever.agent.response_parser import ResponseParser
from limelever.agent.settings import BackendSettings
from limelever.common.byte_budget import SMALL_BYTES, ByteBudget
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, Headers, end_to_end
from limelever.common.http_messages import HttpAnswer
from limelever.common.sansio import Event, Output
from limelever.transport.faults import report_fault

_MILLISECONDS = 1000
DEFAULT_NAMES = HeaderNames()
_GET = b"GET"
MAX_PROBE_RESPONSE_BYTES = 1 << 20
"""Longest body of a response to a health probe; its headers are what counts."""

CHECK_TIMEOUT_SECONDS = 0.15
"""Timeout of a connection check on the local machine, some hundred times the usual duration, so
that a busy backend process is not taken for an unresponsive one."""


class _Attempt(Struct):
    """A request in progress; its cancel scope expires at the attempt's deadline.

    ``unsent_for`` is the time in seconds until its first byte was sent. ``late`` is set if it was
    still unsent when starts ended.
    """

    scope: trio.CancelScope
    started_at: float
    exchange: BackendExchange
    cancelled: bool = False
    late: bool = False
    sent_any_byte: bool = False
    unsent_for: float = 0.0


class BackendClient:
    """Sends attempts to the backend; ``post`` receives exactly one event for each.

    Attempts are never retried here: a pooled connection that breaks during a request is reported,
    and the caller decides whether the request may be repeated.
    """

    def __init__(
        self,
        settings: BackendSettings,
        nursery: trio.Nursery,
        post: Callable[[Event], None],
        names: HeaderNames = DEFAULT_NAMES,
        instance: bytes = b"",
        health_path: str = "",
        budget: ByteBudget | None = None,
    ) -> None:
        self._settings = settings
        self._budget = budget or ByteBudget()
        self._max_response_bytes = settings.max_response_bytes
        if self._budget.limit:
            largest = self._budget.largest
            self._max_response_bytes = min(settings.max_response_bytes, largest)
        self.health_path = health_path
        self._names = names
        self._instance = instance
        self._nursery = nursery
        self._post = post
        self._host = str(settings.address).encode()
        self._attempts: dict[int, _Attempt] = {}
        self._pool = BackendConnectionPool(settings)
        self._starts_until = math.inf

    def carry_out(self, output: Output) -> None:
        """Execute an output of the agent core; outputs not meant for the backend are ignored."""
        match output:
            case StartAttempt():
                self.start(output)
            case CancelAttempt(attempt, connection_lost):
                self.cancel(attempt)
                if connection_lost:
                    INSTANCE_CONNECTIONS_LOST.only.inc()
            case CheckBackend():
                self._nursery.start_soon(self._check, output)
            case LimitStarts(within):
                self._limit_starts(trio.current_time() + within)

    def start(self, output: StartAttempt) -> None:
        """Start an attempt in the background."""
        now = trio.current_time()
        scope = trio.CancelScope(deadline=now + output.timeout)
        sent = partial(self._post, RequestBodySent(output.attempt))
        attempt = _Attempt(scope, now, BackendExchange(self._budget, output.body, sent))
        if len(output.body) > SMALL_BYTES:
            output = replace(output, body=b"")
        self._attempts[output.attempt] = attempt
        self._nursery.start_soon(self._run_attempt, output, attempt)

    def cancel(self, attempt: int) -> None:
        """Cancel an attempt; its event is still posted. Unknown numbers are ignored."""
        running = self._attempts.get(attempt)
        if running is not None:
            running.cancelled = True
            running.scope.cancel()

    async def probe(self, path: str, timeout: float) -> ProbeResult:
        """Return whether a health probe gets a 2xx response within ``timeout`` seconds."""
        response = await self._send_probe(path, timeout)
        if response is None:
            return ProbeResult(False)
        try:
            return parse_probe(response, self._names)
        except Exception as error:
            _unreadable(error)
            return ProbeResult(False)

    async def find_instance(self, path: str, timeout: float) -> InstanceIdentity | None:
        """Return the healthy instance that responds to a health probe, if it names itself."""
        response = await self._send_probe(path, timeout)
        if response is None:
            return None
        try:
            return parse_instance_identity(response, self._names)
        except Exception as error:
            _unreadable(error)
            return None

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _send_probe(self, path: str, timeout: float) -> HttpAnswer | None:
        """Return the response to a health probe, ``None`` if there is none within ``timeout``."""
        with trio.move_on_after(timeout):
            connection = await self._pool.acquire()
            if isinstance(connection, Failure):
                return None
            head = encode_request_head(_GET, path.encode(), [(b"host", self._host)])
            parser = self._parser(_GET, MAX_PROBE_RESPONSE_BYTES)
            exchange = BackendExchange(self._budget, b"", lambda: None)
            try:
                response = await exchange.round_trip(connection, head, parser)
            finally:
                exchange.release()
                self._pool.release(connection)
            return None if isinstance(response, Failure) else response
        return None

    async def _check(self, output: CheckBackend) -> None:
        if output.close_idle:
            self._pool.close()
        result = await self._pool.check_connect(CHECK_TIMEOUT_SECONDS)
        if result is ConnectResult.OPENED and output.asks_load and self.health_path:
            self._post(await self._ask_load(result))
        else:
            self._post(BackendChecked(result))

    async def _ask_load(self, result: ConnectResult) -> BackendChecked:
        """Return the result of a check with what the response to a health request states."""
        response = await self._send_probe(self.health_path, CHECK_TIMEOUT_SECONDS)
        if response is None:
            return BackendChecked(result)
        headers = tuple((name.lower(), value) for name, value in response.headers)
        try:
            requests = parse_requests(headers, self._names)
            return BackendChecked(result, requests, parse_signals(headers, self._names))
        except Exception as error:
            _unreadable(error)
            return BackendChecked(result)

    def _limit_starts(self, until: float) -> None:
        if until < self._starts_until:
            self._starts_until = until
            self._nursery.start_soon(self._end_unsent, until)

    async def _end_unsent(self, at: float) -> None:
        """End the attempts that are still waiting for a connection at this time."""
        await trio.sleep_until(at)
        for attempt in self._attempts.values():
            if not attempt.sent_any_byte:
                attempt.late = True
                attempt.scope.cancel()

    async def _run_attempt(self, output: StartAttempt, attempt: _Attempt) -> None:
        event: Event | None = None
        try:
            with attempt.scope:
                try:
                    event = await self._connect_and_send(output, attempt)
                except Exception as error:
                    event = AttemptFailed(output.attempt, _unreadable(error), attempt.sent_any_byte)
            if event is None:
                event = AttemptFailed(output.attempt, _interruption(attempt), attempt.sent_any_byte)
            del self._attempts[output.attempt]
            self._post(event)
        finally:
            attempt.exchange.release()

    async def _connect_and_send(self, output: StartAttempt, attempt: _Attempt) -> Event:
        connection = await self._pool.acquire()
        if isinstance(connection, Failure):
            return AttemptFailed(output.attempt, connection, sent_any_byte=False)
        if trio.current_time() >= self._starts_until:
            self._pool.release(connection)
            return AttemptFailed(output.attempt, DRAINING, sent_any_byte=False)
        attempt.sent_any_byte = True
        attempt.unsent_for = trio.current_time() - attempt.started_at
        try:
            return await self._send_attempt(output, connection, attempt)
        finally:
            self._pool.release(connection)

    async def _send_attempt(
        self, output: StartAttempt, connection: BackendConnection, attempt: _Attempt
    ) -> Event:
        headers = request_headers(
            output,
            self._host,
            _remaining_ms(attempt),
            self._names,
            self._instance,
            attempt.exchange.body_bytes,
        )
        head = encode_request_head(output.method, output.target, headers)
        parser = self._parser(output.method, self._max_response_bytes)
        response = await attempt.exchange.round_trip(connection, head, parser)
        if isinstance(response, Failure):
            return AttemptFailed(
                output.attempt, response, sent_any_byte=True, connection_ended=connection.ended
            )
        connection.max_idle = min(connection.max_idle, keep_alive_seconds(response.headers))
        end_to_end_headers = end_to_end(response.headers)
        event = self._classify_response(
            output, connection, response.status, end_to_end_headers, response.body
        )
        if isinstance(event, AttemptAnswered):
            return replace(event, unsent_for=attempt.unsent_for)
        return event

    def _parser(self, method: bytes, max_bytes: int) -> ResponseParser:
        return ResponseParser(method, max_bytes, self._settings.max_response_head_bytes)

    def _classify_response(
        self,
        output: StartAttempt,
        connection: BackendConnection,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> Event:
        """Return the event for a complete response."""
        if not matches_request(output.headers, headers, self._names):
            connection.reusable = False
            failure = Failure(ErrorKind.BACKEND_FAILED, "response belongs to another request")
            return AttemptFailed(output.attempt, failure, sent_any_byte=True)
        refusal = backend_refusal(status, headers, self._names)
        signals = parse_signals(headers, self._names)
        if refusal is not None:
            stated = signals if refusal.kind is ErrorKind.BACKEND_REFUSED else None
            return AttemptFailed(
                output.attempt, refusal, sent_any_byte=True, refused=True, signals=stated
            )
        unconfirmed = unconfirmed_refusal(status, self._names)
        if unconfirmed is not None:
            return AttemptFailed(output.attempt, unconfirmed, sent_any_byte=True, signals=signals)
        pace = parse_pace(headers, self._names)
        requests = parse_requests(headers, self._names)
        return AttemptAnswered(output.attempt, status, headers, body, pace, requests, signals)


def _remaining_ms(attempt: _Attempt) -> int:
    remaining = attempt.scope.deadline - trio.current_time()
    return max(1, int(remaining * _MILLISECONDS))


def _unreadable(error: Exception) -> Failure:
    """Log a fault in reading a response: it fails one call, not the process with all others."""
    fault = report_fault(error)
    return Failure(ErrorKind.BACKEND_FAILED, f"response cannot be read: {fault.reason}")


def _interruption(attempt: _Attempt) -> Failure:
    if attempt.late:
        return DRAINING
    if attempt.cancelled:
        return Failure(ErrorKind.CANCELLED, "attempt cancelled")
    return Failure(ErrorKind.DEADLINE_EXCEEDED, "backend did not respond before the deadline")
