"""One HTTP/1.1 connection: a trio shell around the request parser and the pipeline.

A single task receives; ``http1_writer`` sends the responses. One cancel scope with a moving
deadline limits idle time, slow headers and slow bodies.
"""

from __future__ import annotations

import math
from typing import Protocol

import trio

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_messages import HTTP_1_1, HttpAnswer, HttpRequest
from limelever.transport.body_reservation import BodyReservation
from limelever.transport.events import REQUEST_FAULT
from limelever.transport.faults import fault_fields
from limelever.transport.head_reservation import HeadPool, HeadReservations
from limelever.transport.http1_writer import ResponseWriter
from limelever.transport.http_answers import CONTINUE, encode_answer
from limelever.transport.http_limits import HttpLimits
from limelever.transport.http_pipeline import Exchange, Pipeline
from limelever.transport.http_requests import RequestReader
from limelever.transport.log import write_event
from limelever.transport.metrics import HTTP_IN_ORDER_SECONDS
from limelever.transport.pipelined_requests import PipelinedRequests
from limelever.transport.streams import close_at_once, receive
from limelever.transport.unread_responses import UnreadPool

LINGER_SECONDS = 1.0
"""Silence of a client after its last response until the connection is closed. Bytes that it still
sends, such as a refused body, are discarded: a reset could discard the response."""

LONGEST_LINGER_SECONDS = 10.0
"""Limit on the time for which bytes are discarded."""

CLOSE_SECONDS = 2.0
"""Time limit of the TLS closing handshake."""

HTTP_2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
"""First bytes of a client with prior knowledge of HTTP/2 (RFC 9113, section 3.4)."""

_RECEIVE_BYTES = 1 << 16
_NO_REQUEST = HttpRequest(b"", b"", HTTP_1_1, ())
_CONNECTION_ENDS = Failure(
    ErrorKind.DRAINING, "the connection ends before the request behind others was begun"
)


class RequestHandler(Protocol):
    """Serves the requests of a listener's connections."""

    @property
    def leaving(self) -> bool:
        """Return whether connections are to end with their next answer."""

    @property
    def most_at_once(self) -> int:
        """Return how many requests of one connection may be in progress at once."""

    def reserve_body(self, request: HttpRequest) -> BodyReservation | Failure:
        """Reserve memory for a request's body, or return why the request is refused."""

    def count_untaken(self, size: int) -> None:
        """Count response bytes that clients have not read yet; negative once they have."""

    def render(self, failure: Failure) -> HttpAnswer:
        """Return the response for a failure."""

    def serve_request(self, connection: Http1Connection, exchange: Exchange) -> None:
        """Start a request; its response is passed to ``connection.answer``, now or later."""

    def abandon(self, exchange: Exchange) -> None:
        """Cancel a request whose client has disconnected."""


class Http1Connection:
    """Serves one connection; ``idle_since`` is ``None`` while a request is in progress."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: RequestHandler,
        limits: HttpLimits,
        nursery: trio.Nursery,
        heads: HeadPool | None = None,
        unread: UnreadPool | None = None,
        behind: PipelinedRequests | None = None,
    ) -> None:
        self.stream = stream
        self.nursery = nursery
        self.idle_since: float | None = trio.current_time()
        self._handler = handler
        self._limits = limits
        self._pipeline = Pipeline(handler.most_at_once, behind)
        self._heads = HeadReservations(heads or HeadPool(), self._lose_head)
        self._reader = RequestReader(self, limits.max_head_bytes, self._heads)
        self._reading = trio.CancelScope(deadline=trio.current_time() + limits.idle)
        self._room = trio.Event()
        self._writer = ResponseWriter(stream, nursery, self, unread)
        self._untaken = 0
        self._ended = False
        self._advancing = False
        self._stopping = False
        self._handed_over = False
        self._awaits_continue = False
        self._body_reservation: BodyReservation | None = None
        self._head_bytes = 0
        self._head_ends = math.inf
        self._body_ends = math.inf

    async def run(self) -> bytes:
        """Serve until the connection ends.

        Returns the bytes received from a client that speaks HTTP/2; its connection is left open.
        Otherwise returns no bytes.
        """
        left = False
        try:
            with self._reading:
                data = await self._receive_first()
                if data.startswith(HTTP_2_PREFACE):
                    return self._hand_over(data)
                left = not data or await self._read(data)
            if self._is_late:
                await self._refuse_late()
            self._give_up()
            if not left:
                await self._finish()
        finally:
            self._give_up()
            self._reader.close()
            self._writer.close()
            self.count_untaken(-self._untaken)
            self._ended = True
            # They refer back to the connection, and would be kept until a garbage collection.
            del self._reader, self._heads, self._writer
            if not self._handed_over:
                await close_at_once(self.stream)
        return b""

    def stop(self) -> None:
        """Close the connection after the requests in progress."""
        self._stopping = True
        if self.idle_since is not None:
            self._reading.cancel()

    def answer(self, exchange: Exchange, answer: HttpAnswer) -> None:
        """Accept the response to a request in progress, and send what is due."""
        if exchange.answer is not None or self._ended:
            return
        self._pipeline.answer(exchange, answer)
        self.count_untaken(len(answer.body))
        if not self._pipeline.is_oldest(exchange):
            exchange.answered_at = trio.current_time()
        self._advance()

    # --- callbacks of the request parser --------------------------------------------------------

    def head_read(self, request: HttpRequest, awaits_continue: bool) -> Failure | None:
        """Check a request's head and start the time limit of its body."""
        self.idle_since = None
        self._head_bytes = self._heads.complete()
        self._head_ends = math.inf
        self._body_ends = trio.current_time() + self._limits.body
        reservation = self._handler.reserve_body(request)
        if isinstance(reservation, Failure):
            return reservation
        self._body_reservation = reservation
        self._awaits_continue = awaits_continue
        return None

    def body_read(self, size: int) -> Failure | None:
        """Count the bytes of a body."""
        assert self._body_reservation is not None
        return self._body_reservation.add(size)

    def request_read(self, request: HttpRequest) -> None:
        """Queue a complete request."""
        self._body_ends = math.inf
        self._awaits_continue = False
        reservation, self._body_reservation = self._body_reservation, None
        if reservation is not None:
            reservation.finish()
        exchange = Exchange(request, last=not request.keep_alive, reservation=reservation)
        exchange.head_bytes, self._head_bytes = self._head_bytes, 0
        self._pipeline.add(exchange)

    def refused(self, failure: Failure) -> None:
        """Queue the response to an invalid request, which ends the connection."""
        self.idle_since = None
        self._head_ends = self._body_ends = math.inf
        self._awaits_continue = False
        self._release_reservation()
        self._heads.drop()
        self._heads.release(self._head_bytes)
        self._head_bytes = 0
        answer = self._handler.render(failure)
        self.count_untaken(len(answer.body))
        exchange = Exchange(_NO_REQUEST, last=True)
        self._pipeline.add(exchange)
        self._pipeline.answer(exchange, answer)

    def _lose_head(self, failure: Failure) -> None:
        """Refuse the request whose head is being received, after those before it."""
        self._reader.refuse(failure)
        self._advance()

    # --- reading --------------------------------------------------------------------------------

    async def _receive_first(self) -> bytes:
        """Return the first bytes, enough to recognize HTTP/2."""
        data = b""
        while HTTP_2_PREFACE.startswith(data):
            more = await self._receive()
            if not more:
                return b""
            data += more
        return data

    def _hand_over(self, data: bytes) -> bytes:
        self._handed_over = True
        return data

    async def _receive(self) -> bytes:
        """Return received bytes, empty once the client has disconnected."""
        try:
            return await receive(self.stream, _RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b""

    async def _read(self, data: bytes) -> bool:
        """Receive until the last response is queued; return whether the client left before that."""
        while True:
            if data:
                self._reader.feed(data)
                if self._reader.within_head and self._head_ends == math.inf:
                    self._head_ends = trio.current_time() + self._limits.head
                self._advance()
            if self._pipeline.closed or self._writer.broken:
                return False
            if self._pipeline.full:
                self._room = trio.Event()
                await self._room.wait()
                data = b""
                continue
            if self._writer.must_wait:
                await self._writer.wait_flushed()
                data = b""
                continue
            if self._must_wait:
                await self._await_reservation()
                data = b""
                continue
            data = await self._receive()
            if not data:
                return True

    @property
    def _must_wait(self) -> bool:
        return self._body_reservation is not None and self._body_reservation.must_wait

    async def _await_reservation(self) -> None:
        """Receive nothing until the body is reserved, or refuse the request."""
        assert self._body_reservation is not None
        failure = await self._body_reservation.wait()
        if failure is not None:
            self._reader.refuse(failure)
            self._advance()
        else:
            self._settle()

    @property
    def _is_late(self) -> bool:
        """Return whether receiving ended because a head or body exceeded its time limit."""
        given_up = self._pipeline.closed or self._writer.broken
        if given_up or not self._reading.cancelled_caught:
            return False
        return self._reader.within_body or trio.current_time() >= self._head_ends

    async def _refuse_late(self) -> None:
        """Refuse a request that is late, after the responses to earlier requests."""
        part = "body" if self._reader.within_body else "head"
        reason = f"the {part} did not arrive in time"
        self._reader.refuse(Failure(ErrorKind.DEADLINE_TOO_SHORT, reason))
        self._reading = trio.CancelScope()
        self._advance()
        if not self._pipeline.closed:
            with self._reading:
                await self._read(b"")

    # --- order ----------------------------------------------------------------------------------

    def _advance(self) -> None:
        """Send the responses that are due and start the requests that may start."""
        if self._advancing:
            return
        self._advancing = True
        try:
            while self._send_due() or self._begin_next() or self._writer.flush():
                pass
        finally:
            self._advancing = False
        self._settle()

    def _send_due(self) -> bool:
        leaving = self._stopping or self._handler.leaving
        exchange = self._pipeline.take_ended(leaving)
        if exchange is None:
            return False
        for unbegun in self._pipeline.unbegun_at_end():
            self._refuse(unbegun)
        answer = exchange.answer
        assert answer is not None
        if exchange.reservation is not None:
            exchange.reservation.release()
        self._heads.release(exchange.head_bytes)
        head, body = encode_answer(exchange.request, answer, close=exchange.last)
        self._writer.queue((head, body))
        self.count_untaken(len(head) + len(body) - len(answer.body))
        if exchange.answered_at:
            HTTP_IN_ORDER_SECONDS.observe(trio.current_time() - exchange.answered_at)
        return True

    def _refuse(self, exchange: Exchange) -> None:
        answer = self._handler.render(_CONNECTION_ENDS)
        self._pipeline.answer(exchange, answer)
        self.count_untaken(len(answer.body))

    def _begin_next(self) -> bool:
        leaving = self._stopping or self._handler.leaving
        exchange = self._pipeline.take_startable(leaving, self._writer.unread_bytes)
        if exchange is None:
            return False
        try:
            self._handler.serve_request(self, exchange)
        except Exception as error:
            write_event(REQUEST_FAULT, fault_fields(error))
            failure = Failure(ErrorKind.INTERNAL, "fault while the request was served")
            self.answer(exchange, self._handler.render(failure))
        return True

    def _settle(self) -> None:
        """Update the deadline for the next event: the close, a body, or a request."""
        if self._pipeline.closed:
            self._reading.cancel()
            return
        if not self._pipeline.full:
            self._room.set()
        if self._awaits_continue and self._pipeline.empty and not self._must_wait:
            self._awaits_continue = False
            self.count_untaken(len(CONTINUE))
            self._writer.write([CONTINUE])
        under_way = not self._pipeline.empty or self._reader.within_body
        deadline = min(self._head_ends, self._body_ends)
        if not under_way and not self._writer.is_waiting:
            if self.idle_since is None:
                self.idle_since = trio.current_time()
                if self._stopping:
                    self._reading.cancel()
            deadline = min(deadline, self.idle_since + self._limits.idle)
        if self._reading.deadline != deadline:
            self._reading.deadline = deadline

    def _give_up(self) -> None:
        """Cancel the requests in progress: the client cannot receive their responses."""
        for exchange in self._pipeline.take_all():
            if exchange.begun and exchange.answer is None:
                self._handler.abandon(exchange)
            if exchange.reservation is not None:
                exchange.reservation.release()
        self._release_reservation()
        self._heads.close()

    def _release_reservation(self) -> None:
        """Release the reservation of a body that is not complete."""
        if self._body_reservation is not None:
            self._body_reservation.release()
            self._body_reservation = None

    # --- callbacks of the writer ----------------------------------------------------------------

    def count_untaken(self, size: int) -> None:
        """Count response bytes that the client has not read, until the connection ends."""
        if not self._ended:
            self._untaken += size
            self._handler.count_untaken(size)

    def all_written(self) -> None:
        """Begin requests that waited for the client to read, unless the connection has ended."""
        if not self._ended:
            self._advance()

    def write_failed(self) -> None:
        """End the connection."""
        self._reading.cancel()

    # --- end ------------------------------------------------------------------------------------

    async def _finish(self) -> None:
        """Wait until the last response is sent and the client has closed."""
        await self._writer.wait_flushed()
        if self._writer.broken:
            return
        try:
            await self._say_goodbye()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _say_goodbye(self) -> None:
        """Send end of stream, and give the client time to read the last response."""
        if not isinstance(self.stream, trio.abc.HalfCloseableStream):
            with trio.move_on_after(CLOSE_SECONDS):
                await self.stream.aclose()
            return
        await self.stream.send_eof()
        if not self._pipeline.closed:
            return
        with trio.move_on_after(LONGEST_LINGER_SECONDS):
            data = b"any"
            while data:
                with trio.move_on_after(LINGER_SECONDS) as silence:
                    data = await receive(self.stream, _RECEIVE_BYTES)
                if silence.cancelled_caught:
                    return
