"""The HTTP edge towards callers.

A thin shell: it takes requests that the listener has read whole within their bounds, gives them to
the core, and passes on the core's one answer to each. HTTP/1.1 comes from ``transport``'s own
connections, HTTP/2 as an ASGI application, see ``edge_http2``.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import trio

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames
from limelever.common.http_messages import HttpAnswer, HttpRequest
from limelever.common.sansio import Address, Event
from limelever.common.settings import seconds
from limelever.proxy.answers import render_answer
from limelever.proxy.call_types import AnswerCall, CallArrived, CallerGone
from limelever.proxy.edge_http2 import Http2Edge
from limelever.proxy.edge_listener import serve_callers
from limelever.proxy.requests import declared_length, parse_request
from limelever.proxy.settings import EdgeSettings
from limelever.transport.http1_connection import Http1Connection
from limelever.transport.http_guard import HttpService
from limelever.transport.http_limits import HttpLimits
from limelever.transport.http_pipeline import Exchange

BODY_TIMEOUT = 30.0
"""Seconds a caller has to send its body."""

ANSWERS_LIMIT_BYTES = 32 * 1024 * 1024
"""Bytes of answers that callers have not yet taken; while more wait, new calls are refused.

A caller that takes nothing at all is cut off by the listener in the end.
"""

OVERLOAD_RETRY_AFTER = 1.0
DEFAULT_NAMES = HeaderNames()

Deliver = Callable[[HttpAnswer], None]


class Edge:
    """Accepts callers' requests; ``post`` gives events to the core.

    It is the handler of the listener's HTTP/1.1 requests.
    """

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
        self._waiting: dict[int, Deliver] = {}
        self._last_call = 0
        self._buffered = 0
        self._untaken = 0
        self._stopping = trio.Event()

    @property
    def leaving(self) -> bool:
        """Return whether connections are to end with their next answer."""
        return self._leaving or self._stopping.is_set()

    def answer(self, output: AnswerCall) -> None:
        """Pass the core's answer to the request that waits for it."""
        deliver = self._waiting.pop(output.call, None)
        if deliver is not None:
            deliver(self._rendered(output.answer))

    def _rendered(self, answer: HttpAnswer | Failure) -> HttpAnswer:
        decimals = self._settings.retry_after_decimals
        return render_answer(answer, decimals, self._names.key_scheme)

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
        limits = HttpLimits(
            idle=seconds(self._settings.keep_alive_ms),
            max_head_bytes=self._settings.max_headers_bytes,
            body=BODY_TIMEOUT,
        )
        service = HttpService(self, Http2Edge(self, BODY_TIMEOUT).application, limits)
        await serve_callers(service, self._settings, self._stopping, stop_limit, task_status)

    def begin(self, request: HttpRequest, deliver: Deliver) -> int:
        """Give a whole request to the core; return the call's number.

        ``deliver`` gets its answer, perhaps before this returns.
        """
        self._last_call += 1
        number = self._last_call
        parsed = parse_request(request, self._names)
        if isinstance(parsed, Failure):
            deliver(self.render(parsed))
            return number
        self._waiting[number] = deliver
        try:
            self._post(CallArrived(number, parsed))
        except Exception:
            del self._waiting[number]
            raise
        return number

    def caller_left(self, number: int) -> None:
        """Give up a call whose caller has left before its answer."""
        if self._waiting.pop(number, None) is not None:
            self._post(CallerGone(number))

    # --- the handler of the listener's requests -------------------------------------------------

    def check_head(self, request: HttpRequest) -> Failure | None:
        """Return why a request is refused before its body is read."""
        if self._untaken > ANSWERS_LIMIT_BYTES:
            reason = "callers are slow to take the answers that this proxy holds"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=OVERLOAD_RETRY_AFTER)
        declared = declared_length(request.headers)
        return self._check_body(declared, declared)

    def hold_body(self, held: int, added: int) -> Failure | None:
        """Count ``added`` bytes of a body with ``held`` before, or return why they have no room."""
        refusal = self._check_body(held + added, added)
        if refusal is None:
            self._buffered += added
        return refusal

    def release_body(self, size: int) -> None:
        """Count bytes of a body that is needed no more."""
        self._buffered -= size

    def count_untaken(self, size: int) -> None:
        """Count bytes of answers not yet taken by their callers, or taken when negative."""
        self._untaken += size

    def render(self, failure: Failure) -> HttpAnswer:
        """Return the answer that tells of a failure."""
        return self._rendered(failure)

    def serve_request(self, connection: Http1Connection, exchange: Exchange) -> None:
        """Begin a request of an HTTP/1.1 connection."""
        exchange.number = self.begin(exchange.request, partial(connection.answer, exchange))

    def abandon(self, exchange: Exchange) -> None:
        """Give up a request whose caller has left."""
        self.caller_left(exchange.number)

    def _check_body(self, size: int, added: int) -> Failure | None:
        if size > self._settings.max_body_bytes:
            limit = self._settings.max_body_bytes
            return Failure(ErrorKind.BODY_TOO_LARGE, f"body is over {limit} bytes")
        if self._buffered + added > self._settings.buffered_bytes:
            reason = "the bodies of other calls fill this proxy's buffers"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=OVERLOAD_RETRY_AFTER)
        return None
