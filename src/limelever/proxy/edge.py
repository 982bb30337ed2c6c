"""The HTTP server for callers, a thin shell around the proxy core.

It passes requests that the listener has read completely to the core, and the core's answers back to
the callers. HTTP/1.1 is served by the connections of ``transport``, HTTP/2 by the ASGI application
in ``edge_http2``.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import trio

from limelever.common.byte_budget import ByteBudget, Use
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, value_of
from limelever.common.http_messages import HttpAnswer, HttpRequest
from limelever.common.numbers import parse_count
from limelever.common.sansio import Address, Event
from limelever.common.settings import seconds
from limelever.proxy.answer_rendering import render_answer
from limelever.proxy.call_types import AnswerCall, CallArrived, CallerGone
from limelever.proxy.edge_http2 import Http2Edge
from limelever.proxy.edge_listener import serve_callers
from limelever.proxy.request_parsing import declared_length, parse_request
from limelever.proxy.request_reservation import RequestReservations
from limelever.proxy.settings import EdgeSettings
from limelever.transport.body_reservation import BodyReservation
from limelever.transport.head_reservation import HeadPool
from limelever.transport.http1_connection import Http1Connection
from limelever.transport.http_guard import HttpService
from limelever.transport.http_limits import HttpLimits
from limelever.transport.http_pipeline import DEPTH_LIMIT, Exchange
from limelever.transport.unread_responses import UnreadPool

BODY_TIMEOUT_SECONDS = 30.0
"""Seconds within which a caller must send its request body."""

PENDING_ANSWERS_LIMIT_BYTES = 32 * 1024 * 1024
"""Limit on answer bytes that callers have not read yet, without a budget of the process.

Above the limit, new calls are refused.

The listener eventually disconnects callers that read nothing.
"""

LONGEST_WAIT_RATIO = 0.5
"""Part of a caller's time for which its body may wait; the rest is for the call."""

OVERLOAD_RETRY_AFTER_SECONDS = 1.0
_MILLISECONDS = 1000.0
DEFAULT_NAMES = HeaderNames()

Deliver = Callable[[HttpAnswer], None]


class Edge:
    """Accepts callers' requests and posts them to the core through ``post``.

    Also implements the listener's handler of HTTP/1.1 requests.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        post: Callable[[Event], None],
        names: HeaderNames = DEFAULT_NAMES,
        budget: ByteBudget | None = None,
    ) -> None:
        self._budget = budget or ByteBudget()
        self._reservations = RequestReservations(
            self._budget, settings.max_body_bytes, settings.buffered_bytes
        )
        self._settings = settings
        self._names = names
        self._lame_duck = False
        self._post = post
        self._pending: dict[int, Deliver] = {}
        self._last_call = 0
        self._pending_answer_bytes = 0
        self._stopping = trio.Event()

    @property
    def leaving(self) -> bool:
        """Whether connections are closed after their next answer."""
        return self._lame_duck or self._stopping.is_set()

    @property
    def most_at_once(self) -> int:
        """As many calls as are read ahead; the process's budget bounds their answers."""
        return DEPTH_LIMIT

    def answer(self, output: AnswerCall) -> None:
        """Send the core's answer to the caller that waits for it."""
        deliver = self._pending.pop(output.call, None)
        if deliver is not None:
            deliver(self._render_answer(output.answer))

    def _render_answer(self, answer: HttpAnswer | Failure) -> HttpAnswer:
        decimals = self._settings.retry_after_decimals
        return render_answer(answer, decimals, self._names.key_scheme)

    def start_lame_duck(self) -> None:
        """Close each connection after its next answer, while still accepting new ones."""
        self._lame_duck = True

    def stop(self) -> None:
        """Stop listening; requests already received are answered."""
        self._stopping.set()

    async def serve(
        self,
        stop_limit: float,
        task_status: trio.TaskStatus[Address | Failure] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until :meth:`stop`, then up to ``stop_limit`` s until open requests are answered.

        Reports the bound address, or the failure to bind, to ``task_status``.
        """
        limits = HttpLimits(
            idle=seconds(self._settings.keep_alive_ms),
            max_head_bytes=self._settings.max_headers_bytes,
            body=BODY_TIMEOUT_SECONDS,
        )
        application = Http2Edge(self, BODY_TIMEOUT_SECONDS).application
        unread = UnreadPool(self._pending_answers_limit)
        service = HttpService(self, application, limits, HeadPool.within(self._budget), unread)
        await serve_callers(service, self._settings, self._stopping, stop_limit, task_status)

    def submit(self, request: HttpRequest, deliver: Deliver) -> int:
        """Submit a complete request to the core; return the call's number.

        ``deliver`` is called with the answer, possibly before this returns.
        """
        self._last_call += 1
        number = self._last_call
        parsed = parse_request(request, self._names)
        if isinstance(parsed, Failure):
            deliver(self.render(parsed))
            return number
        self._pending[number] = deliver
        try:
            self._post(CallArrived(number, parsed))
        except Exception:
            del self._pending[number]
            raise
        return number

    def caller_disconnected(self, number: int) -> None:
        """Cancel a call whose caller disconnected before its answer."""
        if self._pending.pop(number, None) is not None:
            self._post(CallerGone(number))

    # --- handler interface of the listener -------------------------------------------------

    def reserve_body(self, request: HttpRequest) -> BodyReservation | Failure:
        """Reserve memory for a request's body, or return why the request is refused."""
        if self._pending_answer_bytes > self._pending_answers_limit:
            reason = "too many answer bytes are waiting for callers to read them"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=OVERLOAD_RETRY_AFTER_SECONDS)
        time = self._time_of(request)
        declared = declared_length(request.headers)
        return self._reservations.open(declared, time * LONGEST_WAIT_RATIO, BODY_TIMEOUT_SECONDS)

    def count_untaken(self, size: int) -> None:
        """Add to the count of answer bytes not yet read by callers; negative once they are."""
        self._pending_answer_bytes += size
        self._budget.adjust(Use.ANSWER, size)

    def render(self, failure: Failure) -> HttpAnswer:
        """Return the HTTP response for a failure."""
        return self._render_answer(failure)

    def serve_request(self, connection: Http1Connection, exchange: Exchange) -> None:
        """Submit a request of an HTTP/1.1 connection."""
        exchange.number = self.submit(exchange.request, partial(connection.answer, exchange))

    def abandon(self, exchange: Exchange) -> None:
        """Cancel a request whose caller disconnected."""
        self.caller_disconnected(exchange.number)

    @property
    def _pending_answers_limit(self) -> int:
        return self._budget.largest or PENDING_ANSWERS_LIMIT_BYTES

    def _time_of(self, request: HttpRequest) -> float:
        """Return how long the caller waits at most for the request's body to be received."""
        timeout_ms = parse_count(value_of(request.headers, self._names.timeout))
        if not timeout_ms:
            return BODY_TIMEOUT_SECONDS
        return min(BODY_TIMEOUT_SECONDS, timeout_ms / _MILLISECONDS)
